"""Traffic between data centres under uneven load; arithmetic, no network."""

import itertools
import math
from collections import deque

import pytest

from cactusledge.gateway.cross_plan import (
    Demand,
    Price,
    Role,
    divide,
    leaving_cost_ms,
    waiting_ms,
)
from cactusledge.gateway.cross_shares import CrossShares, Room

STEP_S = 0.1
SERVICE_S = 0.35  # that a request takes
SLOTS = 100
CHEAP = Price(cost_ms=20, turnover_ms=350)


class Play:
    """Data centres with a demand in slots, whose loads are known late."""

    def __init__(self, demands, slots=None, late_s=0.4, price=CHEAP):
        self.demands = demands  # functions of the time in s
        self.slots = slots or dict.fromkeys(demands, SLOTS)
        self.loads = {name: ask(0) for name, ask in demands.items()}
        self.shares = CrossShares()
        self.price = price
        self.known = deque(
            self.loads for _ in range(1 + round(late_s / STEP_S))
        )
        self.frozen = frozenset()  # no report comes from these
        self.cut = frozenset()  # these can not be reached
        self.now_s = 0
        self.roles = []
        self.sent = []

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()
        return self

    def step(self):
        self.now_s += STEP_S
        late = self.known.popleft()
        rooms = {
            name: Room(late[name], self.slots[name])
            for name in self.demands
            if name not in self.cut
        }
        self.shares.step(rooms, self.price, self.now_s)
        sent = {name: dict(self.shares.shares_of(name)) for name in rooms}
        self.sent.append(sent)
        self.roles.append({
            name: self.shares.demand_of(name).role for name in rooms
        })
        loads = {name: self.next_load(name, sent) for name in self.loads}
        self.known.append({
            name: self.known[-1][name] if name in self.frozen else loads[name]
            for name in loads
        })
        self.loads = loads

    def next_load(self, name, sent):
        asks = {one: ask(self.now_s) for one, ask in self.demands.items()}
        kept = 1 - sum(sent.get(name, {}).values())
        coming = kept * asks[name]
        coming += sum(asks[one] * sent[one].get(name, 0) for one in sent)
        load = self.loads[name]
        ending = min(load, self.slots[name])
        return load + STEP_S / SERVICE_S * (coming - ending)

    def percent(self, name, at=-1):
        """Returns the share that a data centre sends to all others."""
        return round(100 * sum(self.sent[at].get(name, {}).values()))


def constant(level):
    return lambda _: level


def jump(before, after, at_s=1):
    return lambda now_s: before if now_s < at_s else after


def wave(mean, phase):
    def ask(now_s):
        angle = 2 * math.pi * (now_s / 15 + phase)
        return mean * (1 + 0.55 * math.sin(angle))

    return ask


def pairs_of(sent):
    """Returns who sends to whom."""
    return {
        (sender, taker)
        for sender, to in sent.items()
        for taker in to
        if to[taker]
    }


def never_each_other(play):
    """Checks each second, as gateways change their roles at different times."""
    per_s = round(1 / STEP_S)
    pairs = [pairs_of(sent) for sent in play.sent]
    for now, sent in enumerate(pairs):
        second = sent.union(*pairs[max(0, now - per_s + 1) : now])
        senders = {sender for sender, _ in second}
        assert not senders & {taker for _, taker in second}


def nobody_left(play):
    return not any(pairs_of(sent) for sent in play.sent)


def role_changes(play, name):
    """Returns the steps in which a data centre's role changed."""
    roles = [one.get(name, Role.NEUTRAL) for one in play.roles]
    changed = [old is not new for old, new in itertools.pairwise(roles)]
    return list(itertools.compress(itertools.count(1), changed))


# Load: all data centres busy up to the level at which requests wait.
@pytest.mark.parametrize('level', [10, 70, 84])
def test_nobody_leaves_while_there_is_room_at_home(level):
    play = Play({'a': constant(level), 'b': constant(10), 'c': constant(60)})
    play.run(5)
    assert nobody_left(play)


# Load: one data centre's callers ask for half again as much as it has.
@pytest.mark.parametrize('late_s', [0.1, 0.2, 0.4])
def test_shares_settle_within_two_seconds_of_a_jump_with_late_reports(late_s):
    play = Play(
        {'a': jump(60, 120), 'b': constant(30), 'c': constant(30)},
        late_s=late_s,
    ).run(10)
    # It settles two seconds after the first report of the jump has come.
    settled = [play.percent('a', at) for at in range(36, 100)]
    assert 10 < play.percent('a') < 30
    assert max(settled) - min(settled) < 15
    assert max(play.loads.values()) < SLOTS
    assert len(role_changes(play, 'a')) == 1
    never_each_other(play)


# Load: waves of demand in three data centres, each a third out of phase.
@pytest.mark.parametrize('late_s', [0.1, 0.4])
def test_waves_out_of_phase_are_evened_out(late_s):
    asks = {name: wave(75, third / 3) for third, name in enumerate('abc')}
    play = Play(asks, late_s=late_s)
    peak = 0
    for _ in range(450):
        play.step()
        peak = max(peak, *play.loads.values())
    assert peak < 112  # each has callers for 116, and a queue of them
    never_each_other(play)
    for name in 'abc':
        changes = role_changes(play, name)
        pauses = [new - old for old, new in itertools.pairwise(changes)]
        assert min(pauses) >= round(1 / STEP_S)
        assert len(changes) <= 4 * 3 + 2  # a cycle of roles a wave


# Load: all data centres have more callers than slots.
def test_all_stay_at_home_while_all_are_full():
    play = Play({name: constant(130) for name in 'abc'}).run(5)
    assert nobody_left(play)


# Load: a data centre without endpoints, another one nearly full.
def test_all_leave_a_data_centre_without_endpoints_at_once():
    play = Play(
        {'a': constant(40), 'b': constant(20), 'c': constant(74)},
        {'a': 0, 'b': SLOTS, 'c': SLOTS},
    )
    play.loads['a'] = 0
    play.run(STEP_S)
    assert play.percent('a') == 100
    assert round(100 * play.sent[-1]['a']['b']) > 90


# Load: two data centres short of room, a small spare in the third.
def test_senders_share_a_small_spare_by_their_excess():
    demands = {
        'a': Demand(100, 20, SLOTS, Role.SENDS),
        'b': Demand(100, 50, SLOTS, Role.SENDS),
        'c': Demand(65, 0, SLOTS, Role.TAKES),
    }
    flows = divide(demands, Price(0, 350))
    part = 10 / 65  # of each one's excess
    divided = {('a', 'c'): 25 * part, ('b', 'c'): 40 * part}
    assert flows == pytest.approx(divided)


def test_a_small_spare_is_not_overrun_by_two_senders_with_late_reports():
    asks = {'a': jump(60, 130), 'b': jump(60, 150), 'c': constant(60)}
    play = Play(asks)
    for _ in range(80):
        play.step()
        assert play.loads['c'] < 85
    never_each_other(play)


# Load: the reports of a taker stop, then it is found to be cut off.
def test_a_data_centre_that_freezes_gets_no_more_than_its_last_spare():
    play = Play({'a': constant(120), 'b': constant(30), 'c': constant(30)})
    play.run(3)
    before = play.sent[-1]['a']['b']
    play.frozen = frozenset('b')
    play.run(1)
    assert play.sent[-1]['a']['b'] < 1.5 * before
    play.cut = frozenset('b')
    play.run(STEP_S)
    assert 'b' not in play.sent[-1]['a']
    play.run(2)
    assert play.sent[-1]['a']['c'] > before


# Load: the data centre that is short of room is itself cut off.
def test_a_data_centre_that_is_cut_off_keeps_all_at_home():
    play = Play({'a': constant(130), 'b': constant(30)}).run(2)
    assert play.percent('a')
    play.cut = frozenset('b')  # as seen from a
    play.run(1)
    assert not play.percent('a')


# Load: too little room at home, and bytes that cost much.
def test_at_a_high_price_only_a_large_gain_makes_requests_leave():
    dear = Price(leaving_cost_ms(20000, 5, 10000), turnover_ms=350)
    shares = {
        level: Play({'a': constant(level), 'b': constant(20)}, price=dear)
        .run(0.6)
        .percent('a')
        for level in (110, 130, 160, 200)
    }
    assert not shares[110]
    assert not shares[130]
    assert 0 < shares[160] < shares[200]


# Load: a gateway starts while the others have been sending for long.
def test_a_gateway_that_starts_late_comes_to_the_same_share():
    asks = {'a': constant(130), 'b': constant(20), 'c': constant(30)}
    play = Play(asks).run(8)
    started = CrossShares()
    for _ in range(40):
        late = play.known[0]
        rooms = {name: Room(load, SLOTS) for name, load in late.items()}
        play.step()
        started.step(rooms, CHEAP, play.now_s)
    other = 100 * sum(started.shares_of('a').values())
    assert other == pytest.approx(play.percent('a'), abs=8)


@pytest.mark.parametrize(
    ('served', 'waiting', 'expected_ms'),
    [(50, 0, 0), (85, 0, 0), (100, 85, 350)],
)
def test_waiting_time_grows_with_what_has_no_slot(served, waiting, expected_ms):
    demand = Demand(served, waiting, SLOTS)
    assert waiting_ms(demand, CHEAP) == pytest.approx(expected_ms)


# A long queue at home and two others with room: the shares of one sender added
# up to more than all of its requests.
def test_shares_of_a_sender_are_a_part_of_its_requests():
    shares = CrossShares()
    rooms = {'a': Room(92, 12), 'b': Room(0, 40), 'c': Room(0, 40)}
    for step in range(30):
        shares.step(rooms, CHEAP, step * STEP_S)
    assert 0 < sum(shares.shares_of('a').values()) <= 1
    assert shares.demand_of('a').requests >= 0

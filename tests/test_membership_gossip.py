"""Heartbeat rounds of several instances, in simulated time."""

import random
from collections import deque

import pytest
from thrift.transport import TTransport

from cactusledge.peers import convert, gossip
from cactusledge.peers.member_table import Member
from cactusledge.peers.messages import Heartbeat, MemberView
from cactusledge.peers.transport import new_protocol

DATA_CENTRES = 4
INSTANCES = 8
DETECTION_LIMIT_S = 3.0
BYTES_PER_S = 3000  # for each instance with 8 of them


class GossipSimulation:
    """Instances that exchange heartbeats in simulated time."""

    def __init__(self, seed, instances=INSTANCES):
        self.rng = random.Random(seed)
        self.now_s = 0
        self.states = {}
        for number in range(instances):
            centre = f'dc{number % DATA_CENTRES}'
            view = MemberView(f'{centre}-{number}', '10.0.0.1', 1, centre, 5)
            self.states[view.name] = gossip.GossipState(view)
        self.offsets = {name: self.rng.random() for name in self.states}
        self.dead = set()
        self.refusing = True
        self.cut = set()
        self.bytes = 0

    def connect_all(self):
        """Makes every instance know all others."""
        for name, state in self.states.items():
            table = {
                other: Member(self.states[other].me, 0)
                for other in self.states
                if other != name
            }
            self.states[name] = state._replace(table=table)

    def run(self, intervals):
        """Runs whole intervals."""
        deque(self.steps(intervals), maxlen=0)

    def steps(self, intervals):
        """Runs whole intervals; yields after each instance's round."""
        for _ in range(intervals):
            start_s = self.now_s
            for name in sorted(self.offsets, key=self.offsets.get):
                self.now_s = start_s + self.offsets[name]
                if name not in self.dead:
                    self._round(name)
                yield name
            self.now_s = start_s + 1

    def live_names(self):
        """Returns the names that each living instance believes alive."""
        return {
            name: {one.name for one in state.live(self.now_s).members}
            for name, state in self.states.items()
            if name not in self.dead
        }

    def _round(self, name):
        begun = gossip.begin_round(
            self.states[name],
            self.now_s,
            self.rng.shuffle,
        )
        self.states[name] = begun.state
        for target in begun.targets:
            self._exchange(name, target.name)

    def _exchange(self, name, peer):
        state = self.states[name]
        if peer in self.dead or frozenset((name, peer)) in self.cut:
            if self.refusing:
                self.states[name] = gossip.mark_unreachable(state, peer)
            return
        message = gossip.build_heartbeat(state, peer, self.now_s)
        received = gossip.receive(self.states[peer], message, self.now_s)
        self.states[peer] = received.state
        state, views = gossip.receive_reply(
            state,
            received.reply,
            self.now_s,
        )
        self.states[name] = state
        self.bytes += encoded_size(message) + encoded_size(received.reply)
        if views:
            message = Heartbeat(name, views)
            received = gossip.receive(self.states[peer], message, self.now_s)
            self.states[peer] = received.state


def encoded_size(message):
    buffer = TTransport.TMemoryBuffer()
    convert.to_thrift(message).write(new_protocol(buffer))
    return len(buffer.getvalue())


@pytest.fixture(params=range(8))
def rounds(request):
    group = GossipSimulation(request.param)
    group.connect_all()
    return group


def test_the_living_stay_alive_to_all_at_a_bounded_cost(rounds):
    everyone = set(rounds.states)
    for _ in rounds.steps(60):
        assert all(seen == everyone for seen in rounds.live_names().values())
    sent_and_received = 2 * rounds.bytes / 60 / INSTANCES
    assert sent_and_received < BYTES_PER_S


def test_far_members_stay_alive_though_heartbeats_carry_a_slice():
    large = GossipSimulation(seed=1, instances=36)
    large.connect_all()
    everyone = set(large.states)
    large.run(66)
    for _ in large.steps(1):
        assert all(seen == everyone for seen in large.live_names().values())


@pytest.mark.parametrize('refusing', [True, False], ids=['process', 'machine'])
def test_a_dead_instance_is_seen_in_time(rounds, refusing):
    rounds.refusing = refusing
    rounds.run(10)
    gone = next(iter(rounds.states))
    rounds.dead.add(gone)
    died_s = rounds.now_s
    for _ in rounds.steps(5):
        if rounds.now_s - died_s >= DETECTION_LIMIT_S:
            assert all(
                gone not in seen for seen in rounds.live_names().values()
            )


def test_a_cut_between_two_does_not_hide_them_from_the_others(rounds):
    first, second, *others = rounds.states
    rounds.cut.add(frozenset((first, second)))
    rounds.refusing = False
    for _ in rounds.steps(30):
        seen = rounds.live_names()
        assert all({first, second} <= seen[name] for name in others)


def test_leaving_spreads_and_lasts(rounds):
    name = next(iter(rounds.states))
    rounds.states[name] = gossip.leave(rounds.states[name])
    rounds.run(4)
    for _ in rounds.steps(4):
        for state in rounds.states.values():
            taking = state.live(rounds.now_s).available()
            assert name not in {one.name for one in taking}


def test_a_restarted_instance_learns_all_and_is_known_as_new(rounds):
    name = next(iter(rounds.states))
    me = rounds.states[name].me
    rounds.states[name] = gossip.GossipState(me._replace(incarnation=6))
    rounds.run(6)
    assert rounds.live_names()[name] == set(rounds.states)
    known = {
        state.table[name].view.incarnation
        for other, state in rounds.states.items()
        if other != name
    }
    assert known == {6}


def test_an_instance_outdoes_an_earlier_run_under_its_name(rounds):
    state = next(iter(rounds.states.values()))
    earlier = state.me._replace(incarnation=9, leaving=True)
    learned, _ = gossip.merge_message(state, [earlier], (), 0)
    assert learned.me.incarnation == 10
    assert not learned.me.leaving

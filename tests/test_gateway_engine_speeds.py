"""Which engine a turn goes to when engines differ in speed; no network."""

import itertools

import pytest

from cactusledge.gateway.engine_speeds import EventTimer, Pace, TimedEvents
from cactusledge.gateway.loads import Loads
from cactusledge.gateway.messages import PromptPart, Replica
from cactusledge.gateway.placement import Terms, choose_engine
from cactusledge.gateway.reading_speeds import (
    USUAL_TOKENS_PER_MS,
    Reading,
    ReadingSpeed,
)

HERE = 'dc-a'
ENGINES = tuple(
    Replica(name, 'svc', '10.0.0.1', 80, HERE, 8, False, 1)
    for name in ('e0', 'e1', 'e2', 'e3')
)
TURN_EVENTS = 7


def loads_with(event_ms, turns=3, now_s=0):
    """Returns loads in which each engine has answered some turns."""
    loads = Loads()
    for engine, ms in zip(ENGINES, event_ms, strict=True):
        for _ in range(turns):
            timed = TimedEvents(TURN_EVENTS, ms * TURN_EVENTS)
            loads.record_pace(engine, timed, now_s)
    return loads


def shares_of(loads, turns, parts=(), now_s=0.1):
    """Sends turns that all come at once; returns how many each engine got."""
    for _ in range(turns):
        chosen = choose_engine(ENGINES, loads, parts, Terms(HERE, now_s))
        loads.at(chosen).in_flight += 1
    return [loads.at(engine).in_flight for engine in ENGINES]


# A quarter of the engines runs at half the time of the others.
def test_turns_that_come_at_once_go_to_the_fast_quarter_first():
    shares = shares_of(loads_with((25, 50, 50, 50)), 8)
    assert shares == [8, 0, 0, 0]


# The fast quarter is full: the others have room.
def test_fast_engine_gets_no_more_turns_than_it_serves_sooner():
    shares = shares_of(loads_with((25, 50, 50, 50)), 24)
    assert 8 <= shares[0] <= 14
    assert min(shares[1:]) >= 3


# A quarter of the engines runs at half the speed of the others.
def test_engine_at_half_the_speed_gets_turns_only_when_others_are_full():
    loads = loads_with((100, 50, 50, 50))
    assert shares_of(loads, 18)[0] == 0
    assert shares_of(loads, 30)[0] > 0


# Equal engines: chance differences of a tenth move no turn.
def test_equal_engines_share_turns_equally():
    shares = shares_of(loads_with((46, 50, 51, 54)), 16)
    assert max(shares) - min(shares) <= 1


# Nothing is known: after a start, turns spread as before.
def test_unknown_engines_share_turns_equally():
    assert shares_of(Loads(), 16) == [4, 4, 4, 4]


# An engine joins while the fast one is busy: it is tried.
def test_engine_that_joins_is_taken_for_a_usual_one():
    loads = loads_with((50, 50, 50, 50))
    joined = Replica('new', 'svc', '10.0.0.2', 80, HERE, 8, False, 1)
    for engine in ENGINES:
        loads.at(engine).in_flight = 3
    chosen = choose_engine((*ENGINES, joined), loads, (), Terms(HERE, 0.1))
    assert chosen == joined


# An engine restarts under its id: its earlier speed is forgotten.
def test_speed_is_forgotten_with_the_lifetime():
    loads = loads_with((25, 50, 50, 50))
    restarted = ENGINES[0]._replace(born_ms=2)
    assert loads.at(restarted).pace.event_ms is None
    late = TimedEvents(TURN_EVENTS, 25 * TURN_EVENTS)
    loads.record_pace(ENGINES[0], late, 0.2)
    assert loads.at(restarted).pace.event_ms is None


# An engine slows down and recovers: it gets turns again within a minute.
def test_slow_engine_gets_turns_again_after_a_while():
    loads = loads_with((200, 50, 50, 50))
    assert shares_of(loads, 12, now_s=1)[0] == 0
    assert shares_of(loads, 12, now_s=40)[0] > 0


# A single answer stalls, as after a slow caller or a busy gateway.
def test_one_stalled_answer_does_not_make_an_engine_slow():
    pace = Pace()
    for _ in range(6):
        pace.add(TimedEvents(TURN_EVENTS, 50 * TURN_EVENTS), 0)
    pace.add(TimedEvents(TURN_EVENTS, 5000), 0)
    assert pace.expected_ms(50, 0) < 50 * 1.6


# Long programs behind short ones: a kept prompt still outweighs speed.
def test_long_prompt_stays_where_it_is_kept():
    loads = loads_with((40, 50, 50, 50))
    parts = (PromptPart('shared', 12000), PromptPart('own', 40000))
    loads.at(ENGINES[2]).add_cached_parts(parts)
    assert choose_engine(ENGINES, loads, parts, Terms(HERE, 0)) == ENGINES[2]


# Reports come late: turns sent since the last one count all the same.
def test_turns_sent_since_the_last_report_count_at_the_fast_engine():
    loads = loads_with((25, 50, 50, 50))
    for engine in ENGINES:
        loads.at(engine).remote_in_flight = 6
    shares = shares_of(loads, 16)
    assert 2 <= shares[0] <= 8
    assert min(shares[1:]) >= 2


# Engines leave under load: their turns go to the next fast ones.
def test_turns_of_a_leaving_engine_go_to_the_fastest_that_is_left():
    loads = loads_with((25, 30, 50, 50))
    for engine in ENGINES:
        loads.at(engine).in_flight = 4
    left = ENGINES[1:]
    assert choose_engine(left, loads, (), Terms(HERE, 0.1)) == left[0]


# A gateway is back after a cut: what it knew is too old to count.
def test_speeds_from_before_a_cut_count_no_more_after_it():
    shares = shares_of(loads_with((25, 50, 50, 50)), 16, now_s=40)
    assert shares == [4, 4, 4, 4]


@pytest.mark.parametrize(
    ('notes', 'timed'),
    [
        ([], TimedEvents()),
        ([(1, 2.0)], TimedEvents(0, 0)),
        ([(1, 2.0), (3, 2.1), (5, 2.2)], TimedEvents(4, 200)),
        ([(2, 2.0), (2, 2.1)], TimedEvents(0, 100)),
    ],
)
def test_first_part_is_not_timed(notes, timed):
    timer = EventTimer()
    for events, now_s in notes:
        timer.note(events, now_s)
    assert timer.timed.events == timed.events
    assert timer.timed.took_ms == pytest.approx(timed.took_ms)


def speed_after(turns):
    """Returns the reading speed after (tokens, wait in ms, has room)."""
    speed = ReadingSpeed()
    for tokens, wait_ms, has_room in turns:
        speed.add(Reading(tokens, 0, has_room), wait_ms / 1000)
    return speed.tokens_per_ms


# Engines that read two or three times as fast as the usual ones.
@pytest.mark.parametrize('tokens_per_ms', [336, 471])
def test_reading_speed_is_learnt_from_prompts_of_different_lengths(
    tokens_per_ms,
):
    turns = [
        (tokens, 40 + tokens / tokens_per_ms, True)
        for tokens in (14000, 1680, 840, 0, 13500, 1200)
    ]
    assert speed_after(turns) == pytest.approx(tokens_per_ms, rel=0.2)


# All come at once, or programs have short prompts only: nothing is learnt.
@pytest.mark.parametrize(
    'turns',
    [
        [],
        [(1680, 900, False), (14000, 50, False)],
        [(900, 40, True), (920, 75, True), (880, 60, True)],
    ],
)
def test_usual_reading_speed_holds_while_nothing_is_learnt(turns):
    assert speed_after(turns) == pytest.approx(USUAL_TOKENS_PER_MS, rel=0.1)


# Engines read fast and stall at times: the estimate stays in its bounds.
def test_stalls_do_not_take_the_reading_speed_out_of_its_bounds():
    sooner = ((14000, 41, True), (10, 9000, True))
    assert speed_after(itertools.chain(sooner, sooner)) < 1000
    later = ((14000, 9000, True), (10, 41, True))
    assert speed_after(itertools.chain(later, later)) > 20


# An engine joins under load: its first prompt costs what it takes there.
def test_engine_that_joins_gets_turns_sooner_if_engines_read_fast():
    loads = loads_with((50, 50, 50, 50))
    parts = (PromptPart('shared', 12600), PromptPart('own', 1680))
    for engine in ENGINES[1:]:
        loads.at(engine).in_flight = 7
        loads.at(engine).add_cached_parts(parts[:1])
    assert choose_engine(ENGINES, loads, parts, Terms(HERE, 0)) != ENGINES[0]
    for tokens in (14000, 100) * 20:
        wait_s = 0.04 + tokens / 471 / 1000
        loads.reading['svc'].add(Reading(tokens, 0, has_room=True), wait_s)
    assert choose_engine(ENGINES, loads, parts, Terms(HERE, 0)) == ENGINES[0]

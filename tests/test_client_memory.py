"""Which connections give way when memory or descriptors are short."""

from types import SimpleNamespace

import pytest

from cactusledge.gateway.buffer_space import (
    FULL_FACTOR,
    MIB,
    BufferSpace,
    MachineLimits,
    bounds_of,
)
from cactusledge.gateway.client_link import ClientHoldings
from cactusledge.gateway.client_memory import ClientMemory
from cactusledge.gateway.connection_slots import ConnectionSlots, Stage

FULL = 1000  # bytes
NOW_S = 100.0


class FakeHolder:
    """A connection that holds bytes since a time."""

    def __init__(self, held, since_s, *, can_spare=True):
        self.held = held
        self.since_s = since_s
        self.can_spare = can_spare
        self.gave_back = False

    @property
    def spare(self):
        return self.held if self.can_spare else 0

    def stalled_s(self, now_s):
        return now_s - self.since_s

    def give_back(self):
        self.gave_back = True
        self.held = 0


class FakeConnection:
    """A connection that takes a descriptor."""

    def __init__(self):
        self.gave_way = False

    def give_way(self):
        self.gave_way = True


def memory_of(*holders):
    """Returns a full memory, and which holders have given back."""
    memory = ClientMemory(BufferSpace(int(FULL / FULL_FACTOR)))
    for holder in holders:
        memory.charge(holder, NOW_S)
    return memory, [each.gave_back for each in holders]


# The newest caller was refused for what others had held for long.
def test_holder_of_the_most_for_the_longest_gives_way():
    slow_large = FakeHolder(600, NOW_S - 5)
    fast_large = FakeHolder(350, NOW_S - 0.01)
    ordinary = FakeHolder(60, NOW_S)
    _, gave_back = memory_of(slow_large, fast_large, ordinary)
    assert gave_back == [True, False, False]


# What a request in service holds is not given up for others.
def test_holder_that_can_spare_nothing_is_kept():
    serving = FakeHolder(700, NOW_S - 9, can_spare=False)
    reading = FakeHolder(400, NOW_S)
    _, gave_back = memory_of(serving, reading)
    assert gave_back == [False, True]


# Bytes that were taken meanwhile counted until the connection was used again.
def test_what_is_not_held_any_more_does_not_count():
    taken = FakeHolder(900, NOW_S - 9)
    memory, _ = memory_of(taken)
    taken.held = 0
    memory.charge(FakeHolder(500, NOW_S), NOW_S)
    assert not taken.gave_back


# Large requests left no room for a small one beside them.
def test_small_request_is_served_beside_large_ones():
    memory, _ = memory_of()
    while memory.admits(100):
        memory.begin_serving(100)
    assert memory.admits(25)
    for _ in range(4):
        memory.end_serving(100)
    assert memory.admits(100)


# A request inside the limits, but large for the machine, was never served.
def test_largest_request_is_served_in_calm():
    memory, _ = memory_of()
    memory.begin_serving(20)
    assert memory.admits(600)
    memory.begin_serving(600)
    assert not memory.admits(100)


# No descriptor was left for calls to endpoints, peers and stores.
@pytest.mark.parametrize(
    ('stages', 'gives_way'),
    [
        ((Stage.READING, Stage.IDLE, Stage.IDLE), 1),
        ((Stage.READING, Stage.SERVING, Stage.SERVING), 0),
        ((Stage.SERVING, Stage.SERVING, Stage.SERVING), 3),
        ((Stage.IDLE, Stage.NEW, Stage.ENDING), 2),
    ],
)
def test_idle_connection_gives_way_first(stages, gives_way):
    slots = ConnectionSlots(len(stages))
    conns = [FakeConnection() for _ in range(len(stages) + 1)]
    for conn, stage in zip(conns, stages, strict=False):
        slots.add(conn)
        slots.move(conn, stage)
    slots.add(conns[-1])
    assert [conn.gave_way for conn in conns].index(True) == gives_way
    assert len(slots) == len(stages)


# A refusal without a request would be taken for the next request's answer.
@pytest.mark.parametrize(('is_paused', 'spare'), [(False, 0), (True, 700)])
def test_end_of_an_answer_is_kept_while_it_is_taken(is_paused, spare):
    holdings = ClientHoldings(
        SimpleNamespace(held=0),
        SimpleNamespace(unsent=700),
        SimpleNamespace(is_paused=is_paused),
        None,
    )
    assert holdings.held == 700
    assert holdings.spare == spare


# The limits of the machine were not known to the process.
def test_bounds_leave_descriptors_and_memory_for_the_rest():
    bounds = bounds_of(MachineLimits(memory_mb=150, descriptors=4100))
    assert bounds.memory_bytes < 50 * MIB
    assert bounds.callers + 2 * bounds.page_clients < 0.8 * (4100 - 200)

"""Exhaustive check of one write while stores lose their disks in turn.

The search runs the real decision functions for every order in which a write
reaches the stores, replies get lost, a store loses its disk, reads the other
logs and becomes a witness again. One disk is lost at a time: the next store
may fail once the previous one has caught up. A request is lost with its
connection: one that has not reached a store when it loses its disk never does.
"""

import functools
from typing import NamedTuple

import pytest

from cactusledge.records import quorum
from cactusledge.records.membership import sources_needed
from cactusledge.records.messages import Appended
from tests.model_search import search

WIPES = 2


class Store(NamedTuple):
    """A store, with the readers of its log that it knows of."""

    disk: int = 0  # number of disks lost so far
    has_record: bool = False
    is_witness: bool = True
    sources: frozenset = frozenset()  # read since the disk was lost
    readers: tuple = ()  # pairs of a store and its disk


class World(NamedTuple):
    """The stores, and the client's replies and verdict."""

    stores: tuple
    asked: frozenset = frozenset()  # stores that the write has reached
    replies: tuple = ()  # pairs of a store and its reply, in order of store
    is_confirmed: bool = False  # whether the caller knows it as durable
    wipes: int = 0


def successors(world, counted):
    """Yields every possible next state."""
    yield from writes(world)
    yield from wipes(world)
    yield from readings(world)
    if is_enough(world, counted) and not world.is_confirmed:
        yield world._replace(is_confirmed=True)


def writes(world):
    """Yields the states after a store writes, its reply received or lost."""
    for place, store in enumerate(world.stores):
        if place in world.asked:
            continue
        found = with_store(world, place, store._replace(has_record=True))
        found = found._replace(asked=world.asked | {place})
        yield found
        reply = (place, (store.disk, store.readers))
        yield found._replace(replies=tuple(sorted((*found.replies, reply))))


def wipes(world):
    if world.wipes == WIPES or not all_witnesses(world):
        return
    for place, store in enumerate(world.stores):
        emptied = Store(store.disk + 1, is_witness=False)
        found = with_store(world, place, emptied)
        asked = world.asked | {place}
        yield found._replace(asked=asked, wipes=world.wipes + 1)


def readings(world):
    """Yields the states after a store that lost its disk catches up."""
    for place, reader in enumerate(world.stores):
        if not reader.is_witness:
            yield from catch_up(world, place, reader)


def catch_up(world, place, reader):
    if len(reader.sources) >= sources_needed(len(world.stores)):
        witness = reader._replace(is_witness=True, sources=frozenset())
        yield with_store(world, place, witness)
    for other, source in enumerate(world.stores):
        if source.is_witness and other not in reader.sources:
            yield reading(world, place, other)


def reading(world, place, other):
    """Returns the state after one store has read another's log."""
    reader, source = world.stores[place], world.stores[other]
    readers = {**dict(source.readers), place: reader.disk}
    updated = source._replace(readers=tuple(sorted(readers.items())))
    filled = reader._replace(
        has_record=reader.has_record or source.has_record,
        sources=reader.sources | {other},
    )
    return with_store(with_store(world, other, updated), place, filled)


def with_store(world, place, store):
    stores = list(world.stores)
    stores[place] = store
    return world._replace(stores=tuple(stores))


def all_witnesses(world):
    return all(store.is_witness for store in world.stores)


def is_enough(world, counted):
    replies = {
        str(place): Appended(
            log_id=str(disk),
            replaced={str(name): str(new) for name, new in readers},
        )
        for place, (disk, readers) in world.replies
    }
    return len(counted(replies)) >= quorum.majority(len(world.stores))


def is_lost(world):
    """Returns whether a confirmed record is on less than a majority."""
    if not (world.is_confirmed and all_witnesses(world)):
        return False
    held = sum(store.has_record for store in world.stores)
    return held < quorum.majority(len(world.stores))


def play(size, counted):
    """Returns the number of states, and one with a lost record if any."""
    follow = functools.partial(successors, counted=counted)
    return search(World((Store(),) * size), follow, is_lost)


@pytest.mark.timeout(300)
def test_confirmed_record_outlives_disks_lost_in_turn():
    count, lost = play(3, quorum.replies_on_current_disks)
    assert lost is None
    assert count > 1000


@pytest.mark.parametrize('size', [3, 4])
def test_without_the_check_of_disks_a_record_is_lost(size):
    _, lost = play(size, lambda replies: replies)
    assert lost is not None

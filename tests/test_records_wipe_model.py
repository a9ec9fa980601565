"""Exhaustive check of one write while stores lose their disks in turn.

The search drives the product's own decisions through every order in which a
write reaches the stores, replies get lost, a store loses its disk, reads the
others' logs and counts again. One disk is lost at a time: the next store may
fail once the one before has caught up. A request does not outlive the
connection that it was sent on: one that has not reached a store when it loses
its disk never does.
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
    """A store and what it knows of those that have read its log."""

    disk: int = 0  # grows with each disk that it lost
    has_record: bool = False
    is_witness: bool = True
    sources: frozenset = frozenset()  # read since the disk was lost
    readers: tuple = ()  # pairs of a store and its disk


class World(NamedTuple):
    """The stores, the replies that the client has, and its verdict."""

    stores: tuple
    asked: frozenset = frozenset()  # stores that the write has reached
    replies: tuple = ()  # pairs of a store and its reply, in order of store
    is_told: bool = False  # whether the caller knows the turn as durable
    wipes: int = 0


def successors(world, counted):
    """Yields every world that can come next."""
    yield from writes(world)
    yield from wipes(world)
    yield from readings(world)
    if is_enough(world, counted) and not world.is_told:
        yield world._replace(is_told=True)


def writes(world):
    """The write reaches a store; its reply comes back or gets lost."""
    for place, store in enumerate(world.stores):
        if place in world.asked:
            continue
        found = with_store(world, place, store._replace(has_record=True))
        found = found._replace(asked=world.asked | {place})
        yield found
        reply = (place, (store.disk, store.readers))
        yield found._replace(replies=tuple(sorted((*found.replies, reply))))


def wipes(world):
    if world.wipes == WIPES or not all_count(world):
        return
    for place, store in enumerate(world.stores):
        emptied = Store(store.disk + 1, is_witness=False)
        found = with_store(world, place, emptied)
        asked = world.asked | {place}
        yield found._replace(asked=asked, wipes=world.wipes + 1)


def readings(world):
    """A store without its disk reads another, or counts again."""
    for place, reader in enumerate(world.stores):
        if not reader.is_witness:
            yield from catch_up(world, place, reader)


def catch_up(world, place, reader):
    if len(reader.sources) >= sources_needed(len(world.stores)):
        counting = reader._replace(is_witness=True, sources=frozenset())
        yield with_store(world, place, counting)
    for other, source in enumerate(world.stores):
        if source.is_witness and other not in reader.sources:
            yield reading(world, place, other)


def reading(world, place, other):
    """Returns the world after one store has read another."""
    reader, source = world.stores[place], world.stores[other]
    readers = {**dict(source.readers), place: reader.disk}
    told = source._replace(readers=tuple(sorted(readers.items())))
    filled = reader._replace(
        has_record=reader.has_record or source.has_record,
        sources=reader.sources | {other},
    )
    return with_store(with_store(world, other, told), place, filled)


def with_store(world, place, store):
    stores = list(world.stores)
    stores[place] = store
    return world._replace(stores=tuple(stores))


def all_count(world):
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
    """Returns whether a record that was told stands on too few disks."""
    if not (world.is_told and all_count(world)):
        return False
    held = sum(store.has_record for store in world.stores)
    return held < quorum.majority(len(world.stores))


def play(size, counted):
    """Returns the number of worlds, and one that loses if there is."""
    follow = functools.partial(successors, counted=counted)
    return search(World((Store(),) * size), follow, is_lost)


@pytest.mark.timeout(300)
def test_told_record_outlives_disks_lost_in_turn():
    count, lost = play(3, quorum.replies_on_current_disks)
    assert lost is None
    assert count > 1000


@pytest.mark.parametrize('size', [3, 4])
def test_without_the_check_of_disks_a_record_is_lost(size):
    _, lost = play(size, lambda replies: replies)
    assert lost is not None

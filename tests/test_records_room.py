"""Stores that have little room left in memory or on disk."""

import asyncio
import math
import random

import pytest

from cactusledge.records import disk
from cactusledge.records.entries import RETENTION_S, Settled, Turn
from cactusledge.records.messages import Append, Appended, Failed
from cactusledge.records.quorum import Verdict
from cactusledge.records.room import KNOWN_S, Room, StoreRooms
from cactusledge.records.room_account import RoomAccount, StoreLimits, Use
from tests.records_support import turn_start, wait_until

TEXT_BYTES = 10_000
TURNS = 20
BUDGET = 1000
TIMER_PRECISION_S = 0.01  # the event loop may wake up a millisecond early
MB = 1_000_000
LIMITS = StoreLimits(memory_mb=170, disk_mb=440)


def turn(turn_id, parent_id=''):
    text = random.randbytes(TEXT_BYTES)
    return Turn(turn_id, parent_id, 'p', text, b'out', 10, 'engine-1', ())


def limit(cluster, factor):
    """Gives each store so many times the bytes on disk that it uses."""
    for node in cluster.nodes.values():
        account = node.store.log.account
        account.disk_bytes = account.use.disk * factor


async def fill(cluster):
    """Records a chain of turns; returns the id of the last one."""
    for number in range(TURNS):
        parent_id = f't{number - 1}' if number else ''
        assert await cluster.client.record(turn(f't{number}', parent_id))
    return f't{TURNS - 1}'


def rooms_of(cluster):
    """Returns what decides about room, for a failure report."""
    rooms = cluster.client.peers.by_shard[0].rooms
    accounts = [node.store.log.account for node in cluster.nodes.values()]
    return rooms._lacking, [
        (account.use, account.disk_bytes, account.room) for account in accounts
    ]


async def verdict(cluster, *args):
    grant = await cluster.client.begin(turn_start(*args, budget=BUDGET))
    return grant.verdict


# A store took all that came until it was killed over its limit, and was
# killed again at each start after that.
@pytest.mark.process
def test_new_programs_are_refused_first_and_taken_again(
    run_scenario, monkeypatch
):
    monkeypatch.setattr(disk, 'SEGMENT_BYTES', 1)

    async def scenario(cluster):
        last_id = await fill(cluster)
        limit(cluster, 1.2)
        assert await verdict(cluster, 'new') is Verdict.NO_ROOM
        heads = [node.store.log.head for node in cluster.nodes.values()]
        assert await verdict(cluster, 'other') is Verdict.NO_ROOM
        assert heads == [node.store.log.head for node in cluster.nodes.values()]
        assert await verdict(cluster, 'next', last_id) is Verdict.GRANTED
        assert await cluster.client.record(turn('next', last_id))
        limit(cluster, 1.05)
        assert await verdict(cluster, 'later', last_id) is Verdict.NO_ROOM
        for node in cluster.nodes.values():
            node.store.log.expire(math.inf)
        await asyncio.sleep(KNOWN_S + TIMER_PRECISION_S)
        found = await verdict(cluster, 'new')
        assert found is Verdict.GRANTED, rooms_of(cluster)

    run_scenario(3, scenario)


# A program without a budget reserves nothing, and is recorded all the same.
@pytest.mark.process
def test_programs_without_budget_are_refused_as_well(run_scenario):
    async def scenario(cluster):
        last_id = await fill(cluster)
        limit(cluster, 1.2)
        assert await cluster.client.record(turn('next', last_id))
        grant = await cluster.client.begin(turn_start('new', budget=None))
        assert grant.verdict is Verdict.NO_ROOM

    run_scenario(3, scenario)


# One store with a smaller disk than the others refuses nobody.
@pytest.mark.process
def test_store_without_room_is_spared_while_others_have_some(run_scenario):
    async def scenario(cluster):
        await fill(cluster)
        log = cluster.nodes['store-0'].store.log
        log.account.disk_bytes = log.account.use.disk * 1.2
        assert await verdict(cluster, 'new') is Verdict.GRANTED
        assert await cluster.client.record(turn('new'))
        await wait_until(lambda: not log.state.has_text('new'))

    run_scenario(3, scenario)


# Writes above the limit are refused before they can end the process.
@pytest.mark.process
def test_write_above_the_limit_is_refused_until_there_is_room(run_scenario):
    async def scenario(cluster):
        await fill(cluster)
        store = cluster.nodes['store-0'].store
        store.log.account.disk_bytes = store.log.account.use.disk_total
        request = Append(store.group.generation, [turn('t')])
        assert isinstance(await store.handle(request), Failed)
        assert 't' not in store.log.state.turns
        store.log.account.disk_bytes = math.inf
        assert isinstance(await store.handle(request), Appended)

    run_scenario(3, scenario)


@pytest.mark.parametrize(
    ('use', 'room'),
    [
        (Use(0, 0, 0), Room.FREE),
        (Use(90 * MB, 0, 0), Room.SHORT),
        (Use(0, 320 * MB, 0), Room.SHORT),
        (Use(110 * MB, 0, 0), Room.FULL),
        (Use(0, 400 * MB, 0), Room.FULL),
        (Use(0, 0, 350 * MB), Room.FREE),
        (Use(0, 0, 400 * MB), Room.SHORT),
        (Use(0, 0, 416 * MB), Room.FULL),
    ],
)
def test_room_follows_from_the_scarcer_of_memory_and_disk(use, room):
    account = RoomAccount(LIMITS)
    account.use = use
    assert account.room is room


@pytest.mark.parametrize('size_mb', [1, 8, 30])
def test_small_machine_has_some_room(size_mb):
    account = RoomAccount(StoreLimits(size_mb, size_mb))
    assert account.room is Room.FREE
    assert account.has_space_for(MB)


def test_machine_without_limits_always_has_room():
    account = RoomAccount(StoreLimits())
    account.use = Use(10**15, 10**15, 10**15)
    assert account.room is Room.FREE
    assert account.has_space_for(10**15)


def test_store_that_is_silent_may_have_room_again(monkeypatch):
    now_s = [0]
    monkeypatch.setattr(
        'cactusledge.records.room.time.monotonic', lambda: now_s[0]
    )
    rooms = StoreRooms()
    rooms.note({'a': Appended(room=Room.SHORT), 'b': Appended()})
    assert rooms.better_than(['a', 'b'], Room.SHORT) == ['b']
    assert rooms.better_than(['a', 'b'], Room.FULL) == ['a', 'b']
    now_s[0] = KNOWN_S + 1
    assert rooms.better_than(['a', 'b'], Room.SHORT) == ['a', 'b']


def test_settlement_keeps_the_retention_of_its_route():
    assert Settled('p', 't', 1).retention_s == RETENTION_S

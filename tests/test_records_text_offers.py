"""Copies of texts that stores should keep of turns that they have missed."""

import asyncio
import math
import time

import msgspec
import pytest

from cactusledge.records import group_manager
from cactusledge.records.disk import list_segments
from cactusledge.records.draining import StoreDrain
from cactusledge.records.entries import (
    RETENTION_S,
    Group,
    Member,
    Message,
    Turn,
)
from cactusledge.records.lifetimes import SLACK_S
from cactusledge.records.log import RecordLog
from cactusledge.records.messages import Fetch, Fetched
from cactusledge.records.segment_names import NS_PER_S, SEGMENT_S, new_name
from cactusledge.records.text_offers import OFFER_INTERVAL_S, PendingOffers
from tests.records_support import WAIT_S, cluster_of, wait_until

TURNS = 20
MEMBERS = {name: Member('127.0.0.1:1', name) for name in ('a', 'b', 'c')}


@pytest.fixture(autouse=True)
def _short_delays(monkeypatch):
    monkeypatch.setattr(group_manager, 'FORMATION_DELAY_S', 0.5)
    monkeypatch.setattr('cactusledge.records.membership.DEAD_AFTER_S', 0.5)


@pytest.fixture
def run_scenario(tmp_path, store):
    """Returns a function that runs a scenario in a cluster of stores."""

    def run(scenario, size=3):
        async def run_in_cluster():
            async with cluster_of(size, tmp_path, store) as cluster:
                await scenario(cluster)

        asyncio.run(run_in_cluster())

    return run


@pytest.fixture
def make_log(tmp_path):
    """Returns a function that opens a log; the logs are closed at the end."""
    logs = []

    def make(name='a'):
        logs.append(RecordLog(tmp_path / name, is_first_start=True))
        return logs[-1]

    yield make
    for log in logs:
        log.stop()


def turn(turn_id, holders=()):
    return Turn(turn_id, '', 'p', b'in', b'out', 10, 'engine-1', holders)


def copies(cluster, turn_id):
    """Returns the names of the stores that have a turn's text."""
    return {
        node.name
        for node in cluster.nodes.values()
        if node.store.log.state.has_text(turn_id)
    }


async def record_without(cluster, name):
    """Kills a store and records turns; returns their ids."""
    size = len(cluster.nodes)
    await cluster.nodes[name].kill()
    await wait_until(lambda: len(cluster.client.peers.connected()) < size)
    turn_ids = [f't{index}' for index in range(TURNS)]
    for turn_id in turn_ids:
        assert await cluster.client.record(turn(turn_id))
    return turn_ids


async def until_two_copies(cluster, turn_ids):
    await wait_until(
        lambda: all(len(copies(cluster, one)) == 2 for one in turn_ids)
    )


async def replace(cluster, name, successor):
    """Loses a store for good; waits until its successor has its place."""
    await cluster.nodes.pop(name).kill()
    added = await cluster.add(successor)
    await wait_until(lambda: name not in added.store.group.members)
    await wait_until(lambda: added.is_witness)


# The store chosen to replace a lost holder had missed the turns: it did not
# know of them, and the next lost disk was that of their last text.
@pytest.mark.process
def test_store_that_missed_turns_replaces_their_holder(run_scenario):
    async def scenario(cluster):
        turn_ids = await record_without(cluster, 'store-1')
        await cluster.nodes['store-1'].start()
        await wait_until(lambda: len(cluster.client.peers.connected()) == 3)
        await replace(cluster, 'store-0', 'store-9')
        await until_two_copies(cluster, turn_ids)
        kept = cluster.nodes['store-2']
        await kept.kill()
        kept.wipe()
        await kept.start()
        await wait_until(lambda: kept.is_witness)
        await until_two_copies(cluster, turn_ids)

    run_scenario(scenario)


# A store that left copied its texts to the stores in reach only, and the one
# that was to keep them had been away since before the turns.
@pytest.mark.process
def test_store_that_was_away_replaces_a_drained_holder(run_scenario):
    async def scenario(cluster):
        turn_ids = await record_without(cluster, 'store-2')
        leaving = cluster.nodes.pop('store-0')
        await StoreDrain(leaving.store, leaving.group_manager).run()
        await leaving.kill()
        await cluster.nodes['store-2'].start()
        await until_two_copies(cluster, turn_ids)

    run_scenario(scenario, size=4)


# A record names a store that was down when the text was sent to all; the text
# was where no record says, and never came to the named store.
@pytest.mark.process
def test_named_holder_that_missed_a_turn_gets_its_text(run_scenario):
    async def scenario(cluster):
        missed = turn('t1', ('store-0', 'store-1'))
        for name in ('store-0', 'store-2'):
            await cluster.nodes[name].store.log.append([missed])
        await wait_until(lambda: 'store-1' in copies(cluster, 't1'))

    run_scenario(scenario)


# Too few holders were in reach when the turn was recorded, and the group did
# not change after that.
@pytest.mark.process
def test_turn_with_too_few_holders_gets_more(run_scenario):
    async def scenario(cluster):
        await asyncio.sleep(2 * group_manager.STEP_INTERVAL_S)
        single = turn('t1', ('store-0',))
        await cluster.nodes['store-0'].store.log.append([single])
        for name in ('store-1', 'store-2'):
            node = cluster.nodes[name]
            await node.store.log.append([single.without_text()])
        await wait_until(lambda: len(copies(cluster, 't1')) == 2)

    run_scenario(scenario)


# The texts were offered once, and the store that has them was restarted.
@pytest.mark.process
def test_restarted_store_offers_what_is_on_its_disk(run_scenario):
    async def scenario(cluster):
        node = cluster.nodes['store-0']
        node.pause()
        await node.store.log.append([turn('t1', ('store-0', 'store-1'))])
        await node.kill()
        await node.start()
        await wait_until(lambda: 'store-1' in copies(cluster, 't1'))

    run_scenario(scenario)


# Each restart brought texts back that the others had let go, for as long again.
@pytest.mark.process
def test_expired_texts_are_not_offered_after_a_restart(run_scenario):
    async def scenario(cluster):
        node = cluster.nodes['store-0']
        node.pause()
        await node.store.log.append([turn('old', ('store-0', 'store-1'))])
        await node.kill()
        old_s = time.time() - RETENTION_S - SLACK_S - SEGMENT_S - 1
        for path in list_segments(node.folder):
            path.rename(path.with_name(new_name(int(old_s * NS_PER_S))))
        await node.start()
        await node.store.log.append([turn('new', ('store-0', 'store-1'))])
        await wait_until(lambda: 'store-1' in copies(cluster, 'new'))
        await asyncio.sleep(2 * OFFER_INTERVAL_S)
        assert not copies(cluster, 'old')

    run_scenario(scenario)


def offered(pending, group):
    """Returns all turns that are offered to a store at present."""
    assert not pending.scan(group)
    return [turn_id for batch in pending.batches() for turn_id in batch]


def confirm(pending, batch, lacking=(), log_id='disk-1'):
    return pending.note(batch, Fetched([], list(lacking), log_id))


@pytest.fixture
def pending(make_log, monkeypatch):
    """Returns the offers to the store 'b' of a log with three turns."""
    monkeypatch.setattr('cactusledge.records.text_offers.SETTLED_AFTER_S', 0)
    log = make_log()
    turns = (
        turn('t1', ('a', 'b')),
        turn('t2', ('a', 'c')),
        turn('t3', ('b', 'a')),
    )
    asyncio.run(log.append(turns))
    return PendingOffers('b', log)


def test_texts_are_offered_until_they_are_confirmed(pending):
    group = Group(1, MEMBERS, 3, 2)
    assert offered(pending, group) == ['t1', 't3']
    assert confirm(pending, ['t1', 't3'], lacking=['t3'])
    assert offered(pending, group) == ['t3']
    assert confirm(pending, ['t3'])
    assert not offered(pending, group)
    assert not pending.unconfirmed


# A member of a changed group was not offered what it keeps from now on.
def test_all_texts_are_offered_to_a_changed_group(pending):
    group = Group(1, MEMBERS, 3, 2)
    confirm(pending, offered(pending, group))
    smaller = {name: MEMBERS[name] for name in ('a', 'b')}
    changed = Group(2, smaller, 3, 2)
    assert offered(pending, changed) == ['t1', 't2', 't3']


# What a disk had confirmed was taken to be on the empty one in its place.
@pytest.mark.parametrize('before', ['disk-1', ''])
def test_all_texts_are_offered_to_a_new_disk(pending, before):
    group = Group(1, MEMBERS, 3, 2)
    assert confirm(pending, offered(pending, group), log_id=before)
    assert not confirm(pending, [], log_id='disk-2')
    assert offered(pending, group) == ['t1', 't3']


# A text that is no more kept here was offered for ever.
def test_expired_texts_are_offered_no_more(pending):
    group = Group(1, MEMBERS, 3, 2)
    batch = offered(pending, group)
    pending._log.expire(math.inf)
    assert confirm(pending, batch, lacking=batch)
    assert not offered(pending, group)


# A store confirmed a text that a loss of power could still take from it.
def test_text_is_confirmed_once_it_is_on_disk(make_log):
    async def main():
        log = make_log()
        writing = asyncio.ensure_future(log.append([turn('t1', ('a', 'b'))]))
        await asyncio.sleep(0)
        assert log.state.has_text('t1')
        assert not writing.done()
        await log.flush()
        assert writing.done()

    asyncio.run(main())


class FetchBefore(Message, frozen=True, tag='Fetch'):
    """The request of the build before."""

    generation: int
    turn_ids: list
    shard: int = 0


class FetchedBefore(Message, frozen=True, tag='Fetched'):
    """The reply of the build before."""

    turns: list


# Old and new processes run side by side during an upgrade.
@pytest.mark.parametrize(
    ('message', 'received_as', 'expected'),
    [
        (Fetch(1, ['t1'], 0, ['t2']), FetchBefore, FetchBefore(1, ['t1'])),
        (FetchBefore(1, ['t1']), Fetch, Fetch(1, ['t1'])),
        (Fetched([], ['t2'], 'disk-1'), FetchedBefore, FetchedBefore([])),
        (FetchedBefore([]), Fetched, Fetched([])),
    ],
)
def test_messages_are_read_by_the_other_build(message, received_as, expected):
    encoded = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(encoded, type=received_as) == expected


# A drain went round for ever behind its last entry that was still needed.
@pytest.mark.process
def test_store_is_drained_whose_last_entries_have_expired(run_scenario):
    async def scenario(cluster):
        leaving = cluster.nodes['store-0']
        kept = turn('kept', ('store-0', 'store-1'))
        gone = msgspec.structs.replace(
            turn('gone', ('store-0', 'store-1')),
            retention_s=-SLACK_S,
            has_budget=False,
        )
        await leaving.store.log.append([kept, gone])
        leaving.store.log.expire()
        assert leaving.store.log.state.turns.keys() == {'kept'}
        async with asyncio.timeout(WAIT_S):
            await StoreDrain(leaving.store, leaving.group_manager).run()

    run_scenario(scenario, size=4)

"""Changes of a group of stores after losses, one after the other."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from cactusledge.records.draining import StoreDrain
from cactusledge.records.entries import Turn
from cactusledge.records.group_finder import GroupFinder
from cactusledge.records.group_manager import STEP_INTERVAL_S
from cactusledge.records.group_objects import (
    GROUP_KIND,
    GROUP_NAME,
    STORE_KIND,
    GroupObjects,
)
from cactusledge.records.log import RecordLog
from cactusledge.records.messages import Announce
from cactusledge.records.quorum import Verdict
from tests.conftest import FakeStore
from tests.records_support import Cluster, turn_start, wait_until

pytestmark = pytest.mark.process

TURNS = 20
SUCCESSOR_AFTER_S = 2.0
CATCH_UP_S = 4.6  # a new store counts as lost for so long after its start
MANAGER = 'cactusledge.records.group_manager'
FAILED_JOINS = 6
SLOW_WRITE_S = 0.1
LONG_STEP_S = 4.0
FIRST_BY_NAME = 'store'  # of all stores, like a successor of the first one


async def record_turns(cluster):
    """Records turns; returns their ids."""
    turn_ids = [f't{index}' for index in range(TURNS)]
    for turn_id in turn_ids:
        turn = Turn(turn_id, '', 'p', b'in', b'out', 1, 'engine-1', ())
        assert await cluster.client.record(turn)
    return turn_ids


async def lose(cluster, name):
    """Loses a store for good."""
    await cluster.nodes.pop(name).kill()


async def until_served(cluster, parent_id):
    """Waits until a turn is granted that continues an earlier one.

    The platform is out of the client's reach.
    """
    unreachable = GroupObjects(FakeStore())
    finder = GroupFinder(cluster.client, (), unreachable)
    async with asyncio.timeout(CATCH_UP_S):
        for number in range(1000):
            start = turn_start(f'next-{number}', parent_id, budget=None)
            grant = await cluster.client.begin(start)
            assert grant.verdict is not Verdict.NO_PARENT
            if grant.verdict is Verdict.GRANTED:
                return
            await finder.run()
            await asyncio.sleep(0.1)


def has_adopted(node, *names):
    """Whether a store has caught up as a member beside others."""
    return node.is_witness and set(names) <= node.store.group.members.keys()


def kept_by(node, turn_ids):
    """Returns a turn whose text a store has."""
    return next(filter(node.store.log.state.has_text, turn_ids))


def copies(cluster, turn_id):
    """Returns how many stores have a turn's text."""
    return sum(
        node.store.log.state.has_text(turn_id)
        for node in cluster.nodes.values()
    )


# The next lost store took the last copies with it: they were made good only
# after the dead member had gone, 6 s after its successor had started.
@pytest.mark.parametrize('size', [3, 4])
def test_copies_are_whole_before_a_successor_counts(run_scenario, size):
    async def scenario(cluster):
        turn_ids = await record_turns(cluster)
        await lose(cluster, 'store-0')
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        await cluster.add(FIRST_BY_NAME)
        await wait_until(
            lambda: all(copies(cluster, one) == 2 for one in turn_ids),
            CATCH_UP_S,
        )

    run_scenario(size, scenario)


# Two of four members were left, with all records, and no turn was ever served
# again: no change of the group was possible any more.
def test_group_goes_on_after_a_loss_beside_a_replaced_member(run_scenario):
    async def scenario(cluster):
        turn_ids = await record_turns(cluster)
        await lose(cluster, 'store-0')
        added = await cluster.add('store-9')
        await wait_until(lambda: has_adopted(added, 'store-9', 'store-0'))
        await asyncio.sleep(0.5)
        await lose(cluster, 'store-1')
        kept = kept_by(cluster.nodes['store-2'], turn_ids)
        await until_served(cluster, kept)
        await cluster.add('store-8')
        await wait_until(
            lambda: (
                added.store.group.members.keys()
                == {'store-2', 'store-8', 'store-9'}
            )
        )

    run_scenario(3, scenario)


# The same with a member that had been added: the loss of both stores of its
# data centre ended service for good.
def test_group_goes_on_after_the_loss_of_an_added_member(run_scenario):
    async def scenario(cluster):
        turn_ids = await record_turns(cluster)
        added = await cluster.add('store-9')
        await wait_until(lambda: has_adopted(added, 'store-9'))
        await asyncio.sleep(0.5)
        await lose(cluster, 'store-9')
        await lose(cluster, 'store-0')
        kept = kept_by(cluster.nodes['store-1'], turn_ids)
        await until_served(cluster, kept)

    run_scenario(3, scenario)


# The same with a store that had been drained: the two that were left did not
# bear the loss of one of them.
def test_group_of_two_goes_on_after_the_loss_of_one(run_scenario):
    async def scenario(cluster):
        turn_ids = await record_turns(cluster)
        drained = cluster.nodes['store-0']
        await StoreDrain(drained.store, drained.group_manager).run()
        await lose(cluster, 'store-0')
        await asyncio.sleep(0.5)
        await lose(cluster, 'store-1')
        await until_served(cluster, turn_ids[0])
        added = await cluster.add('store-9')
        await wait_until(lambda: has_adopted(added, 'store-2', 'store-9'))

    run_scenario(3, scenario)


# A successor that came before the dead member was removed joined beside it, and
# could never read enough logs.
def test_successor_waits_until_the_half_that_is_left_goes_on(run_scenario):
    async def scenario(cluster):
        turn_ids = await record_turns(cluster)
        drained = cluster.nodes['store-0']
        await StoreDrain(drained.store, drained.group_manager).run()
        await lose(cluster, 'store-0')
        await asyncio.sleep(0.5)
        await lose(cluster, 'store-1')
        added = await cluster.add('store-9')
        await until_served(cluster, turn_ids[0])
        await wait_until(lambda: has_adopted(added, 'store-2', 'store-9'))

    run_scenario(3, scenario)


# The store that was first by name was lost at the first start, after it had
# registered: no group was ever formed.
@pytest.mark.usefixtures('short_formation_delay')
def test_stores_form_a_group_though_the_first_of_them_is_lost(tmp_path, store):
    async def main():
        async with AsyncExitStack() as stack:
            cluster = Cluster(tmp_path, store)
            stack.push_async_callback(cluster.stop)
            for index in range(3):
                await cluster.add(f'store-{index}', is_first_start=True)
            await wait_until(lambda: len(registered(store)) == 3)
            await lose(cluster, 'store-0')
            await wait_until(lambda: cluster.member_count() == 2)

    asyncio.run(main())


# All stores were killed before one of them had formed the group: each waited
# for another one, for ever, as no later start is a first start.
@pytest.mark.usefixtures('short_formation_delay')
@pytest.mark.parametrize('disks_lost', range(4))
def test_stores_that_all_restart_form_the_first_group(
    tmp_path, store, disks_lost
):
    async def main():
        async with AsyncExitStack() as stack:
            cluster = Cluster(tmp_path, store)
            stack.push_async_callback(cluster.stop)
            for index in range(3):
                await cluster.add(f'store-{index}', is_first_start=True)
            nodes = list(cluster.nodes.values())
            for node in nodes:
                await node.kill()
            for node in nodes[:disks_lost]:
                node.wipe()
            assert not groups_published(store)
            for node in nodes:
                await node.start()
            await wait_until(lambda: cluster.member_count() == 3)
            await cluster.connect()
            await record_turns(cluster)

    asyncio.run(main())


def groups_published(objects):
    """Returns whether the first groups have been published."""
    return (GROUP_KIND, GROUP_NAME) in objects.objects


# A store that has lost its disk may not take part in forming a group anew, nor
# count as complete, once there is one.
def test_lost_disk_is_no_first_disk_once_a_group_exists(run_scenario):
    async def scenario(cluster):
        turn_ids = await record_turns(cluster)
        lost = cluster.nodes['store-0']
        await lost.kill()
        lost.wipe()
        for name in ('store-1', 'store-2'):
            await cluster.nodes[name].kill()
        await lost.start()
        await asyncio.sleep(5 * STEP_INTERVAL_S)
        assert not lost.is_witness
        for name in ('store-1', 'store-2'):
            await cluster.nodes[name].start()
        await wait_until(lambda: lost.is_witness)
        assert set(turn_ids) <= lost.store.log.state.turns.keys()

    run_scenario(3, scenario)


def registered(objects):
    """Returns the names of the stores that have registered."""
    return [name for kind, name in objects.objects if kind == STORE_KIND]


# A store whose join took several tries counted its reads of before: it lacked
# what was written meanwhile, and told callers that it did not exist.
def test_store_that_joins_late_has_what_was_written_before(run_scenario):
    async def scenario(cluster):
        for _ in range(FAILED_JOINS):
            cluster._objects.faults.append(lambda: touch_groups(cluster))
        added = await cluster.add('store-9')
        await asyncio.sleep(FAILED_JOINS * STEP_INTERVAL_S / 2)
        assert not added.store.is_member
        turn_ids = await record_turns(cluster)
        await wait_until(lambda: added.is_witness)
        assert set(turn_ids) <= added.store.log.state.turns.keys()

    run_scenario(3, scenario)


# Until a majority knew of the store that joined, entries were still written to
# the members of before only; it had read their logs by then.
def test_store_copies_logs_only_once_its_group_is_in_use(run_scenario):
    async def scenario(cluster):
        await record_turns(cluster)
        late = [cluster.nodes[name] for name in ('store-0', 'store-1')]
        for node in late:
            node.pause()
            node.on_request = refuse_announcement
        added = await cluster.add('store-9')
        await wait_until(lambda: added.store.is_member)
        await asyncio.sleep(4 * STEP_INTERVAL_S)
        assert not added.is_witness
        for node in late:
            node.group_manager.adopt_group(added.store.group)
        await wait_until(lambda: added.is_witness)

    run_scenario(3, scenario)


def touch_groups(cluster):
    """Writes the groups once more, so that the next change comes too late."""
    published = cluster._objects.read(GROUP_KIND, GROUP_NAME)
    cluster._objects.put(GROUP_KIND, GROUP_NAME, published.body)


# While one member is dead and its successor has not caught up, the others are
# no quorum: turns were refused until the next step of the successor.
def test_store_copies_logs_as_soon_as_its_group_is_in_use(
    run_scenario, monkeypatch
):
    async def scenario(cluster):
        monkeypatch.setattr(RecordLog, 'write_document', write_slowly)
        monkeypatch.setattr(f'{MANAGER}.STEP_INTERVAL_S', LONG_STEP_S)
        added = await cluster.add('store-9')
        await wait_until(lambda: added.store.is_member)
        await wait_until(lambda: added.is_witness, LONG_STEP_S / 2)

    run_scenario(3, scenario)


write_at_once = RecordLog.write_document


def write_slowly(log, name, document):
    """Writes a document as on a slow disk."""

    async def write():
        await asyncio.sleep(SLOW_WRITE_S)
        await write_at_once(log, name, document)

    return asyncio.ensure_future(write())


async def refuse_announcement(body):
    """Closes the connection that brings a changed group."""
    if isinstance(body, Announce):
        raise ConnectionError('refused by the test')

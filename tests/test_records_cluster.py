"""Record stores and a client on loopback: kills, lost disks, group changes."""

import asyncio

import pytest

from cactusledge.records.draining import StoreDrain
from cactusledge.records.entries import Settled, Turn
from cactusledge.records.quorum import Verdict
from tests.records_support import turn_start, wait_until

pytestmark = pytest.mark.process


def turn(turn_id, parent_id='', tokens=10):
    return Turn(turn_id, parent_id, 'p', b'in', b'out', tokens, 'engine-1', ())


def stores_with_text(cluster, turn_id='t1'):
    """Returns the names of the stores that have a turn's text."""
    return {
        node.name
        for node in cluster.nodes.values()
        if node.store.log.state.has_text(turn_id)
    }


async def verdict(cluster, *args, **options):
    grant = await cluster.client.begin(turn_start(*args, **options))
    return grant.verdict


def test_chain_is_recorded_and_read(run_scenario):
    async def scenario(cluster):
        assert await verdict(cluster, 't1') is Verdict.GRANTED
        assert await cluster.client.record(turn('t1'))
        grant = await cluster.client.begin(turn_start('t2', 't1'))
        assert grant.verdict is Verdict.GRANTED
        assert [found.request for found in grant.chain] == [b'in']
        assert len(stores_with_text(cluster)) == 2

    run_scenario(3, scenario)


def test_turn_without_a_budget_reserves_nothing(run_scenario):
    async def scenario(cluster):
        assert await verdict(cluster, 't1', budget=None) is Verdict.GRANTED
        assert await cluster.client.record(turn('t1'))
        grant = await cluster.client.begin(turn_start('t2', 't1', budget=None))
        assert grant.verdict is Verdict.GRANTED
        assert [found.turn_id for found in grant.chain] == ['t1']
        assert await verdict(cluster, 't3', 'none', budget=None) is (
            Verdict.NO_PARENT
        )
        for node in cluster.nodes.values():
            assert node.store.log.state.spent('p').keys() <= {'t1'}

    run_scenario(3, scenario)


def test_unknown_turn_is_reported_missing_only_with_a_quorum(run_scenario):
    async def scenario(cluster):
        assert await verdict(cluster, 't2', 'none') is Verdict.NO_PARENT
        await cluster.nodes['store-2'].kill()
        assert await verdict(cluster, 't3', 'none') is Verdict.NO_PARENT
        await cluster.nodes['store-1'].kill()
        assert await verdict(cluster, 't4', 'none') is Verdict.UNSURE
        await cluster.nodes['store-1'].start()
        await cluster.nodes['store-2'].start()

    run_scenario(3, scenario)


def test_budget_is_shared_by_all_turns_of_a_program(run_scenario):
    async def scenario(cluster):
        await verdict(cluster, 't1', tokens=60)
        assert await verdict(cluster, 't2', tokens=60) is Verdict.SPENT
        cluster.client.settle(Settled('p', 't2', 0))
        assert await cluster.client.record(turn('t1', tokens=30))
        await asyncio.sleep(0.1)
        assert await verdict(cluster, 't3', tokens=60) is Verdict.GRANTED
        assert await verdict(cluster, 't4', tokens=60) is Verdict.SPENT

    run_scenario(3, scenario)


def test_concurrent_turns_do_not_exceed_the_budget(run_scenario):
    async def scenario(cluster):
        await cluster.nodes['store-3'].kill()
        starts = [
            verdict(cluster, f't{index}', tokens=30) for index in range(8)
        ]
        granted = await asyncio.gather(*starts)
        assert granted.count(Verdict.GRANTED) <= 3
        await cluster.nodes['store-3'].start()

    run_scenario(4, scenario)


@pytest.mark.parametrize('size', [3, 4])
def test_disks_lost_one_after_the_other_lose_no_turn(run_scenario, size):
    async def scenario(cluster):
        assert await cluster.client.record(turn('t1'))
        for name in tuple(cluster.nodes):
            node = cluster.nodes[name]
            await node.kill()
            node.wipe()
            await node.start()
            await wait_until(lambda node=node: node.is_witness)
            await wait_until(lambda: len(stores_with_text(cluster)) == 2)
            await wait_until(lambda: cluster.client.has_quorum)

    run_scenario(size, scenario)


def test_wiped_store_does_not_report_a_turn_missing(run_scenario):
    async def scenario(cluster):
        assert await cluster.client.record(turn('t1'))
        nodes = cluster.nodes
        await nodes['store-1'].kill()
        await nodes['store-0'].kill()
        nodes['store-0'].wipe()
        await nodes['store-0'].start()
        await wait_until(lambda: cluster.client.has_quorum)
        await asyncio.sleep(1)
        assert not nodes['store-0'].is_witness
        assert await verdict(cluster, 't2', 'none') is Verdict.UNSURE
        await nodes['store-1'].start()
        await wait_until(lambda: nodes['store-0'].is_witness)
        await wait_until(lambda: len(cluster.client._peers.connected()) == 3)
        assert await verdict(cluster, 't3', 'none') is Verdict.NO_PARENT

    run_scenario(3, scenario)


def test_added_store_copies_all_before_it_is_a_witness(run_scenario):
    async def scenario(cluster):
        assert await cluster.client.record(turn('t1'))
        added = await cluster.add('store-9')
        await wait_until(lambda: added.is_witness)
        assert added.store.log.state.chain('t1')
        assert len(cluster.group_at('store-0').members) == 4
        grant = await cluster.client.begin(turn_start('t2', 't1'))
        assert grant.verdict is Verdict.GRANTED
        assert cluster.client.group_of('p').generation == 2

    run_scenario(3, scenario)


def test_replaced_store_leaves_the_group(run_scenario, monkeypatch):
    monkeypatch.setattr('cactusledge.records.membership.DEAD_AFTER_S', 0.5)

    async def scenario(cluster):
        assert await cluster.client.record(turn('t1'))
        await cluster.nodes['store-0'].kill()
        added = await cluster.add('store-9')
        await wait_until(lambda: 'store-0' not in added.store.group.members)
        await wait_until(lambda: added.is_witness)
        cluster.nodes.pop('store-0')
        await wait_until(lambda: len(stores_with_text(cluster)) == 2)

    run_scenario(3, scenario)


def test_drained_store_leaves_every_text_on_two_others(run_scenario):
    async def scenario(cluster):
        for index in range(30):
            assert await cluster.client.record(turn(f't{index}'))
        node = cluster.nodes['store-0']
        await StoreDrain(node.store, node.group_manager).run()
        await node.kill()
        assert len(cluster.group_at('store-1').members) == 3
        cluster.nodes.pop('store-0')
        for index in range(30):
            assert len(stores_with_text(cluster, f't{index}')) == 2

    run_scenario(4, scenario)


def test_acknowledged_entries_survive_a_kill_of_all_stores(run_scenario):
    async def scenario(cluster):
        await verdict(cluster, 't0', tokens=60)
        assert await cluster.client.record(turn('t1'))
        for node in cluster.nodes.values():
            await node.kill()
        for node in cluster.nodes.values():
            await node.start()
        await wait_until(lambda: cluster.client.has_quorum)
        assert await verdict(cluster, 't2', 't1') is Verdict.GRANTED
        assert await verdict(cluster, 't3', tokens=60) is Verdict.SPENT

    run_scenario(3, scenario)


@pytest.mark.parametrize('size', [3, 4])
def test_chain_is_read_when_every_store_lacks_one_turn(run_scenario, size):
    """Each store lacks a turn because it was down when it was recorded."""

    async def scenario(cluster):
        parent_id = ''
        for index, name in enumerate(tuple(cluster.nodes)):
            node = cluster.nodes[name]
            await node.kill()
            await wait_until(
                lambda: len(cluster.client.peers.connected()) < size
            )
            assert await cluster.client.record(turn(f't{index}', parent_id))
            await node.start()
            await wait_until(
                lambda: len(cluster.client.peers.connected()) == size
            )
            parent_id = f't{index}'
        for index, node in enumerate(cluster.nodes.values()):
            assert f't{index}' not in node.store.log.state.turns
        grant = await cluster.client.begin(turn_start('next', parent_id))
        assert grant.verdict is Verdict.GRANTED
        found = [one.turn_id for one in grant.chain]
        assert found == [f't{index}' for index in range(size)]

    run_scenario(size, scenario)

"""Two shards of record stores on loopback: losses, growth, lost quorums."""

import asyncio

import pytest

from cactusledge.gateway.background import update_gauges
from cactusledge.records import group_manager
from cactusledge.records.adopted_group import read_table
from cactusledge.records.client import RecordClient
from cactusledge.records.entries import Turn
from cactusledge.records.quorum import Demand, Verdict
from cactusledge.records.shards import shard_of
from cactusledge.records.turn_start import TurnStart
from tests.gateway_support import GatewayHarness
from tests.records_support import cluster_of, wait_until

pytestmark = pytest.mark.process

STORES = 8  # with two copies of each text: two shards of four stores
SHARDS = 2
REFUSAL_S = 3.0  # of a chain that cannot be read
PROGRAMS = tuple(f'p{number}' for number in range(6))


@pytest.fixture(autouse=True)
def _short_formation_delay(monkeypatch):
    monkeypatch.setattr(group_manager, 'FORMATION_DELAY_S', 0.5)


@pytest.fixture
def run_scenario(tmp_path, store):
    """Returns a function that runs a scenario in a cluster of two shards."""

    def run(scenario):
        async def run_in_cluster():
            async with cluster_of(STORES, tmp_path, store) as cluster:
                await scenario(cluster)

        asyncio.run(run_in_cluster())

    return run


def start_of(program_id, turn_id, parent_id=''):
    """Returns the start of a turn with a budget."""
    demand = Demand(turn_id, 10, 100, parent_id)
    return TurnStart(demand, program_id, wants_chain=bool(parent_id))


def shards_kept_by(node):
    """Returns the shards of the programs that a store has records of."""
    return {shard_of(key, SHARDS) for key in node.store.log.state.spending}


async def take_turn(cluster, program_id, number):
    """Reserves and records the next turn of a program; returns its chain."""
    parent_id = f'{program_id}-{number - 1}' if number else ''
    turn_id = f'{program_id}-{number}'
    grant = await cluster.client.begin(start_of(program_id, turn_id, parent_id))
    assert grant.verdict is Verdict.GRANTED, grant
    turn = Turn(turn_id, parent_id, program_id, b'in', b'out', 10, 'e', ())
    assert await cluster.client.record(turn)
    return [found.turn_id for found in grant.chain]


async def take_turns(cluster, number):
    """Takes the next turn of each program; checks that its chain is whole."""
    for program_id in PROGRAMS:
        chain = await take_turn(cluster, program_id, number)
        assert chain == [f'{program_id}-{index}' for index in range(number)]


def test_each_program_is_kept_by_one_shard(run_scenario):
    async def scenario(cluster):
        assert {len(cluster.nodes_of(shard)) for shard in range(SHARDS)} == {4}
        await take_turns(cluster, 0)
        await take_turns(cluster, 1)
        for node in cluster.nodes.values():
            assert shards_kept_by(node) <= {node.store.group.shard}

    run_scenario(scenario)


def test_gauges_show_the_generation_of_each_shard(run_scenario):
    async def scenario(cluster):
        harness = GatewayHarness()
        update_gauges(harness.gateway, cluster.client)
        generations = [
            harness.fleet.metrics.sample('records_generation', shard=shard)
            for shard in ('0', '1')
        ]
        assert generations == [1, 1]

    run_scenario(scenario)


def test_store_keeps_the_groups_of_all_shards_on_disk(run_scenario):
    async def scenario(cluster):
        node = cluster.nodes['store-0']
        await node.kill()
        kept = read_table(node.folder).groups
        assert [group.shard for group in kept] == [0, 1]

    run_scenario(scenario)


def test_each_shard_survives_the_loss_of_a_disk(run_scenario):
    async def scenario(cluster):
        await take_turns(cluster, 0)
        lost = [cluster.nodes_of(shard)[0] for shard in range(SHARDS)]
        for node in lost:
            await node.kill()
            node.wipe()
        await take_turns(cluster, 1)
        for node in lost:
            await node.start()
        await wait_until(lambda: all(each.is_witness for each in lost))
        await take_turns(cluster, 2)
        assert [shards_kept_by(node) for node in lost] == [{0}, {1}]
        assert [node.store.group.shard for node in lost] == [0, 1]

    run_scenario(scenario)


def test_added_stores_join_different_shards(run_scenario):
    async def scenario(cluster):
        await take_turns(cluster, 0)
        added = [await cluster.add(f'new-{index}') for index in range(SHARDS)]
        await wait_until(lambda: all(node.is_witness for node in added))
        assert {node.store.group.shard for node in added} == {0, 1}
        await take_turns(cluster, 1)
        for shard in range(SHARDS):
            group = cluster.client.peers.by_shard[shard].group
            assert len(group.members) == 5

    run_scenario(scenario)


# The successor of a lost store joined another shard, so the next losses of the
# one that was short took the last copies of texts with them.
@pytest.mark.parametrize('shard', range(SHARDS))
def test_successor_joins_the_shard_that_lost_a_store(run_scenario, shard):
    async def scenario(cluster):
        await take_turns(cluster, 0)
        lost = cluster.nodes_of(shard)[-1]
        await cluster.nodes.pop(lost.name).kill()
        added = await cluster.add('new')
        await wait_until(lambda: added.is_witness)
        assert added.store.group.shard == shard
        await wait_until(lambda: len(added.store.group.members) == 4)

    run_scenario(scenario)


def test_shard_without_a_quorum_stops_only_its_own_programs(run_scenario):
    async def scenario(cluster):
        await take_turns(cluster, 0)
        for node in cluster.nodes_of(1)[:2]:
            await node.kill()
        await wait_until(lambda: not cluster.client.has_all_quorums)
        assert cluster.client.has_quorum
        for program_id in PROGRAMS:
            grant = await cluster.client.begin(
                start_of(program_id, f'{program_id}-1', f'{program_id}-0')
            )
            is_served = shard_of(program_id, SHARDS) == 0
            assert (grant.verdict is Verdict.GRANTED) == is_served

    run_scenario(scenario)


def programs_of_both_shards():
    """Returns a program of each shard."""
    return tuple(
        next(name for name in PROGRAMS if shard_of(name, SHARDS) == shard)
        for shard in range(SHARDS)
    )


def test_program_continues_a_turn_of_another_shard(run_scenario):
    """A new program may begin with what an earlier one has said."""

    async def scenario(cluster):
        await take_turns(cluster, 0)
        new, old = programs_of_both_shards()
        first = await cluster.client.begin(start_of(new, 't', f'{old}-0'))
        assert first.verdict is Verdict.GRANTED
        assert [found.turn_id for found in first.chain] == [f'{old}-0']
        turn = Turn('t', f'{old}-0', new, b'in', b'out', 10, 'e', ())
        assert await cluster.client.record(turn)
        other = RecordClient('front-2', 'store-1')
        for node in cluster.nodes.values():
            other.adopt_group(node.store.group)
        await wait_until(lambda: other.has_all_quorums)
        second = await other.begin(start_of(new, 't2', 't'))
        assert [found.turn_id for found in second.chain] == [f'{old}-0', 't']
        cached = start_of(new, 't3', f'{old}-0')._replace(wants_chain=False)
        assert (await other.begin(cached)).verdict is Verdict.GRANTED
        other.stop()

    run_scenario(scenario)


async def record_line(cluster, programs):
    """Records a chain of turns, each of the next program; returns their ids."""
    ids = [f'line-{number}' for number in range(len(programs))]
    for program_id, turn_id, parent_id in zip(
        programs, ids, ['', *ids], strict=False
    ):
        cached = start_of(program_id, turn_id, parent_id)
        grant = await cluster.client.begin(cached._replace(wants_chain=False))
        assert grant.verdict is Verdict.GRANTED
        turn = Turn(turn_id, parent_id, program_id, b'in', b'out', 10, 'e', ())
        assert (await cluster.client.record(turn)).is_durable
    return ids


# A restarted gateway refused each try of a turn whose chain led from one shard
# to another and back, as it read each shard once.
@pytest.mark.parametrize('stores_down', [0, 1])
def test_chain_across_shards_is_read_by_a_restarted_gateway(
    run_scenario, stores_down
):
    async def scenario(cluster):
        first, second = programs_of_both_shards()
        ids = await record_line(cluster, (first, second) * 3)
        for shard in range(SHARDS):
            for node in cluster.nodes_of(shard)[:stores_down]:
                await node.kill()
        restarted = RecordClient('front-2', 'store-1')
        for node in cluster.nodes.values():
            restarted.adopt_group(node.store.group)
        await wait_until(lambda: restarted.has_all_quorums)
        for program_id in (first, second):
            start = start_of(program_id, f'after-{program_id}', ids[-1])
            grant = await restarted.begin(start)
            assert grant.verdict is Verdict.GRANTED, grant
            assert [found.turn_id for found in grant.chain] == ids
        restarted.stop()

    run_scenario(scenario)


# A caller that used an id again, in a program of another shard, made a chain
# without a beginning; the stores and gateways that read it never came back.
def test_turn_that_would_continue_itself_is_refused(run_scenario):
    async def scenario(cluster):
        first, second = programs_of_both_shards()
        ids = await record_line(cluster, (first, second))
        again = Turn(ids[0], ids[1], second, b'in', b'out', 10, 'e', ())
        assert (await cluster.client.record(again)).is_durable
        for program_id in (first, second):
            start = start_of(program_id, f'after-{program_id}', ids[1])
            async with asyncio.timeout(REFUSAL_S):
                grant = await cluster.client.begin(start)
            assert grant.verdict is Verdict.UNSURE, grant

    run_scenario(scenario)


def test_budget_holds_for_a_turn_that_continues_another_shard(run_scenario):
    async def scenario(cluster):
        await take_turns(cluster, 0)
        new, old = programs_of_both_shards()
        start = start_of(new, 't', f'{old}-0')
        start = start._replace(demand=start.demand._replace(budget=15))
        grant = await cluster.client.begin(start)
        assert grant.verdict is Verdict.SPENT

    run_scenario(scenario)


def test_turn_is_unknown_only_if_no_shard_may_know_it(run_scenario):
    async def scenario(cluster):
        await take_turns(cluster, 0)
        first, _ = programs_of_both_shards()
        missing = await cluster.client.begin(start_of(first, 't', 'none'))
        assert missing.verdict is Verdict.NO_PARENT
        for node in cluster.nodes_of(1)[:2]:
            await node.kill()
        unsure = await cluster.client.begin(start_of(first, 't', 'none'))
        assert unsure.verdict is Verdict.UNSURE

    run_scenario(scenario)

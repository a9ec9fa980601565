"""Sharing between gateways of the prompt parts that engines have read.

Guards against overload of a new engine during a rolling replacement: many
gateways each serve few turns, and one that knows only its own turns takes
every engine for cold. All would send to the idle engine that has just
started, which then reads the same shared prompt part over and over.
"""

import asyncio

from cactusledge.gateway.loads import (
    MAX_REPORTED_PARTS,
    MAX_UNLISTED_ENDPOINTS,
    Loads,
)
from cactusledge.gateway.messages import PromptPart, Replica
from cactusledge.gateway.placement import Terms, choose_engine
from cactusledge.records.gateway_messages import (
    LoadReport,
    ReadPart,
    ShareLoads,
)
from cactusledge.records.gateways import GatewayRegistry
from cactusledge.records.read_parts import ListPosition, ReadParts

HERE = 'dc-a'
SHARED = PromptPart('shared', 12600)


def prompt(session, tokens=1680):
    return (SHARED, PromptPart(session, tokens))


def engine(name, born_ms=1):
    return Replica(name, 'svc', '10.0.0.1', 80, HERE, 12, False, born_ms)


def read(name, part_id='shared', tokens=SHARED.tokens):
    return ReadPart(name, 1, part_id, tokens)


async def exchange(gateways, names):
    """Each instance reports its reads, then each one fetches the others'."""
    for name, loads in names.items():
        await gateways.report(LoadReport(name, {}, loads.drain_read_parts()))
    for name, loads in names.items():
        reply = await gateways.report(LoadReport(name, {}))
        loads.add_read_parts(reply.read)


def test_idle_engine_without_the_shared_part_is_not_chosen():
    warm, cold = engine('warm'), engine('cold')
    gateways = {f'front-{index}': Loads() for index in range(50)}
    gateways['front-0'].record_read(warm, prompt('s0'))
    asyncio.run(exchange(GatewayRegistry(), gateways))
    for loads in gateways.values():
        loads.set_remote_loads({'warm': 4})
        found = choose_engine((warm, cold), loads, prompt('s1'), Terms(HERE, 0))
        assert found == warm


def test_only_the_new_tokens_of_a_session_are_uncached():
    load = Loads().of('e')
    load.add_cached_parts(prompt('s', 1000))
    assert load.uncached_tokens(prompt('s', 1600)) == 600
    load.add_cached_parts(prompt('s', 800))
    assert load.uncached_tokens(prompt('s', 1600)) == 600


def test_own_session_part_is_not_reported():
    loads = Loads()
    loads.record_read(engine('e'), prompt('s'))
    loads.record_read(engine('e'), prompt('s', 3000))
    assert loads.drain_read_parts() == [read('e')]
    assert not loads.drain_read_parts()


def test_part_learned_from_others_is_not_reported():
    loads = Loads()
    loads.add_read_parts([read('e')])
    loads.record_read(engine('e'), prompt('s'))
    assert not loads.drain_read_parts()
    assert loads.of('e').uncached_tokens((SHARED,)) == 0


def test_each_reader_gets_new_parts_once():
    parts = ReadParts()
    parts.add([read('e', 'a'), read('e', 'a')])
    first = parts.since(ListPosition())
    assert first.parts == [read('e', 'a')]
    parts.add([read('e', 'b')])
    second = parts.since(first.list_position)
    assert second.parts == [read('e', 'b')]
    assert not parts.since(second.list_position).parts


def test_reader_from_another_epoch_gets_all_parts():
    before, after = ReadParts(), ReadParts()
    after.add([read('e', 'a')])
    assert after.since(
        before.since(ListPosition()).list_position._replace(position=5)
    ).parts


def test_oldest_parts_are_evicted(monkeypatch):
    monkeypatch.setattr('cactusledge.records.read_parts.MAX_ENTRIES', 3)
    parts = ReadParts()
    reported = [read('e', str(index)) for index in range(5)]
    parts.add(reported)
    found = parts.since(ListPosition())
    assert found.parts == reported[2:]
    parts.add(reported[:1])
    update = parts.since(found.list_position)
    assert update.parts == reported[:1]


def test_unlisted_endpoints_are_pruned_above_the_limit():
    loads = Loads()
    for index in range(MAX_UNLISTED_ENDPOINTS + 2):
        loads.record_read(engine(f'e{index}'), prompt('s'))
    loads.prune(frozenset(('e0',)))
    assert loads.of('e0').uncached_tokens((SHARED,)) == 0
    assert loads.of('e1').uncached_tokens((SHARED,)) == SHARED.tokens


def test_restarted_engine_has_nothing_cached():
    loads = Loads()
    loads.record_read(engine('e'), prompt('s'))
    assert not loads.at(engine('e')).uncached_tokens(prompt('s'))
    again = engine('e', born_ms=2)
    assert loads.at(again).uncached_tokens((SHARED,)) == SHARED.tokens
    loads.add_read_parts([read('e')])
    assert loads.at(again).uncached_tokens((SHARED,)) == SHARED.tokens
    loads.record_read(again, prompt('s'))
    assert [part.born_ms for part in loads.drain_read_parts()] == [1, 2]


def test_loads_and_parts_reach_gateways_of_other_stores():
    async def main():
        here, there = GatewayRegistry(), GatewayRegistry()
        await here.report(LoadReport('f1', {'e': 3}, [read('e')]))
        await here.report(LoadReport('f2', {'e': 4}))
        update = await here.share(ShareLoads('store-b', {'e': 1}, '', 0))
        there.add_read_parts(update.read)
        await there.share(ShareLoads('store-a', here.local_sums(), '', 0))
        return (
            await here.report(LoadReport('f1', {'e': 3})),
            await there.report(LoadReport('f3', {'e': 1})),
        )

    near, far = asyncio.run(main())
    assert near.in_flight == {'e': 5}
    assert far.in_flight == {'e': 7}
    assert far.read == [read('e')]


def test_reported_parts_are_bounded():
    """Sub-agents that share their parent's session add many parts."""
    loads = Loads()
    for index in range(MAX_REPORTED_PARTS + 10):
        own = PromptPart(f'own-{index}', 10)
        loads.record_read(
            engine('e'), (SHARED, PromptPart(f's{index}', 10), own)
        )
    assert len(loads.drain_read_parts()) == MAX_REPORTED_PARTS
    assert len(loads._reported) == MAX_REPORTED_PARTS

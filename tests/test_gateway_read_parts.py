"""Many gateways, each with few turns: what engines hold is told to all.

The pattern: engines are replaced one after the other. An instance that knows
only its own turns takes every engine for a cold one, so that all instances
send to the one that has just started and is idle, and it reads the same
shared part of the prompt over and over.
"""

import asyncio

from cactusledge.gateway.loads import (
    MAX_REPORTED_PARTS,
    MAX_UNLISTED_ENDPOINTS,
    Loads,
)
from cactusledge.gateway.messages import PromptPart, Replica
from cactusledge.gateway.placement import choose_engine
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
    """Each instance tells its news, then each one hears of the others'."""
    for name, loads in names.items():
        await gateways.report(LoadReport(name, {}, loads.drain_read_parts()))
    for name, loads in names.items():
        reply = await gateways.report(LoadReport(name, {}))
        loads.add_read_parts(reply.read)


def test_idle_engine_without_the_shared_part_is_not_chosen():
    warm, cold = engine('warm'), engine('cold')
    fronts = {f'front-{index}': Loads() for index in range(50)}
    fronts['front-0'].record_read(warm, prompt('s0'))
    asyncio.run(exchange(Gateways(), fronts))
    for loads in fronts.values():
        loads.set_remote_loads({'warm': 4})
        found = choose_engine((warm, cold), loads, prompt('s1'), HERE, 0)
        assert found == warm


def test_grown_session_is_read_in_part():
    load = Loads().of('e')
    load.add_cached_parts(prompt('s', 1000))
    assert load.uncached_tokens(prompt('s', 1600)) == 600
    load.add_cached_parts(prompt('s', 800))
    assert load.uncached_tokens(prompt('s', 1600)) == 600


def test_session_of_its_own_is_not_told():
    loads = Loads()
    loads.record_read(engine('e'), prompt('s'))
    loads.record_read(engine('e'), prompt('s', 3000))
    assert loads.take_news() == [read('e')]
    assert not loads.take_news()


def test_what_was_learned_is_not_told_again():
    loads = Loads()
    loads.learn([read('e')])
    loads.record_read(engine('e'), prompt('s'))
    assert not loads.take_news()
    assert loads.of('e').uncached_tokens((SHARED,)) == 0


def test_news_are_told_once_to_each_reader():
    parts = ReadParts()
    parts.add([read('e', 'a'), read('e', 'a')])
    first = parts.since(ListPosition())
    assert first.parts == [read('e', 'a')]
    parts.add([read('e', 'b')])
    second = parts.since(first.list_position)
    assert second.parts == [read('e', 'b')]
    assert not parts.since(second.list_position).parts


def test_reader_of_another_epoch_hears_all():
    before, after = ReadParts(), ReadParts()
    after.add([read('e', 'a')])
    assert after.since(
        before.since(ListPosition()).list_position._replace(position=5)
    ).parts


def test_oldest_news_make_room(monkeypatch):
    monkeypatch.setattr('cactusledge.records.read_parts.MAX_ENTRIES', 3)
    parts = ReadParts()
    serving = [read('e', str(index)) for index in range(5)]
    parts.add(serving)
    found = parts.since(Place())
    assert found.parts == serving[2:]
    parts.add(serving[:1])
    news = parts.since(found.place)
    assert news.parts == serving[:1]


def test_endpoints_that_are_gone_are_forgotten_in_the_end():
    loads = Loads()
    for index in range(MAX_UNLISTED_ENDPOINTS + 2):
        loads.record_read(engine(f'e{index}'), prompt('s'))
    loads.prune(frozenset(('e0',)))
    assert loads.of('e0').uncached_tokens((SHARED,)) == 0
    assert loads.of('e1').uncached_tokens((SHARED,)) == SHARED.tokens


def test_engine_that_started_again_holds_nothing():
    loads = Loads()
    loads.record_read(engine('e'), prompt('s'))
    assert not loads.at(engine('e')).uncached_tokens(prompt('s'))
    again = engine('e', born_ms=2)
    assert loads.at(again).uncached_tokens((SHARED,)) == SHARED.tokens
    loads.learn([read('e')])
    assert loads.at(again).uncached_tokens((SHARED,)) == SHARED.tokens
    loads.record_read(again, prompt('s'))
    assert [part.born_ms for part in loads.take_news()] == [1, 2]


def test_gateways_of_other_stores_hear_of_loads_and_parts():
    async def scene():
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

    near, far = asyncio.run(scene())
    assert near.in_flight == {'e': 5}
    assert far.in_flight == {'e': 7}
    assert far.read == [read('e')]


def test_what_was_told_stays_bounded():
    """The pattern: each sub-agent shares its parent's session."""
    loads = Loads()
    for index in range(MAX_REPORTED_PARTS + 10):
        own = PromptPart(f'own-{index}', 10)
        loads.record_read(
            engine('e'), (SHARED, PromptPart(f's{index}', 10), own)
        )
    assert len(loads.take_news()) == MAX_REPORTED_PARTS
    assert len(loads._reported) == MAX_REPORTED_PARTS

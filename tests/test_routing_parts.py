"""Cache map, ejection, fair shares, groups, services and orders."""

import random

import pytest

from cactusledge.models import Address, CallKind, Endpoint
from cactusledge.routing import orders, types
from cactusledge.routing.cache_map import CacheMap
from cactusledge.routing.ejection import Ejector
from cactusledge.routing.errors import NoEngineError
from cactusledge.routing.group_selection import CallOrigin, rank_groups
from cactusledge.routing.grouping import split_groups
from cactusledge.routing.policy import PolicySettings
from cactusledge.routing.prefix import CHUNK_TOKENS, prefix_chain
from cactusledge.routing.services import ServiceBalancer
from cactusledge.routing.shares import FairShares

CFG = PolicySettings()
CHAIN = (1, 2, 3, 4)
LONGER = (*CHAIN, 5)
SUMMARY = types.GroupSummary(
    key=types.GroupKey('bole', 'ledger'),
    owner='i1',
    slots=16,
    running=8,
    waiting=0,
    wait_s=0,
    slowness=1,
    timestamp_s=0,
)


def group(place, **changes):
    return SUMMARY._replace(key=types.GroupKey(place, 'ledger'), **changes)


@pytest.fixture
def cache():
    cache_map = CacheMap()
    cache_map.add_engine('e', 6 * CHUNK_TOKENS)
    cache_map.record_prompt('e', CHAIN, 1)
    return cache_map


def event(sequence, timestamp_s, **changes):
    return types.CacheEvent('e', sequence, timestamp_s)._replace(**changes)


@pytest.mark.parametrize(
    ('prefix', 'chunks'),
    [
        (CHAIN, 4),
        (LONGER, 4),
        ((1, 2, 9, 10), 2),
        ((9,), 0),
        ((), 0),
    ],
)
def test_cache_matches_leading_chunks(cache, prefix, chunks):
    assert cache.cached_tokens('e', prefix) == chunks * CHUNK_TOKENS


def test_cache_evicts_the_end_of_the_oldest_chain(cache):
    cache.record_prompt('e', (11, 12, 13), 2)
    assert cache.cached_tokens('e', CHAIN) == 3 * CHUNK_TOKENS


@pytest.mark.parametrize(
    ('events', 'chunks', 'contiguous'),
    [
        pytest.param([event(1, 2, removed=(3, 4))], 2, True, id='removed'),
        pytest.param([event(1, 0.5, removed=(4,))], 4, True, id='older'),
        pytest.param([event(3, 2, removed=(4,))], 3, False, id='gap'),
        pytest.param(
            [event(2, 2, removed=(4,)), event(1, 2, removed=(1,))],
            3,
            True,
            id='late repeat',
        ),
        pytest.param([event(1, 2, stored=(5,))], 4, True, id='stored'),
    ],
)
def test_cache_events(cache, events, chunks, contiguous):
    seen = [cache.apply_event(item) for item in events]
    assert seen[-1] is contiguous
    assert cache.cached_tokens('e', CHAIN) == chunks * CHUNK_TOKENS


def test_lower_cached_count_reduces_the_estimate(cache):
    cache.correct_estimate('e', expected=4 * CHUNK_TOKENS, actual=CHUNK_TOKENS)
    assert cache.cached_tokens('e', CHAIN) == CHUNK_TOKENS


def test_prefix_chain_covers_all_text_before():
    text = 'abcd' * CHUNK_TOKENS
    first, second = prefix_chain(text * 2)
    assert prefix_chain(text) == (first,)
    assert prefix_chain(f'x{text}{text}')[1] != second


@pytest.mark.parametrize(
    ('slowness', 'left'),
    [
        pytest.param({'a': 1, 'b': 1, 'c': 9}, {'a', 'b'}, id='one slow'),
        pytest.param({'a': 9, 'b': 9, 'c': 9}, {'a', 'b', 'c'}, id='all slow'),
        pytest.param({'a': 9}, {'a'}, id='alone'),
        pytest.param({'a': 1, 'b': 9}, {'a'}, id='one of two'),
    ],
)
def test_ejection_needs_an_outlier(slowness, left):
    ejector = Ejector(CFG)
    for _ in range(10):
        for name, value in slowness.items():
            ejector.observe(name, value, 1)
    assert set(ejector.usable(slowness, 1)) == left
    assert set(ejector.usable(slowness, 1000)) == set(slowness)


def test_shares_are_weighted_and_decay():
    shares = FairShares(CFG, {'big': 3})
    shares.charge('big', 30)
    shares.charge('small', 20)
    assert shares.over_share(frozenset()) == {'small'}
    shares.decay(10_000)
    assert shares.over_share(frozenset()) == set()


@pytest.mark.parametrize(
    ('origin', 'groups', 'first'),
    [
        pytest.param(
            CallOrigin('p', 'bole'), [group('bole'), group('yeka')], 'bole',
            id='local',
        ),
        pytest.param(
            CallOrigin('p', 'bole'),
            [group('bole', running=16, waiting=9), group('yeka')],
            'yeka',
            id='spill',
        ),
        pytest.param(
            CallOrigin('p', 'bole', types.GroupKey('yeka', 'ledger'), 1),
            [group('bole'), group('yeka', running=16, waiting=2)],
            'yeka',
            id='home',
        ),
        pytest.param(
            CallOrigin('p', 'bole'), [group('bole', slots=0), group('yeka')],
            'yeka',
            id='no engine left',
        ),
        pytest.param(
            CallOrigin('p', 'bole'), [group('bole', slowness=5), group('yeka')],
            'yeka',
            id='slow',
        ),
    ],
)  # fmt: skip
def test_group_choice(origin, groups, first):
    assert rank_groups(origin, groups)[0].data_centre == first


def test_groups_are_bounded_and_stable():
    engines = [replica(f'e{number}') for number in range(20)]
    before = split_groups(engines, 8)
    after = split_groups(engines[1:], 8)
    assert len(before) == 3
    assert max(map(len, before.values())) <= 8
    moved = sum(
        engine not in after[key]
        for key, members in before.items()
        for engine in members
    )
    assert moved <= 4


def replica(name, place='bole', **changes):
    address = Address('127.0.0.1', 1)
    endpoint = Endpoint(name, 'tool', CallKind.SERVICE, address, place)
    return endpoint._replace(**changes)


@pytest.fixture
def balancer():
    return ServiceBalancer('bole', CFG, random.Random(1))


def test_service_prefers_idle_local_replicas(balancer):
    balancer.set_replicas([replica('a'), replica('b'), replica('c', 'yeka')])
    chosen = [balancer.start(0).name for _ in range(5)]
    assert chosen.count('a') == chosen.count('b') == 2
    assert chosen.count('c') == 1


@pytest.mark.parametrize(
    ('listed', 'usable'),
    [
        ([replica('a')], False),
        ([replica('a', incarnation='2')], True),
        ([], False),
    ],
)
def test_service_leaving_is_sticky(balancer, listed, usable):
    balancer.set_replicas([replica('a')])
    balancer.mark_leaving('a')
    balancer.set_replicas(listed)
    if usable:
        assert balancer.start(0).name == 'a'
        return
    with pytest.raises(NoEngineError):
        balancer.start(0)


def test_failing_service_replica_is_ejected(balancer):
    balancer.set_replicas([replica('a'), replica('b')])
    for _ in range(10):
        balancer.finish('a', 1, ok=True)
        balancer.finish('b', 1, ok=False)
    assert {balancer.start(2).name for _ in range(5)} == {'a'}


ENGINES = (
    orders.LoadedEngine('a', 'x'),
    orders.LoadedEngine('b', 'x'),
    orders.LoadedEngine('c', 'x'),
    orders.LoadedEngine('d', 'y'),
)


@pytest.mark.parametrize(
    ('busy', 'engines', 'bytes_s', 'moved'),
    [
        pytest.param((0.5, 0.9), ENGINES, 1.0, 1, id='moves'),
        pytest.param((0.5, 0.8), ENGINES, 1.0, 0, id='below the bound'),
        pytest.param((1.2, 0.9), ENGINES, 1.0, 0, id='none to spare'),
        pytest.param((0.5, 0.9), ENGINES, 0, 0, id='no rate left'),
        pytest.param(
            (0.5, 0.9),
            [engine._replace(ordered_s=80) for engine in ENGINES],
            1.0,
            0,
            id='ordered just now',
        ),
        pytest.param((0.5, 0), ENGINES[:3], 1.0, 1, id='fewest engines'),
    ],
)
def test_orders(busy, engines, bytes_s, moved):
    demand = {
        'x': orders.ModelDemand(busy[0], 10),
        'y': orders.ModelDemand(busy[1], 10),
    }
    pull_limiter = orders.WeightPullLimiter(bytes_s)
    planned = orders.plan_orders(engines, demand, pull_limiter, 7, 100)
    expected = [orders.DesiredState('a', 'y', 7)]
    assert planned == expected[:moved]


@pytest.mark.parametrize(
    ('fenced', 'now', 'allowed'),
    [(True, 0, True), (False, 50, False), (False, 100, True)],
)
def test_new_order_owner_waits_where_fencing_is_ignored(fenced, now, allowed):
    assert orders.may_order(10, 90, now, fenced=fenced) is allowed

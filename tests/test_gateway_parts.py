"""Unit tests of data path components that need no connection."""

import random
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusledge.gateway.answer_end import Completeness
from cactusledge.gateway.chains import Chain, ChainCache, compress, join
from cactusledge.gateway.events import count_events, event_data
from cactusledge.gateway.gateway import choose_share, request_deadline_s
from cactusledge.gateway.messages import (
    CallInfo,
    Configuration,
    EndpointAnswer,
    Limits,
    Repeatability,
    Replica,
    Request,
    Route,
    Share,
)
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.gateway.routes import RouteTable
from cactusledge.gateway.sinks import ExchangeEnd, end_of
from cactusledge.objects.feeds import REREGISTRATION_S
from cactusledge.records.entries import Turn

HERE = 'dc-a'


def route(prefix, host='shop.example', **changes):
    base = Route(
        name=prefix,
        host=host,
        prefix=prefix,
        repeatability=Repeatability.ONCE,
        timeout_ms=2000,
        target_latency_ms=100,
        priority=1,
        shares=(Share('svc', 1),),
        max_attempts=2,
        keeps_turns=False,
        retention_s=0,
    )
    return base._replace(**changes)


def table(*routes):
    return RouteTable(Configuration(1, routes, (), Limits()))


def replica(endpoint_id, data_centre=HERE, service='svc', **changes):
    base = Replica(
        endpoint_id, service, '10.0.0.1', 80, data_centre, 4, False, 1
    )
    return base._replace(**changes)


def call_info(**changes):
    base = CallInfo(
        'r1', 'shop.example', '/a/', None, '', None, None, '', 0, 0, (), ''
    )
    return base._replace(**changes)


@pytest.mark.parametrize(
    ('path', 'found'),
    [
        ('/a/x', '/a/'),
        ('/a/b/x', '/a/b/'),
        ('/a/bx', '/a/'),
        ('/a/b/', '/a/b/'),
        ('/a/x?back=/a/b/c', '/a/'),
        ('/c/x', '/'),
    ],
)
def test_longest_prefix_wins(path, found):
    routes = table(route('/'), route('/a/'), route('/a/b/'))
    assert routes.find('Shop.example:80', path).prefix == found


@pytest.mark.parametrize('path', ['/b', '/b/x', 'b', ''])
def test_path_without_a_route_is_not_found(path):
    assert table(route('/a/')).find('shop.example', path) is None


def test_route_of_another_host_is_not_found():
    assert table(route('/')).find('other.example', '/a') is None


def test_program_keeps_its_share_of_a_split():
    shares = (Share('old', 90), Share('new', 10))
    infos = [call_info(program_id=f'p{index}') for index in range(400)]
    first = [choose_share(shares, info) for info in infos]
    assert first == [choose_share(shares, info) for info in infos]
    assert 15 <= first.count('new') <= 80


def test_deadline_is_the_earlier_of_caller_and_route():
    request = Request(b'GET', b'/a/', [], b'', 10)
    short = call_info(deadline_ms=500)
    assert request_deadline_s(request, short, route('/a/')) == pytest.approx(
        10.5
    )
    assert (
        request_deadline_s(request, call_info(deadline_ms=9000), route('/a/'))
        == 12
    )
    assert request_deadline_s(request, call_info(), route('/a/')) == 12


def test_draining_endpoint_gets_no_new_requests():
    replicas = ReplicaList()
    replicas.put(replica('e1'))
    replicas.put(replica('e2', is_draining=True))
    assert [found.endpoint_id for found in replicas.usable('svc', 0)] == ['e1']


def test_entry_missing_without_an_outage_is_removed_at_once():
    replicas = ReplicaList()
    replicas.replace_all([replica('e1'), replica('e2')], 0, after_outage=False)
    replicas.replace_all([replica('e1')], 1, after_outage=False)
    assert len(replicas.usable('svc', 1)) == 1


def test_entry_missing_after_an_outage_has_a_grace_period():
    replicas = ReplicaList()
    replicas.replace_all([replica('e1'), replica('e2')], 0, after_outage=False)
    replicas.replace_all([], 10, after_outage=True)
    assert len(replicas.usable('svc', 10)) == 2
    replicas.put(replica('e1'))
    left = replicas.usable('svc', 10 + REREGISTRATION_S)
    assert [found.endpoint_id for found in left] == ['e1']


def test_chain_joins_inputs_and_outputs_in_order():
    turns = [
        Turn('t1', '', 'p', compress(b'a'), compress(b'b\n'), 1, 'e1', ()),
        Turn('t2', 't1', 'p', compress(b'c'), compress(b'd\n'), 1, 'e2', ()),
    ]
    assert join(turns) == Chain(b'ab\ncd\n', 'e2')


def test_chain_cache_stays_within_its_capacity():
    cache = ChainCache(capacity_bytes=10)
    cache.put('t1', Chain(b'12345', ''))
    cache.put('t2', Chain(b'12345', ''))
    cache.get('t1')
    cache.put('t3', Chain(b'12345', ''))
    assert cache.get('t2') is None
    assert cache.get('t1') is not None


@pytest.mark.parametrize(
    ('stream', 'events', 'data'),
    [
        (b'', 0, b''),
        (b'id: 1\ndata: x\n\n', 1, b'x\n'),
        (b'id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n', 2, b'x\ny\n'),
        (b'id: 1\ndata: x\n\nid: 2\nda', 2, b'x\n'),
        (b'weights: 3\nid: 1\ndata: x\n\n', 1, b'x\n'),
        (b'data: a\ndata: b\n\n', 1, b'a\nb\n'),
        (b': ping\n\ndata:x\n\n', 2, b'x\n'),
    ],
)
def test_event_stream_is_parsed(stream, events, data):
    assert count_events(stream) == events
    assert event_data(stream) == data


@given(
    st.lists(
        st.binary(max_size=20).filter(lambda text: not set(b'\r\n') & set(text))
    )
)
def test_any_event_data_is_read_back(texts):
    stream = b''.join(b'data: %b\n\n' % text for text in texts)
    assert event_data(stream) == b''.join(b'%b\n' % text for text in texts)


def answer(status=200, **changes):
    base = EndpointAnswer(
        status,
        [],
        'r1',
        has_seal=True,
        not_run=False,
        is_encoded=False,
        idle_s=None,
    )
    return base._replace(**changes)


@pytest.mark.parametrize(
    ('head', 'completeness', 'end'),
    [
        (None, Completeness.COMPLETE, ExchangeEnd.BROKEN),
        (answer(), Completeness.COMPLETE, ExchangeEnd.ANSWERED),
        (answer(), Completeness.BROKEN, ExchangeEnd.BROKEN),
        (answer(), Completeness.UNPROVEN, ExchangeEnd.ANSWERED),
        (answer(has_seal=False), Completeness.UNPROVEN, ExchangeEnd.BROKEN),
        (answer(has_seal=False), Completeness.COMPLETE, ExchangeEnd.BROKEN),
        (answer(request_id=''), Completeness.COMPLETE, ExchangeEnd.BROKEN),
        (answer(is_encoded=True), Completeness.COMPLETE, ExchangeEnd.BROKEN),
        (answer(503, not_run=True), Completeness.COMPLETE, ExchangeEnd.NOT_RUN),
        (answer(503, not_run=True), Completeness.BROKEN, ExchangeEnd.NOT_RUN),
        (answer(500), Completeness.COMPLETE, ExchangeEnd.ANSWERED),
        (
            answer(503, has_seal=False),
            Completeness.COMPLETE,
            ExchangeEnd.BROKEN,
        ),
        (answer(429), Completeness.COMPLETE, ExchangeEnd.BROKEN),
        (answer(408), Completeness.COMPLETE, ExchangeEnd.BROKEN),
        (answer(504), Completeness.COMPLETE, ExchangeEnd.ANSWERED),
    ],
)
def test_classification_of_exchange_end(head, completeness, end):
    assert end_of(head, completeness) is end


# A chain was held three times while it was read and sent, and once more for a
# cache that it did not fit in.
def test_chain_is_held_once():
    size = 4_000_000
    turns = [
        Turn(f't{number}', '', 'p', text, compress(b'out'), 1, 'e', ())
        for number in range(8)
        for text in (compress(random.randbytes(size)),)
    ]
    cache = ChainCache()
    tracemalloc.start()
    chain = join(turns)
    cache.extend(chain, (b'in', b'out'), turns[-1])
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(chain.text) >= 8 * size
    assert peak < 10.5 * size
    assert cache.get('t7') is None


def test_cache_has_a_chain_with_its_next_turn():
    last = Turn('t2', 't1', 'p', b'', b'', 1, 'e2', (), 'acme')
    cache = ChainCache(capacity_bytes=10)
    cache.extend(Chain(b'abc', 'e1'), (b'de', b'f'), last)
    assert cache.get('t2') == Chain(b'abcdef', 'e2', 'acme')
    cache.extend(Chain(b'abc', 'e1'), (b'd' * 8,), last)
    assert cache.get('t2') == Chain(b'abcdef', 'e2', 'acme')

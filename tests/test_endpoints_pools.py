"""Connection pools, requests refused before the send, and cache events."""

import socket
import time

import pytest

from cactusledge.endpoints.connections import (
    MAX_IDLE_S,
    EndpointConnection,
)
from cactusledge.endpoints.errors import EndpointRefusedError
from cactusledge.endpoints.pools import ConnectionPools, PoolLimits
from cactusledge.endpoints.reports import parse_events
from cactusledge.endpoints.transport import HttpRequest, Timeouts, send
from cactusledge.models import Address, CallKind, Endpoint

ADDRESSES = tuple(Address('127.0.0.1', port) for port in (1, 2, 3))
REPLICA = Endpoint('s-1', 'booking', CallKind.SERVICE, ADDRESSES[0], 'dc-1')


def find(pools, address):
    with pools.shared(address) as pool:
        return pool


def test_pool_limit_evicts_the_least_recently_used():
    pools = ConnectionPools(PoolLimits(addresses=2))
    first, second = (find(pools, address) for address in ADDRESSES[:2])
    assert find(pools, ADDRESSES[0]) is first
    find(pools, ADDRESSES[2])
    assert len(pools) == 2
    assert second.pool is None
    assert find(pools, ADDRESSES[0]) is first
    pools.close()
    assert not len(pools)


def test_request_without_a_free_connection_is_not_sent():
    pools = ConnectionPools(PoolLimits(keep_alive=1))
    timeouts = Timeouts(time.monotonic() + 5, connect_timeout_s=0.01)
    pool = find(pools, ADDRESSES[0])
    pool.pool.get()
    with pytest.raises(EndpointRefusedError):
        send(pool, REPLICA, HttpRequest('GET', '/'), timeouts)


def test_fresh_connections_are_bounded():
    pools = ConnectionPools(PoolLimits(fresh=1, acquire_timeout_s=0.01))
    with pools.fresh(ADDRESSES[0]), pytest.raises(EndpointRefusedError):
        pools.fresh(ADDRESSES[0]).__enter__()
    with pools.fresh(ADDRESSES[0]) as pool:
        assert pool.host == ADDRESSES[0].host


def test_connection_past_its_idle_limit_is_not_reused(monkeypatch):
    listener = socket.create_server(('127.0.0.1', 0))
    conn = EndpointConnection('127.0.0.1', listener.getsockname()[1])
    conn.connect()
    assert conn.is_connected
    later_s = time.monotonic() + MAX_IDLE_S
    monkeypatch.setattr(time, 'monotonic', lambda: later_s)
    assert not conn.is_connected
    conn.close()
    listener.close()


def test_request_on_an_evicted_pool_is_not_sent():
    pools = ConnectionPools()
    pool = find(pools, ADDRESSES[0])
    pools.evict(ADDRESSES[0])
    with pytest.raises(EndpointRefusedError):
        send(
            pool,
            REPLICA,
            HttpRequest('GET', '/'),
            Timeouts(time.monotonic() + 5),
        )


@pytest.mark.parametrize('key', ['k\r\nX-Role: admin', 'ክፍያ'])
def test_key_with_invalid_characters_is_refused(key):
    request = HttpRequest('POST', '/', {'Idempotency-Key': key})
    with pytest.raises(EndpointRefusedError, match='printable ASCII'):
        send(
            find(ConnectionPools(), ADDRESSES[0]),
            REPLICA,
            request,
            Timeouts(time.monotonic() + 5),
        )


@pytest.mark.parametrize(
    ('after', 'numbers', 'kept', 'last', 'missing'),
    [
        (0, (), (), 0, 0),
        (0, (1, 2), (1, 2), 2, 0),
        (3, (3, 2, 5, 4, 5), (4, 5), 5, 0),
        (3, (6, 8), (6, 8), 8, 3),
    ],
)
def test_cache_events_are_sorted_and_gaps_counted(
    after, numbers, kept, last, missing
):
    documents = [
        {'seq': seq, 'type': 'stored', 'chunk': 'c', 'program': 'p'}
        for seq in numbers
    ]
    report = parse_events(after, documents)
    assert tuple(event.seq for event in report.events) == kept
    assert (report.last_seq, report.missing) == (last, missing)

"""An instance that reaches no endpoint, while another instance does.

The pattern: the links of one instance to all endpoints are cut, while callers
and the other instances still reach it, so its callers keep coming.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest

from cactusledge.gateway.reach import SUSPECTED_BY
from tests.gateway_endpoints import SEAL, Endpoint, reply_of
from tests.gateway_peers import introduced
from tests.gateway_support import running_gateways
from tests.link_proxy import Cut, LinkProxy

pytestmark = pytest.mark.process

EVENT = b'id: 1\ndata: a\n\n'
SERVED_AFTER_S = {Cut.HANG: 2.0, Cut.RESET: 1.0, Cut.REFUSE: 1.0}
CALL_PAUSE_S = 0.1
CALLS_AFTER = 8
BUSY_S = 1.8  # an engine answers within its route's timeout of 2 s


class CountedEndpoint(Endpoint):
    """Counts the connections that it accepts."""

    def __init__(self, reply):
        super().__init__(reply)
        self.connections = 0

    async def _serve(self, reader, writer):
        self.connections += 1
        await super()._serve(reader, writer)


def replying(head):
    return reply_of(200, head, SEAL, body=EVENT)


def replying_once(head):
    """Responds and lets the connection be used no more."""
    return reply_of(200, head, SEAL, 'Connection: close', body=EVENT)


@asynccontextmanager
async def stranded_pair(reply):
    """Starts two gateways; the first one's links can be cut."""
    endpoints = [Endpoint(reply), Endpoint(reply)]
    async with running_gateways(2, *endpoints) as harnesses:
        proxies = [LinkProxy(endpoint.port) for endpoint in endpoints]
        for number, proxy in enumerate(proxies):
            proxy.start()
            replicas = harnesses[0].fleet.replicas
            listed = replicas.find(f'e{number}')
            replicas.put(listed._replace(port=proxy.port))
        async with introduced(harnesses):
            yield harnesses[0], proxies, endpoints
        for proxy in proxies:
            proxy.close()


async def call_for(harness, path, seconds):
    """Calls steadily without waiting for the answers."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    while loop.time() < end_s:
        await harness.call(path)
        await asyncio.sleep(CALL_PAUSE_S)


async def statuses_of(harness, path, count):
    """Calls one after the other; returns the statuses."""
    statuses = []
    for number in range(count):
        caller = await harness.call(path, request_id=f'late{number}')
        statuses.append((await caller.read())[0])
    return statuses


# Callers of an instance without links to endpoints were refused for the whole
# cut, although other instances could have served them.
@pytest.mark.parametrize('how', Cut)
@pytest.mark.parametrize('path', ['/once/x', '/safe/x', '/stream/x', '/turn/x'])
def test_callers_of_a_stranded_instance_are_served(path, how):
    async def main():
        async with stranded_pair(replying_once) as (harness, proxies, _):
            assert await statuses_of(harness, path, 2) == [200, 200]
            for proxy in proxies:
                proxy.cut(how)
            await call_for(harness, path, SERVED_AFTER_S[how])
            return await statuses_of(harness, path, CALLS_AFTER)

    assert set(asyncio.run(main())) == {200}


# While callers kept coming, some request was always too young to be silent, so
# the links were tested late.
@pytest.mark.parametrize('path', ['/once/x', '/stream/x'])
def test_cut_of_kept_connections_is_noticed_under_steady_traffic(path):
    async def main():
        async with stranded_pair(replying) as (harness, proxies, _):
            await call_for(harness, path, CALL_PAUSE_S * 5)
            for proxy in proxies:
                proxy.cut(Cut.HANG)
            await call_for(harness, path, SERVED_AFTER_S[Cut.HANG])
            return await statuses_of(harness, path, CALLS_AFTER)

    assert set(asyncio.run(main())) == {200}


def test_requests_go_to_the_endpoints_again_once_the_links_are_back():
    async def main():
        async with stranded_pair(replying_once) as (
            harness,
            proxies,
            endpoints,
        ):
            for proxy in proxies:
                proxy.cut(Cut.RESET)
            await call_for(harness, '/once/x', SERVED_AFTER_S[Cut.RESET])
            for proxy in proxies:
                proxy.heal()
            await asyncio.sleep(SERVED_AFTER_S[Cut.RESET])
            for endpoint in endpoints:
                endpoint.requests.clear()
            statuses = await statuses_of(harness, '/once/x', CALLS_AFTER)
            heads = [head for one in endpoints for head, _ in one.requests]
            return statuses, heads, harness.fleet.reach

    statuses, heads, reach = asyncio.run(main())
    assert set(statuses) == {200}
    assert len(heads) == CALLS_AFTER
    assert reach.received_s > 0  # also from answers between two checks


# A quiet gateway that waits for a busy engine opened connections all the while.
def test_busy_endpoint_is_not_flooded_with_connections():
    endpoints = [CountedEndpoint(lambda head: None), CountedEndpoint(replying)]

    async def main():
        async with (
            running_gateways(2, *endpoints) as harnesses,
            introduced(harnesses),
        ):
            await harnesses[0].call('/once/x')
            await asyncio.sleep(BUSY_S)
            now_s = asyncio.get_running_loop().time()
            return harnesses[0].fleet.reach.is_stranded(now_s)

    assert not asyncio.run(main())
    opened = sum(endpoint.connections for endpoint in endpoints)
    assert opened <= 1 + SUSPECTED_BY  # the request's, and one test's

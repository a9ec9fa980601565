"""Endpoints that leave while a gateway is cut off from the platform.

Real processes; the endpoint is one of the test's own, which goes on serving
for as long as a request may reach it.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest

from tests.gateway_endpoints import Endpoint, answered, read_head
from tests.soak_processes import documents
from tests.soak_processes.exchange import Ask, Channel, exchange
from tests.soak_processes.link import LinkFault
from tests.test_silent_watches import Deployment

pytestmark = pytest.mark.process

HEARTBEAT_S = 1.0
OUTAGE_S = 3.0  # for which a gateway is cut off before the endpoint leaves
DRAIN_S = 2.0  # until no gateway sends to an endpoint that leaves
LISTED_S = 1.0  # after a cut, until the endpoints are known again
START_LIMIT_S = 15.0  # until the stores and the endpoint are in use
POLL_S = 0.1
WATCH_S = 1.5  # after a change, until the next watch is open
PACE_MS = 100  # at the other endpoint, so that this one is preferred
ASKED = 16  # requests that would reach the endpoint if it were used


class LeavingEndpoint:
    """An endpoint in a gateway's zone, and its entry at the platform."""

    def __init__(self, deployment, zone):
        self._operator = deployment.operator
        self._zone = zone
        self._server = Endpoint(answered)
        self._beats = None

    @property
    def runs(self):
        """How many requests have reached it."""
        return len(self._server.requests)

    async def start(self):
        """Serves, and registers every second until it leaves."""
        await self._server.start()
        self._beats = asyncio.ensure_future(self._register())

    async def leave(self, how):
        """Marks the entry as draining, or removes it."""
        self._beats.cancel()
        if how == 'draining':
            await self._send('PUT', 'draining')
        else:
            await self._send('DELETE', 'ready')

    async def _register(self):
        while True:
            await self._send('PUT', 'ready')
            await asyncio.sleep(HEARTBEAT_S)

    async def _send(self, method, state):
        entry = {
            'service': 'tool',
            'address': f'127.0.0.1:{self._server.port}',
            'zone': self._zone,
            'version': '1',
            'slots': 64,
            'state': state,
            'cold_left_ms': 0,
            'born': 1,
        }
        await self._operator.send(method, 'servers', 'leaver', entry)


@asynccontextmanager
async def started(folder):
    """Starts a deployment and the endpoint; ends what it started."""
    deployment = Deployment(folder)
    try:
        yield deployment, *await start(deployment)
    finally:
        deployment.fleet.stop_all()


async def start(deployment):
    """Returns a gateway, and the endpoint once it gets its requests."""
    await deployment.start()
    gateway = deployment.fronts[-1]
    leaver = LeavingEndpoint(deployment, gateway.zone)
    async with asyncio.timeout(START_LIMIT_S):
        while not await is_ready(gateway):
            await asyncio.sleep(POLL_S)
        await leaver.start()
        while not await runs_after_calls(leaver, gateway):
            await asyncio.sleep(POLL_S)
    await asyncio.sleep(WATCH_S)
    return gateway, leaver


async def is_ready(gateway):
    """Returns whether a gateway is connected to the stores."""
    streams = await asyncio.open_connection(gateway.ip, documents.READY_PORT)
    streams[1].write(b'GET / HTTP/1.1\r\nHost: ready\r\n\r\n')
    head = await read_head(streams[0])
    streams[1].close()
    return ' 200 ' in head[0]


async def runs_after_calls(leaver, gateway):
    """Returns how many of some calls at a gateway reach the endpoint."""
    before = leaver.runs
    names = (f'r{before}-{number}' for number in range(ASKED))
    await asyncio.gather(*(call(gateway, name) for name in names))
    return leaver.runs - before


async def call(gateway, name):
    """Sends a call of a program of its own, which must be answered."""
    streams = await asyncio.open_connection(gateway.ip, documents.FRONT_PORT)
    seen = await exchange(
        Channel(gateway.ip, *streams),
        Ask(name, name, 'safe', name, pace_ms=PACE_MS),
    )
    streams[1].close()
    assert seen.status == 200


# A gateway that only the platform turned away went on sending to an endpoint
# that all others knew to be leaving.
@pytest.mark.timeout(120)
@pytest.mark.parametrize('how', ['removed', 'draining'])
def test_gateway_without_platform_learns_from_others_that_an_endpoint_leaves(
    tmp_path, how
):
    async def main():
        async with started(tmp_path) as (_, gateway, leaver):
            gateway.links['platform'].apply(LinkFault.SILENCE, 0)
            gateway.links['platform'].reset()
            await asyncio.sleep(OUTAGE_S)
            await leaver.leave(how)
            await asyncio.sleep(DRAIN_S)
            return await runs_after_calls(leaver, gateway)

    assert not asyncio.run(main())


# After a cut from everything the endpoint was used until the first list, and
# for 2 s more, although the platform had been up all the time.
@pytest.mark.timeout(120)
def test_endpoint_that_left_during_a_cut_is_not_used_after_it(tmp_path):
    async def main():
        async with started(tmp_path) as (deployment, gateway, leaver):
            stores = deployment.fleet.of_role('store')
            links = [gateway.links['platform']]
            links += [store.links['callers'] for store in stores]
            for link in links:
                link.apply(LinkFault.SILENCE, 0)
                link.reset()  # as keep-alive probes do
            await asyncio.sleep(OUTAGE_S)
            await leaver.leave('removed')
            await asyncio.sleep(documents.GRACE_S)
            for link in links:
                link.reset()  # what was held back is lost
                link.heal()
            await asyncio.sleep(LISTED_S)
            return await runs_after_calls(leaver, gateway)

    assert not asyncio.run(main())

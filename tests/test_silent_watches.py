"""Watches of the platform that are never answered, in real processes."""

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest

from tests.soak_processes import documents
from tests.soak_processes.configurations import FIRST, Configurations
from tests.soak_processes.exchange import Ask, Channel, exchange
from tests.soak_processes.fleet import Fleet

pytestmark = pytest.mark.process

START_LIMIT_S = 60.0
POLL_S = 0.1
STABLE_S = 3.0  # after which the time limits hold again
DRAIN_S = 2.0  # until no gateway sends to an endpoint that leaves
ROLES = ('store', 'store', 'store', 'tool', 'front', 'front')
ENTRY = {
    'service': 'tool',
    'address': '127.0.0.1:9',
    'zone': 'z-a',
    'version': '1',
    'slots': 1,
    'state': 'draining',
    'cold_left_ms': 0,
    'seq': 1,
}


class Deployment:
    """A platform, stores, gateways and an endpoint, and their operator."""

    def __init__(self, folder, roles=ROLES):
        self.folder = folder
        self.roles = roles
        self.fleet = Fleet(folder)
        self.operator = Configurations(self.fleet)

    @property
    def fronts(self):
        """The gateways."""
        return self.fleet.of_role('front')

    async def start(self):
        """Starts all processes and waits until calls are answered."""
        self.fleet.start_platform()
        async with asyncio.timeout(START_LIMIT_S):
            await self._publish_first()
            for role in self.roles:
                self.fleet.new_node(role)
            for node in tuple(self.fleet.nodes.values())[1:]:
                await self.fleet.start(node)
            while set(await self.statuses('safe')) != {200}:
                await asyncio.sleep(POLL_S)

    def silence_platform_links(self):
        """Lets the open connections to the platform go silent for good."""
        for node in self.fleet.nodes.values():
            if node.role in {'front', 'store'}:
                node.links['platform'].silence_open()

    async def publish(self, *routes):
        """Publishes a configuration with added routes."""
        draw = FIRST._replace(version=2, extra_routes=routes)
        body = documents.configuration(draw)
        await self.operator.send('PUT', 'config', 'main', body)

    async def statuses(self, kind):
        """Returns how each gateway answers a request, 0 for not at all."""
        return [await ask(front.ip, kind) for front in self.fronts]

    def logs(self):
        """Returns what each gateway has written."""
        return [
            (self.folder / f'{front.name}.log').read_text()
            for front in self.fronts
        ]

    async def _publish_first(self):
        while True:
            with suppress(Exception):
                await self.operator.publish_first()
                return
            await asyncio.sleep(POLL_S)


async def ask(host, kind):
    """Sends a call on a new connection; returns the status of its answer."""
    try:
        streams = await asyncio.open_connection(host, documents.FRONT_PORT)
    except OSError:
        return 0
    seen = await exchange(Channel(host, *streams), Ask('r1', 'p1', kind, 'x'))
    streams[1].close()
    return seen.status


def knows_leaver(text):
    """Returns whether a gateway has got the entry, by an event or a list."""
    return 'leaver' in text or '"count": 2' in text


@asynccontextmanager
async def started(folder):
    """Starts a deployment; ends what it started."""
    deployment = Deployment(folder)
    try:
        await deployment.start()
        yield deployment
    finally:
        deployment.fleet.stop_all()


# A route that had been added was refused with 404 for as long as watches that
# the platform never answered stayed open: 21 s.
@pytest.mark.timeout(120)
def test_new_route_is_served_though_all_watches_are_silent(tmp_path):
    async def main():
        async with started(tmp_path) as deployment:
            deployment.silence_platform_links()
            await asyncio.sleep(STABLE_S)
            await deployment.publish(1)
            await asyncio.sleep(documents.APPLY_S)
            return await deployment.statuses('extra-1')

    assert asyncio.run(main()) == [200, 200]


# The same for an endpoint that says that it leaves: requests would be sent to
# it while it ends.
@pytest.mark.timeout(120)
def test_leaving_endpoint_is_known_though_all_watches_are_silent(tmp_path):
    async def main():
        async with started(tmp_path) as deployment:
            deployment.silence_platform_links()
            await asyncio.sleep(STABLE_S)
            await deployment.operator.send('PUT', 'servers', 'leaver', ENTRY)
            await asyncio.sleep(DRAIN_S)
            return deployment.logs()

    assert all(map(knows_leaver, asyncio.run(main())))

"""What a gateway's own watch and its load reports say of its version."""

import asyncio
from types import SimpleNamespace

import pytest

from cactusledge.errors import StoreUnavailableError, StoreVersionGoneError
from cactusledge.gateway.configuration_news import FAILING_LIMIT_S
from cactusledge.gateway.new_load_exchange import new_load_exchange
from cactusledge.gateway.parts import start_watchers
from cactusledge.models import Address
from cactusledge.objects.store import ObjectList
from cactusledge.records.gateway_messages import KnownVersion, LoadSums
from tests.gateway_support import GatewayHarness

WAIT_S = 5.0


class ScriptedObjects:
    """Lists nothing, and lets watches end as told."""

    def __init__(self, error=None):
        self.error = error
        self.lists = 0

    def list(self, kind, prefix=''):
        self.lists += 1
        if self.error is not None:
            raise self.error
        return ObjectList((), '1')

    def watch(self, kind, version, timeout_s, prefix=''):
        raise self.error or StoreVersionGoneError('gone', remedy='list')


def parts_with(objects):
    """Returns the parts that the watchers and the load exchange use."""
    return SimpleNamespace(
        instance='f0',
        peers=Address('10.0.0.1', 80),
        objects=objects,
        configuration_kind='configuration',
        endpoint_kind='endpoints',
        decode_configuration=None,
        decode_replica=None,
    )


async def until(condition):
    """Waits until a condition holds."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


# The platform turns the gateway away, with an error or by silence, and takes
# it back later.
def test_gateway_is_uncertain_while_its_watch_fails():
    async def main():
        gateway = GatewayHarness().gateway
        objects = ScriptedObjects(StoreUnavailableError('no', remedy='wait'))
        watchers = start_watchers(parts_with(objects), gateway)
        later_s = asyncio.get_running_loop().time() + WAIT_S + FAILING_LIMIT_S
        await until(lambda: not gateway.news.is_current(later_s))
        objects.error = None
        await until(lambda: gateway.news.is_current(later_s))
        for watcher in watchers:
            watcher.stop()

    asyncio.run(main())


# The platform has forgotten its history, but it answers.
def test_gateway_stays_certain_while_the_platform_answers():
    async def main():
        gateway = GatewayHarness().gateway
        notes = []
        gateway.news = SimpleNamespace(note_watch=notes.append)
        objects = ScriptedObjects()
        watchers = start_watchers(parts_with(objects), gateway)
        await until(lambda: objects.lists > 4 and len(notes) > 2)
        assert set(notes) == {None}
        for watcher in watchers:
            watcher.stop()

    asyncio.run(main())


class OneStore:
    """A store in reach that keeps a report and names a newer version."""

    name = 'store-a'
    is_connected = True

    def __init__(self):
        self.reports = []

    def nearest_first(self):
        return [self]

    async def call(self, report, timeout_s):
        self.reports.append(report)
        return LoadSums({}, configuration=KnownVersion(9, ('10.0.0.2:80',)))


# Other gateways learn of a version only from the loads.
@pytest.mark.parametrize(
    ('version', 'reported'),
    [(1, KnownVersion(1, ('10.0.0.1:80',))), (0, KnownVersion())],
)
def test_loads_carry_the_version_of_a_gateway(version, reported):
    async def main():
        gateway = GatewayHarness().gateway
        gateway.news.version = version
        store = OneStore()
        exchange = new_load_exchange(parts_with(None), gateway, store)
        task = asyncio.ensure_future(exchange.run())
        await until(lambda: gateway.news.is_behind)
        task.cancel()
        assert store.reports[0].configuration == reported

    asyncio.run(main())

"""Gateways that fetch a version of the configuration from each other."""

import asyncio
from contextlib import asynccontextmanager

import msgspec
import pytest
from structlog.testing import capture_logs

from cactusledge.gateway.bootstrap import (
    FETCH_TIMEOUT_S,
    PeerBootstrap,
    Snapshot,
)
from cactusledge.gateway.configuration_news import (
    FETCH_WAIT_S,
    VersionReports,
)
from cactusledge.gateway.messages import (
    Account,
    Configuration,
    Limits,
    Replica,
)
from cactusledge.gateway.peer_requests import PeerRequests
from cactusledge.gateway.version_fetch import VersionFetch
from cactusledge.models import Address
from cactusledge.records.gateway_messages import (
    AskBeliefs,
    Beliefs,
    KnownVersion,
)
from cactusledge.records.gateways import GatewayRegistry
from cactusledge.records.message_server import MessageServer
from cactusledge.records.version_spread import (
    MAX_HOLDERS,
)
from standins.ports import free_port
from tests.gateway_endpoints import Endpoint, answered
from tests.gateway_support import running_gateway, running_gateways
from tests.store_stubs import exchanging

ACME = Account('acme', frozenset((b'digest',)))
APPLY_S = 3.0  # from the publication of a version


class Peer:
    """What a gateway needs to answer others and to fetch from them."""

    def __init__(self, harness):
        gateway = harness.gateway
        self.address = Address('127.0.0.1', free_port())
        self.bootstrap = PeerBootstrap(gateway, None)
        self.fetch = VersionFetch(
            gateway.news, self.bootstrap.fetch, harness.fleet.metrics
        )
        harness.versions = VersionReports(gateway.news, self.address)
        requests = PeerRequests(gateway, self.address, self.bootstrap, None)
        self.server = MessageServer(requests.handle)


@asynccontextmanager
async def connected(count):
    """Starts gateways that report to one store; yields them with the ends."""
    async with running_gateways(count, Endpoint(answered)) as harnesses:
        peers = [Peer(harness) for harness in harnesses]
        tasks = []
        for started in peers:
            await started.server.start(started.address)
            tasks.append(asyncio.ensure_future(started.fetch.run()))
        async with exchanging(GatewayRegistry(), harnesses):
            yield [harness.gateway for harness in harnesses], peers
        for task, ended in zip(tasks, peers, strict=True):
            task.cancel()
            ended.server.stop()


def publish(gateway, version):
    """Lets the platform's watch bring a version to a gateway."""
    cfg = gateway.table.cfg
    gateway.apply(cfg._replace(version=version, accounts=(ACME,)))


async def until_applied(gateway, version):
    """Waits until a version is in force; fails if that takes too long."""
    async with asyncio.timeout(APPLY_S):
        while gateway.table.cfg.version < version:
            await asyncio.sleep(0.02)


def fetches(lines):
    """Returns the versions before and after each fetch."""
    return [
        (line['before'], line['version'])
        for line in lines
        if line['event'] == 'gateway: configuration fetched from peer'
    ]


# The platform turned some gateways away for nine seconds: they kept serving
# keys that had been taken away.
def test_gateway_without_the_platform_applies_versions_in_quick_succession():
    async def main():
        async with connected(2) as ((served, refused), _):
            refused.news.note_watch(0)
            for version in (3, 4, 9):
                publish(served, version)
                await until_applied(refused, version)
            assert refused.table.cfg == served.table.cfg

    with capture_logs() as lines:
        asyncio.run(main())
    assert fetches(lines) == [(1, 3), (3, 4), (4, 9)]


# A holder is gone or hangs when it is asked.
@pytest.mark.parametrize('is_silent', [True, False])
def test_holder_that_does_not_answer_does_not_block_the_fetch(is_silent):
    asked = []

    async def hang(body):
        asked.append(body)
        await asyncio.sleep(APPLY_S)

    async def main():
        bad = Address('127.0.0.1', free_port())
        server = MessageServer(hang)
        async with running_gateways(2, Endpoint(answered)) as harnesses:
            has_it, lacks_it = map(Peer, harnesses)
            await has_it.server.start(has_it.address)
            if is_silent:
                await server.start(bad)
            publish(harnesses[0].gateway, 3)
            behind = harnesses[1].gateway
            holders = (str(bad), str(has_it.address))
            behind.news.hear(KnownVersion(3, holders), 0)
            async with asyncio.timeout(APPLY_S / 2):
                await lacks_it.fetch.step(FETCH_WAIT_S)
            assert behind.table.cfg.version == 3
            has_it.server.stop()
            server.stop()

    asyncio.run(main())
    assert len(asked) == is_silent


# The holder may have been restarted without the platform, with less.
def test_version_never_goes_back():
    async def main():
        async with connected(2) as ((old, new), peers):
            publish(new, 5)
            await peers[1].bootstrap.fetch(peers[0].address)
            assert new.table.cfg.version == 5
            assert old.table.cfg.version == 1

    asyncio.run(main())


# Endpoints come from the platform's list only; a peer may know gone ones.
def test_endpoints_are_taken_only_by_a_gateway_without_any():
    async def answer(body):
        assert isinstance(body, AskBeliefs)
        return Beliefs(msgspec.msgpack.encode(Snapshot(cfg, (gone,))))

    async def main():
        async with running_gateway(Endpoint(answered)) as harness:
            address = Address('127.0.0.1', free_port())
            server = MessageServer(answer)
            await server.start(address)
            await PeerBootstrap(harness.gateway, None).fetch(address)
            server.stop()
            assert harness.gateway.table.cfg.version == 7
            assert harness.fleet.replicas.ids() == {'e0'}

    cfg = Configuration(7, (), (), Limits())
    gone = Replica('e9', 'svc', '127.0.0.1', 1, 'dc-a', 1, False, 1)
    asyncio.run(main())


def test_silent_holders_leave_time_for_the_last_one():
    assert MAX_HOLDERS * FETCH_TIMEOUT_S < APPLY_S / 2

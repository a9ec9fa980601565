"""A gateway that starts while the platform does not answer."""

import asyncio

import pytest

from cactusledge.gateway.bootstrap import PLATFORM_WAIT_S, PeerBootstrap
from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.loads import Loads
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.models import Address
from cactusledge.records.gateway_messages import AskBeliefs, Beliefs
from cactusledge.records.message_server import MessageServer
from tests.gateway_support import (
    Endpoint,
    FakeRecords,
    answered,
    running_gateway,
)
from tests.records_support import free_port

PLATFORM_S = PLATFORM_WAIT_S + 0.1  # the platform had its time to tell


class FakeRelays:
    """The other gateways, as `Relays` knows them."""

    def __init__(self, *addresses):
        self.addresses = list(addresses)
        self.asked = 0

    def neighbours(self):
        self.asked += 1
        return self.addresses


def empty_gateway(scene):
    """Returns a gateway that knows nothing yet."""
    fleet = scene.fleet._replace(replicas=ReplicaList(), loads=Loads())
    return Gateway(fleet, FakeRecords())


async def ask(gateway, *addresses):
    """Has a gateway ask others; returns what it knows of them."""
    known = FakeRelays(*addresses)
    exchange = PeerBootstrap(gateway, known)
    await exchange.run(0)
    await exchange.run(PLATFORM_S)
    return known


@pytest.fixture
def run_scenario():
    """Runs a scenario beside a gateway that serves and can be asked."""

    def run(scenario):
        async def scene():
            async with running_gateway(Endpoint(answered)) as serving:
                exchange = PeerBootstrap(serving.gateway, FakeRelays())
                server = MessageServer(exchange.handle)
                address = Address('127.0.0.1', free_port())
                await server.start(address)
                await scenario(serving, address)
                server.stop()

        asyncio.run(scene())

    return run


def test_configuration_and_endpoints_come_from_another_gateway(run_scenario):
    async def scenario(serving, address):
        gateway = empty_gateway(serving)
        await ask(gateway, address)
        assert gateway.table.cfg == serving.gateway.table.cfg
        replicas = serving.fleet.replicas.all()
        assert gateway.fleet.replicas.all() == replicas

    run_scenario(scenario)


def test_gateway_that_is_not_reached_is_passed_over(run_scenario):
    async def scenario(serving, address):
        gateway = empty_gateway(serving)
        silent = Address('127.0.0.1', free_port())
        await ask(gateway, silent, address)
        assert gateway.table is not None

    run_scenario(scenario)


def test_platform_has_its_time_first_and_one_that_serves_does_not_ask(
    run_scenario,
):
    async def scenario(serving, address):
        known = FakeRelays(address)
        exchange = PeerBootstrap(empty_gateway(serving), known)
        await exchange.run(0)
        await exchange.run(PLATFORM_WAIT_S / 2)
        assert not known.asked
        assert not (await ask(serving.gateway, address)).asked

    run_scenario(scenario)


@pytest.mark.parametrize('content', [b'', b'\xc1', b'\x93\x01\x02\x03'])
def test_unreadable_snapshot_is_ignored(run_scenario, content):
    async def scenario(serving, address):
        async def reply_with_content(body):
            assert isinstance(body, AskBeliefs)
            return Beliefs(content)

        server = MessageServer(reply_with_content)
        strange = Address('127.0.0.1', free_port())
        await server.start(strange)
        gateway = empty_gateway(serving)
        await ask(gateway, strange)
        server.stop()
        assert gateway.table is None
        assert not len(gateway.fleet.replicas)

    run_scenario(scenario)

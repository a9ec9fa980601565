"""A gateway that starts during a platform outage bootstraps from a peer."""

import asyncio

import pytest

from cactusledge.gateway.bootstrap import PLATFORM_WAIT_S, PeerBootstrap
from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.loads import Loads
from cactusledge.gateway.peer_requests import PeerRequests
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.models import Address
from cactusledge.records.gateway_messages import AskBeliefs, Beliefs
from cactusledge.records.message_server import MessageServer
from cactusledge.records.withdrawal_messages import Withdrawal
from standins.ports import free_port
from tests.gateway_endpoints import Endpoint, answered
from tests.gateway_support import FakeRecords, running_gateway

AFTER_PLATFORM_WAIT_S = PLATFORM_WAIT_S + 0.1  # after the wait for the platform


class FakeRelays:
    """Stub of `Relays` that lists the other gateways."""

    def __init__(self, *addresses):
        self.addresses = list(addresses)
        self.asked = 0

    def gateway_addresses(self):
        self.asked += 1
        return self.addresses


def empty_gateway(harness):
    """Returns a gateway without configuration and endpoints."""
    fleet = harness.fleet._replace(replicas=ReplicaList(), loads=Loads())
    return Gateway(fleet, FakeRecords())


async def ask(gateway, *addresses):
    """Lets a gateway bootstrap from others; returns the relays it used."""
    relays = FakeRelays(*addresses)
    exchange = PeerBootstrap(gateway, relays)
    await exchange.run(0)
    await exchange.run(AFTER_PLATFORM_WAIT_S)
    return relays


@pytest.fixture
def run_scenario():
    """Runs a scenario with a running gateway that peers can ask."""

    def run(scenario):
        async def main():
            async with running_gateway(Endpoint(answered)) as running:
                exchange = PeerBootstrap(running.gateway, FakeRelays())
                address = Address('127.0.0.1', free_port())
                requests = PeerRequests(
                    running.gateway, address, exchange, None
                )
                server = MessageServer(requests.handle)
                await server.start(address)
                await scenario(running, address)
                server.stop()

        asyncio.run(main())

    return run


def test_configuration_and_endpoints_come_from_another_gateway(run_scenario):
    async def scenario(running, address):
        gateway = empty_gateway(running)
        await ask(gateway, address)
        assert gateway.table.cfg == running.gateway.table.cfg
        replicas = running.fleet.replicas.all()
        assert gateway.fleet.replicas.all() == replicas

    run_scenario(scenario)


# The stores tell a gateway that has just started of all ends that they know.
# An endpoint that has registered again since would not have been used.
@pytest.mark.parametrize(('version', 'is_used'), [(7, False), (8, True)])
def test_endpoints_of_another_gateway_keep_their_versions(
    run_scenario, version, is_used
):
    async def scenario(running, address):
        replica = running.fleet.replicas.all()[0]
        running.fleet.replicas.put(replica, version)
        gateway = empty_gateway(running)
        gateway.fleet.replicas.withdraw(Withdrawal(replica.endpoint_id, 7))
        await ask(gateway, address)
        found = gateway.fleet.replicas.usable(replica.service, 0)
        assert bool(found) is is_used

    run_scenario(scenario)


def test_unreachable_gateway_is_skipped(run_scenario):
    async def scenario(running, address):
        gateway = empty_gateway(running)
        silent = Address('127.0.0.1', free_port())
        await ask(gateway, silent, address)
        assert gateway.table is not None

    run_scenario(scenario)


def test_no_request_before_the_platform_wait_or_when_complete(
    run_scenario,
):
    async def scenario(running, address):
        relays = FakeRelays(address)
        exchange = PeerBootstrap(empty_gateway(running), relays)
        await exchange.run(0)
        await exchange.run(PLATFORM_WAIT_S / 2)
        assert not relays.asked
        assert not (await ask(running.gateway, address)).asked

    run_scenario(scenario)


@pytest.mark.parametrize('content', [b'', b'\xc1', b'\x93\x01\x02\x03'])
def test_unreadable_snapshot_is_ignored(run_scenario, content):
    async def scenario(running, address):
        async def reply_with_content(body):
            assert isinstance(body, AskBeliefs)
            return Beliefs(content)

        server = MessageServer(reply_with_content)
        peer_address = Address('127.0.0.1', free_port())
        await server.start(peer_address)
        gateway = empty_gateway(running)
        await ask(gateway, peer_address)
        server.stop()
        assert gateway.table is None
        assert not len(gateway.fleet.replicas)

    run_scenario(scenario)

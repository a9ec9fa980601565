"""A gateway that starts while the platform does not answer."""

import asyncio

import pytest

from cactusledge.gateway.beliefs import PLATFORM_FIRST_S, BeliefExchange
from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.loads import Loads
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.models import Address
from cactusledge.records.gateway_messages import AskBeliefs, Beliefs
from cactusledge.records.message_server import MessageServer
from tests.gateway_support import Endpoint, FakeRecords, answered, scene_of
from tests.records_support import free_port

PLATFORM_S = PLATFORM_FIRST_S + 0.1  # the platform had its time to tell


class Neighbourhood:
    """The other gateways, as `Relays` knows them."""

    def __init__(self, *addresses):
        self.addresses = list(addresses)
        self.asked = 0

    def neighbours(self):
        self.asked += 1
        return self.addresses


def newcomer(scene):
    """Returns a gateway that knows nothing yet."""
    fleet = scene.fleet._replace(replicas=ReplicaList(), loads=Loads())
    return Gateway(fleet, FakeRecords())


async def ask(gateway, *addresses):
    """Has a gateway ask others; returns what it knows of them."""
    known = Neighbourhood(*addresses)
    exchange = BeliefExchange(gateway, known)
    await exchange.run(0)
    await exchange.run(PLATFORM_S)
    return known


@pytest.fixture
def play():
    """Runs a scenario beside a gateway that serves and can be asked."""

    def run(scenario):
        async def scene():
            async with scene_of(Endpoint(answered)) as told:
                exchange = BeliefExchange(told.gateway, Neighbourhood())
                server = MessageServer(exchange.handle)
                address = Address('127.0.0.1', free_port())
                await server.start(address)
                await scenario(told, address)
                server.stop()

        asyncio.run(scene())

    return run


def test_configuration_and_endpoints_come_from_another_gateway(play):
    async def scenario(told, address):
        gateway = newcomer(told)
        await ask(gateway, address)
        assert gateway.table.cfg == told.gateway.table.cfg
        replicas = told.fleet.replicas.all()
        assert gateway.fleet.replicas.all() == replicas

    play(scenario)


def test_gateway_that_is_not_reached_is_passed_over(play):
    async def scenario(told, address):
        gateway = newcomer(told)
        silent = Address('127.0.0.1', free_port())
        await ask(gateway, silent, address)
        assert gateway.table is not None

    play(scenario)


def test_platform_has_its_time_first_and_one_that_serves_does_not_ask(play):
    async def scenario(told, address):
        known = Neighbourhood(address)
        exchange = BeliefExchange(newcomer(told), known)
        await exchange.run(0)
        await exchange.run(PLATFORM_FIRST_S / 2)
        assert not known.asked
        assert not (await ask(told.gateway, address)).asked

    play(scenario)


@pytest.mark.parametrize('content', [b'', b'\xc1', b'\x93\x01\x02\x03'])
def test_unreadable_beliefs_change_nothing(play, content):
    async def scenario(told, address):
        async def tell(body):
            assert isinstance(body, AskBeliefs)
            return Beliefs(content)

        server = MessageServer(tell)
        strange = Address('127.0.0.1', free_port())
        await server.start(strange)
        gateway = newcomer(told)
        await ask(gateway, strange)
        server.stop()
        assert gateway.table is None
        assert not len(gateway.fleet.replicas)

    play(scenario)

"""Checks of connections between instances after a request had no reply.

The pattern: a change of the group makes a gateway's write fail everywhere, and
the gateway checks all its connections at once.
"""

import asyncio

import pytest

from cactusledge.models import Address
from cactusledge.records import peer as peer_module
from cactusledge.records.entries import EMPTY_GROUP
from cactusledge.records.message_server import MessageServer
from cactusledge.records.messages import Ask, Status
from cactusledge.records.peer import (
    CHECK_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    Peer,
    call_once,
)
from standins.ports import free_port

pytestmark = pytest.mark.process

CHECKS = 12
BETWEEN_CHECKS_S = HEARTBEAT_INTERVAL_S / 3
CONNECTED_WITHIN_S = 0.1
LONG_WAIT_S = 10.0


async def connect(port):
    """Returns a connected peer and the list of its lost connections."""
    peer = Peer('store', Address('127.0.0.1', port))
    lost = []
    peer.on_lost = lost.append
    peer.start()
    await asyncio.sleep(CONNECTED_WITHIN_S)
    assert peer.is_connected
    return peer, lost


async def check_often(peer):
    """Checks at several moments between two heartbeats."""
    for _ in range(CHECKS):
        peer.check()
        await asyncio.sleep(BETWEEN_CHECKS_S)
    await asyncio.sleep(CHECK_TIMEOUT_S)


# A heartbeat between the reply and the end of a check made a healthy
# connection look silent: a gateway lost all stores and turns in flight.
@pytest.mark.parametrize('is_watched', [True, False])
def test_check_keeps_the_connection_to_a_peer_that_replies(is_watched):
    async def main():
        server = MessageServer(None)  # replies to pings only
        port = free_port()
        await server.start(Address('127.0.0.1', port))
        peer, lost = await connect(port)
        peer.is_watched = is_watched
        await check_often(peer)
        times_lost = len(lost)
        peer.stop()
        server.stop()
        return times_lost

    assert asyncio.run(main()) == 0


def test_check_ends_the_connection_to_a_peer_that_stays_silent():
    async def main():
        async def read_only(reader, _):
            await reader.read()

        server = await asyncio.start_server(read_only, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        peer, lost = await connect(port)
        peer.is_watched = False
        peer.check()
        await asyncio.sleep(CHECK_TIMEOUT_S + HEARTBEAT_INTERVAL_S)
        times_lost = len(lost)
        peer.stop()
        server.close()
        return times_lost

    assert asyncio.run(main()) == 1


# All instances start at once: a seed that is up is asked without a pause.
def test_all_start_at_once_and_a_seed_is_asked_once_its_connection_is_open(
    monkeypatch,
):
    async def reply(body):
        assert isinstance(body, Ask)
        return Status('s00', EMPTY_GROUP, True, 'log')

    async def main():
        server = MessageServer(reply)
        address = Address('127.0.0.1', free_port())
        await server.start(address)
        async with asyncio.timeout(LONG_WAIT_S / 2):
            status = await call_once(address, Ask(0), LONG_WAIT_S)
        server.stop()
        return status.name

    monkeypatch.setattr(peer_module, 'CONNECT_WAIT_S', LONG_WAIT_S)
    assert asyncio.run(main()) == 's00'


def test_all_start_at_once_and_a_seed_that_is_not_up_yet_is_no_connection():
    address = Address('127.0.0.1', free_port())
    with pytest.raises(ConnectionError):
        asyncio.run(call_once(address, Ask(0), LONG_WAIT_S))

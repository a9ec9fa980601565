"""Gateways that lose the stores while other gateways still reach them.

Guards against refused turns when some gateways of a data centre are cut off
from all stores for seconds, while the balancer still sends them requests.
"""

import asyncio

import pytest

from cactusledge.models import Address
from cactusledge.records import group_manager
from cactusledge.records.client import RecordClient
from cactusledge.records.entries import Member, Turn
from cactusledge.records.message_server import MessageServer
from cactusledge.records.peer import Peer
from cactusledge.records.quorum import Verdict
from cactusledge.records.relays import Relays
from standins.ports import free_port
from tests.records_support import cluster_of, turn_start, wait_until

pytestmark = pytest.mark.process


class GatewayNode:
    """The record client and relays of a gateway."""

    def __init__(self, name):
        self.client = RecordClient(name, 'dc')
        self.address = Address('127.0.0.1', free_port())
        member = Member(str(self.address), 'dc')
        self.relays = Relays(name, member, self.client.peers)
        self.server = MessageServer(self.relays.handle)
        self.task = None

    async def start(self, group):
        await self.server.start(self.address)
        self.client.adopt_group(group)
        await wait_until(lambda: self.client.has_quorum)
        self.task = asyncio.ensure_future(self.relays.run())

    def stop(self):
        self.task.cancel()
        self.server.stop()
        self.client.stop()

    def cut_off(self):
        """Closes all connections to the stores without reconnecting."""
        for name in self.client.peers.members:
            self.client.peers.direct(name).stop()


@pytest.fixture(autouse=True)
def _quick_start(monkeypatch):
    monkeypatch.setattr(group_manager, 'FORMATION_DELAY_S', 0.5)


def test_cut_off_gateway_serves_on_by_another(tmp_path, store):
    async def scene():
        async with cluster_of(3, tmp_path, store) as cluster:
            gateways = [GatewayNode('front-1'), GatewayNode('front-2')]
            for gateway in gateways:
                await gateway.start(cluster.group_at('store-0'))
            cut, other = gateways
            await wait_until(lambda: cut.relays.knows_other_gateways)
            cut.cut_off()
            await wait_until(lambda: not cut.client.peers.has_direct_quorum)
            await wait_until(lambda: cut.client.has_quorum)
            grant = await cut.client.begin(turn_start('t1'))
            assert grant.verdict is Verdict.GRANTED
            turn = Turn('t1', '', 'p', b'in', b'out', 5, 'engine-1', ())
            assert await cut.client.record(turn)
            found = await other.client.begin(turn_start('t2', 't1'))
            assert [turn.request for turn in found.chain] == [b'in']
            for gateway in gateways:
                gateway.stop()

    asyncio.run(scene())


def test_gateway_relays_only_by_its_own_connections(tmp_path, store):
    async def scene():
        async with cluster_of(3, tmp_path, store) as cluster:
            gateways = [GatewayNode('front-1'), GatewayNode('front-2')]
            for gateway in gateways:
                await gateway.start(cluster.group_at('store-0'))
            await wait_until(lambda: gateways[0].relays.knows_other_gateways)
            for gateway in gateways:
                gateway.cut_off()
            await asyncio.sleep(1)
            grant = await gateways[0].client.begin(turn_start('t1'))
            assert grant.verdict is Verdict.UNSURE
            for gateway in gateways:
                gateway.stop()

    asyncio.run(scene())


def test_connection_that_answers_nothing_is_given_up():
    async def scene():
        silent = await asyncio.start_server(
            lambda reader, writer: asyncio.sleep(60), '127.0.0.1', 0
        )
        host, port = silent.sockets[0].getsockname()
        peer = Peer('store-0', Address(host, port))
        peer.start()
        await wait_until(lambda: peer.is_connected)
        await wait_until(lambda: not peer.is_connected)
        peer.stop()
        silent.close()

    asyncio.run(scene())

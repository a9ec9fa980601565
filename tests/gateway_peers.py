"""Gateways under test that know of each other and answer each other."""

import asyncio
from contextlib import asynccontextmanager

from cactusledge.gateway.bootstrap import PeerBootstrap
from cactusledge.gateway.forward_peers import ForwardPeers
from cactusledge.gateway.peer_requests import PeerRequests
from cactusledge.gateway.reach_watch import ReachWatch
from cactusledge.models import Address
from cactusledge.records.entries import Member
from cactusledge.records.message_server import MessageServer
from standins.ports import free_port

LOOPBACK = '127.0.0.1'
STEP_S = 0.1


class StubDirectory:
    """The other gateways, as a store would name them."""

    def __init__(self, members):
        self._members = members

    def gateways_nearest_first(self):
        return list(self._members.items())


class PeerEnd:
    """What a gateway needs to know of others and to answer them."""

    def __init__(self, harness):
        fleet = harness.fleet
        self.name = harness.name
        self.address = Address(LOOPBACK, free_port())
        self._harness = harness
        self._watch = ReachWatch(fleet)
        bootstrap = PeerBootstrap(harness.gateway, StubDirectory({}))
        self._requests = PeerRequests(
            harness.gateway, Address(LOOPBACK, harness.port), bootstrap, None
        )
        self.server = MessageServer(self._requests.handle)
        self._tasks = []

    async def start(self, ends):
        """Starts to answer, and to know of the other ones."""
        await self.server.start(self.address)
        members = {
            end.name: Member(str(end.address), 'dc-a')
            for end in ends
            if end is not self
        }
        fleet = self._harness.fleet
        peers = ForwardPeers(fleet.reach, StubDirectory(members), 'dc-a')
        fleet.forwarder.targets = peers
        self._tasks = [
            asyncio.ensure_future(peers.run()),
            asyncio.ensure_future(self._keep_watching()),
        ]

    def stop(self):
        """Ends both."""
        self.server.stop()
        for task in self._tasks:
            task.cancel()
        self._harness.fleet.forwarder.targets.stop()
        self._harness.fleet.forwarder.close()

    async def _keep_watching(self):
        while True:
            await self._watch.step()
            await asyncio.sleep(STEP_S)


@asynccontextmanager
async def introduced(harnesses):
    """Lets gateways know of each other."""
    ends = [PeerEnd(harness) for harness in harnesses]
    for end in ends:
        await end.start(ends)
    try:
        yield
    finally:
        for end in ends:
            end.stop()

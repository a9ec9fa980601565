"""Tells the stores this gateway's load and learns the others'."""

import asyncio
import contextlib
from collections.abc import Callable, Mapping

from cactusledge.records.gateway_messages import LoadReport, LoadSums
from cactusledge.records.messages import Body
from cactusledge.records.peers import GroupPeers
from cactusledge.records.transport import Peer

STEP_S = 0.25
MEMBERS_A_STEP = 4  # a larger group is told less often
TIMEOUT_S = 0.2

Loads = Mapping[str, int]  # requests under way by endpoint id


class LoadExchange:
    """Sends reports to all stores; takes the nearest one's answer."""

    def __init__(
        self,
        name: str,
        peers: GroupPeers,
        own: Callable[[], dict[str, int]],
        take: Callable[[Loads], None],
    ) -> None:
        """Keeps where the loads come from and go to."""
        self._name = name
        self._peers = peers
        self._own = own
        self._take = take

    async def run(self) -> None:
        """Exchanges loads until it is cancelled."""
        while True:
            await self._exchange()
            steps = max(1, len(self._peers.group.members) / MEMBERS_A_STEP)
            await asyncio.sleep(STEP_S * steps)

    async def _exchange(self) -> None:
        report = LoadReport(self._name, self._own())
        links = [
            link for link in self._peers.nearest_first() if link.is_connected
        ]
        if not links:
            return
        for link in links[1:]:
            sent = link.send(*Peer.prepare(report))
            sent.add_done_callback(_ignore)
        with contextlib.suppress(ConnectionError, TimeoutError):
            reply = await links[0].call(report, TIMEOUT_S)
            if isinstance(reply, LoadSums):
                self._take(reply.in_flight)


def _ignore(sent: 'asyncio.Future[Body]') -> None:
    """Takes the outcome of a report whose answer is not needed."""
    if not sent.cancelled():
        sent.exception()

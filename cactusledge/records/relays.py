"""Relays requests for gateways that are cut off from the stores."""

import asyncio
import contextlib

import structlog

from cactusledge.models import Address
from cactusledge.records import messages
from cactusledge.records.entries import ENCODER, Member
from cactusledge.records.gateway_messages import (
    AskReach,
    Hello,
    Neighbours,
    Reach,
    Relay,
    Relayed,
)
from cactusledge.records.peer import Peer
from cactusledge.records.peers import address_of
from cactusledge.records.store_peers import StorePeers

CHECK_INTERVAL_S = 0.25
HELLO_INTERVAL_STEPS = 12  # check intervals between two hellos
CALL_TIMEOUT_S = 0.5
RELAY_TIMEOUT_S = 1.0
MAX_CANDIDATES = 3  # gateways connected to at the same time

log = structlog.get_logger('records')


class Relays:
    """Forwards other gateways' requests, and finds a relay for this one."""

    def __init__(self, name: str, member: Member, peers: StorePeers) -> None:
        """Prepares the relays; `run` starts the search for one."""
        self._name = name
        self._member = member
        self._peers = peers
        self._gateways: dict[str, Member] = {}
        self._candidates: dict[str, Peer] = {}

    @property
    def knows_other_gateways(self) -> bool:
        """Whether any other gateway is known."""
        return bool(self._gateways)

    def gateway_addresses(self) -> list[Address]:
        """Returns the other gateways, those of this data centre first."""
        return [
            address_of(member) for _, member in self.gateways_nearest_first()
        ]

    def gateways_nearest_first(self) -> list[tuple[str, Member]]:
        """Returns the other gateways, those of this data centre first."""
        return [(name, self._gateways[name]) for name in self._nearest_first()]

    async def handle(self, body: messages.Body) -> messages.Body:
        """Returns the reply to another gateway's request."""
        if isinstance(body, AskReach):
            return Reach(sorted(self._peers.direct_names()))
        if isinstance(body, Relay):
            return await self._forward(body)
        return messages.Failed(f'{type(body).__name__} is not for a gateway')

    async def run(self) -> None:
        """Registers with the stores; finds a relay while the quorum is lost."""
        step = 0
        while True:
            if not step % HELLO_INTERVAL_STEPS or not self._gateways:
                await self._send_hello()
            if self._peers.has_direct_quorum:
                self._close_candidates()
            else:
                await self._find_relay()
            step += 1
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _forward(self, relay: Relay) -> messages.Body:
        """Forwards a request, only over a direct connection.

        So a request is never relayed more than once.
        """
        request = messages.ENVELOPE_DECODER.decode(relay.request)
        peer = self._peers.direct(relay.target)
        if peer is None or not peer.is_connected:
            return messages.Failed(
                f'{relay.target} can not be reached from here'
            )
        reply = await peer.call(request.body, RELAY_TIMEOUT_S)
        return Relayed(ENCODER.encode(messages.Envelope(request.number, reply)))

    async def _send_hello(self) -> None:
        hello = Hello(self._name, self._member)
        for peer in self._peers.registries():
            with contextlib.suppress(ConnectionError, TimeoutError):
                reply = await peer.call(hello, CALL_TIMEOUT_S)
                if isinstance(reply, Neighbours):
                    self._gateways.update(reply.gateways)

    async def _find_relay(self) -> None:
        """Uses the gateway that is connected to the most stores."""
        self._connect_candidates()
        best: tuple[int, Peer, frozenset[str]] | None = None
        for peer in tuple(self._candidates.values()):
            names = await self._reachable_stores(peer)
            if names and (best is None or len(names) > best[0]):
                best = (len(names), peer, names)
        if best is None:
            self._peers.relay_route.use(None, frozenset())
            return
        if self._peers.relay_route.use(best[1], best[2]):
            log.info(
                'records: connected to stores through a relay', by=best[1].name
            )

    async def _reachable_stores(self, peer: Peer) -> frozenset[str]:
        try:
            reply = await peer.call(AskReach(), CALL_TIMEOUT_S)
        except (ConnectionError, TimeoutError):
            return frozenset()
        return frozenset(reply.names if isinstance(reply, Reach) else ())

    def _connect_candidates(self) -> None:
        """Connects to candidates, those of other data centres last."""
        self._drop_unreachable()
        for name in self._nearest_first():
            if len(self._candidates) >= MAX_CANDIDATES:
                return
            if name not in self._candidates:
                peer = Peer(name, address_of(self._gateways[name]))
                peer.start()
                self._candidates[name] = peer

    def _nearest_first(self) -> list[str]:
        return sorted(
            self._gateways,
            key=lambda name: (
                self._gateways[name].data_centre != self._member.data_centre,
                name,
            ),
        )

    def _drop_unreachable(self) -> None:
        """Drops unreachable candidates, to make room for other gateways."""
        for name, peer in tuple(self._candidates.items()):
            if peer.is_unreachable:
                peer.stop()
                self._candidates.pop(name)
                self._gateways.pop(name, None)

    def _close_candidates(self) -> None:
        if self._candidates:
            self._peers.relay_route.use(None, frozenset())
            for peer in self._candidates.values():
                peer.stop()
            self._candidates.clear()

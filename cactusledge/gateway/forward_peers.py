"""Finds other gateways that reach the endpoints, while this one does not."""

import asyncio
import random
from collections.abc import Collection
from typing import NamedTuple, Protocol

import structlog

from cactusledge.gateway.clock import next_tick
from cactusledge.gateway.reach import EndpointReach
from cactusledge.models import Address
from cactusledge.records.entries import Member
from cactusledge.records.gateway_messages import AskEndpoints, EndpointsInReach
from cactusledge.records.peer import Peer
from cactusledge.records.peers import address_of

MAX_PEERS = 6  # gateways connected to at the same time
ASK_INTERVAL_S = 0.1
ASK_TIMEOUT_S = 0.3
REPLY_TTL_S = 1.0
DRAWN = 2  # of which the less loaded one is used
KEEP_S = 5.0  # connections, since the links were last tested

log = structlog.get_logger('gateway')


class Directory(Protocol):
    """Knows the other gateways."""

    def gateways_nearest_first(self) -> list[tuple[str, Member]]:
        """Returns names and peer addresses, this data centre's first."""


class ForwardPeer(NamedTuple):
    """A gateway that reaches the endpoints."""

    name: str
    callers: Address  # at which it takes requests
    is_local: bool  # in this data centre
    in_flight: int  # requests that it serves


class ForwardTargets(Protocol):
    """Knows gateways that reach the endpoints."""

    def choose(self, excluded: Collection[str]) -> ForwardPeer | None:
        """Returns one that is not excluded by name, None without one."""


class NoTargets:
    """The targets of a gateway that knows no other one."""

    def choose(self, excluded: Collection[str]) -> ForwardPeer | None:
        """Returns none."""


class _Answer(NamedTuple):
    """What a gateway last said, and when."""

    peer: ForwardPeer
    at_s: float


class ForwardPeers:
    """The gateways to which requests can be forwarded."""

    def __init__(
        self, reach: EndpointReach, directory: Directory, data_centre: str
    ) -> None:
        """Starts without connections."""
        self._reach = reach
        self._directory = directory
        self._data_centre = data_centre
        self._peers: dict[str, tuple[Peer, Member]] = {}
        self._answers: dict[str, _Answer] = {}
        self._dropped: set[str] = set()  # names; they are tried last

    async def run(self) -> None:
        """Asks other gateways while they are needed."""
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() - self._reach.doubted_s < KEEP_S:
                self._connect()
                await asyncio.gather(*(map(self._ask, tuple(self._peers))))
            else:
                self.stop()
            await next_tick(ASK_INTERVAL_S)

    def choose(self, excluded: Collection[str]) -> ForwardPeer | None:
        """Returns a gateway that reaches the endpoints, None without one.

        Of two drawn at random the less loaded one, in this data centre if
        possible.
        """
        now_s = asyncio.get_running_loop().time()
        usable = [
            answer.peer
            for name, answer in self._answers.items()
            if name not in excluded and now_s - answer.at_s < REPLY_TTL_S
        ]
        local = [peer for peer in usable if peer.is_local]
        drawn = local or usable
        drawn = random.sample(drawn, min(DRAWN, len(drawn)))
        return min(drawn, key=lambda peer: peer.in_flight, default=None)

    def stop(self) -> None:
        """Closes all connections."""
        for peer, _ in self._peers.values():
            peer.stop()
        self._peers.clear()
        self._answers.clear()
        self._dropped.clear()

    def _connect(self) -> None:
        """Connects to gateways; unreachable ones make room for others."""
        for name, (peer, _) in tuple(self._peers.items()):
            if peer.is_unreachable:
                self._drop(name)
        others = [
            found
            for found in self._directory.gateways_nearest_first()
            if found[0] not in self._peers
        ]
        others.sort(key=lambda found: found[0] in self._dropped)
        for other, member in others[: MAX_PEERS - len(self._peers)]:
            self._peers[other] = (open_peer(other, member), member)

    def _drop(self, name: str) -> None:
        peer, _ = self._peers.pop(name)
        peer.stop()
        self._answers.pop(name, None)
        self._dropped.add(name)

    async def _ask(self, name: str) -> None:
        peer, member = self._peers[name]
        try:
            reply = await peer.call(AskEndpoints(), ASK_TIMEOUT_S)
        except (ConnectionError, TimeoutError):
            return
        if not isinstance(reply, EndpointsInReach) or not reply.is_in_reach:
            self._answers.pop(name, None)
            return
        found = ForwardPeer(
            name,
            address_of(Member(reply.callers, member.data_centre)),
            member.data_centre == self._data_centre,
            reply.in_flight,
        )
        now_s = asyncio.get_running_loop().time()
        self._answers[name] = _Answer(found, now_s)


def open_peer(name: str, member: Member) -> Peer:
    """Returns a peer that has begun to connect."""
    peer = Peer(name, address_of(member))
    peer.start()
    return peer

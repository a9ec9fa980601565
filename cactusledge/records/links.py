"""Links to a store: a direct connection, or a relay through a gateway."""

import asyncio
from typing import Protocol

import msgspec

from cactusledge.records.frames import LENGTH
from cactusledge.records.gateway_messages import Relay, Relayed
from cactusledge.records.messages import ENVELOPE_DECODER, Body
from cactusledge.records.peer import Peer


class Link(Protocol):
    """A link to one store."""

    name: str

    @property
    def is_connected(self) -> bool:
        """Whether the link is open, as far as is known."""

    def send(self, number: int, content: bytes) -> 'asyncio.Future[Body]':
        """Sends a prepared request; the future fails if the link is lost."""

    async def call(self, body: Body, timeout_s: float) -> Body:
        """Returns the reply; raises ConnectionError or TimeoutError."""


class RelayedLink:
    """A link to a store through another gateway."""

    def __init__(self, name: str, relay: Peer) -> None:
        """Keeps the connection to the gateway."""
        self.name = name
        self._relay = relay

    @property
    def is_connected(self) -> bool:
        """Whether the connection to the gateway is open."""
        return self._relay.is_connected

    def send(self, number: int, content: bytes) -> 'asyncio.Future[Body]':
        """Sends a prepared request through the gateway."""
        request = Relay(self.name, content[LENGTH.size :])
        sent = self._relay.send(*Peer.prepare(request))
        fut: asyncio.Future[Body] = asyncio.get_running_loop().create_future()
        sent.add_done_callback(lambda done: unwrap(done, fut))
        return fut

    async def call(self, body: Body, timeout_s: float) -> Body:
        """Returns the reply; raises ConnectionError or TimeoutError."""
        async with asyncio.timeout(timeout_s):
            return await self.send(*Peer.prepare(body))


class RelayRoute:
    """The gateway that relays for lost connections, if there is one."""

    def __init__(self) -> None:
        """Starts without a gateway."""
        self._relay: Peer | None = None
        self._names: frozenset[str] = frozenset()  # stores it is connected to

    def use(self, relay: Peer | None, names: frozenset[str]) -> bool:
        """Sets the gateway and its stores; returns whether it has changed.

        Setting None is not a change.
        """
        is_new = relay is not None and relay is not self._relay
        self._relay = relay
        self._names = names
        return is_new

    def link(self, peer: Peer) -> Link:
        """Returns the peer, or a relayed link if its connection is lost."""
        relay = self._relay
        if peer.is_connected or relay is None or peer.name not in self._names:
            return peer
        return RelayedLink(peer.name, relay)


def unwrap(done: 'asyncio.Future[Body]', fut: 'asyncio.Future[Body]') -> None:
    """Completes a relayed request from the gateway's reply."""
    if fut.done():
        return
    if done.cancelled() or done.exception() is not None:
        fut.set_exception(
            ConnectionError('connection to the relaying gateway lost')
        )
        return
    reply = done.result()
    if not isinstance(reply, Relayed):
        fut.set_exception(ConnectionError(f'request not relayed: {reply}'))
        return
    try:
        fut.set_result(ENVELOPE_DECODER.decode(reply.reply).body)
    except msgspec.MsgspecError:
        fut.set_exception(ConnectionError('relayed reply cannot be decoded'))

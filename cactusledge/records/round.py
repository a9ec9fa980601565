"""One round of a request to the members of a group."""

import asyncio
from collections.abc import Iterable
from typing import Generic, TypeVar

from cactusledge.records.messages import Body, StaleGroup
from cactusledge.records.transport import Peer

FULL_HOUSE_WAIT_S = 0.006  # for the last replies, once a quorum has answered

ReplyType = TypeVar('ReplyType')


class Round(Generic[ReplyType]):
    """Collects replies until all are in, or a quorum and a short wait.

    `replies` holds those of the type wanted; `stale` is the newest group that
    a member told instead.
    """

    def __init__(self, wanted: type[ReplyType], needed: int) -> None:
        """Prepares a round that needs so many replies."""
        self.replies: dict[str, ReplyType] = {}
        self.stale: StaleGroup | None = None
        self._wanted = wanted
        self._needed = needed
        self._open = 0
        self._settled: asyncio.Future[None] | None = None

    @property
    def has_quorum(self) -> bool:
        """Whether enough members have answered."""
        return len(self.replies) >= self._needed

    async def run(
        self,
        peers: Iterable[Peer],
        body: Body,
        timeout_s: float,
        wait_s: float = FULL_HOUSE_WAIT_S,
    ) -> None:
        """Sends the request to the peers and collects their replies."""
        loop = asyncio.get_running_loop()
        settled = loop.create_future()
        self._settled = settled
        number, content = Peer.prepare(body)
        targets = tuple(peers)
        self._open = len(targets)
        self._wait_s = wait_s
        for peer in targets:
            self._send(peer, number, content)
        limit = loop.call_later(timeout_s, self._settle)
        try:
            await settled
        finally:
            limit.cancel()

    def _send(self, peer: Peer, number: int, content: bytes) -> None:
        fut = peer.send(number, content)
        name = peer.name
        fut.add_done_callback(lambda done: self._take(name, done))

    def _take(self, name: str, fut: asyncio.Future[Body]) -> None:
        self._open -= 1
        if not fut.cancelled() and fut.exception() is None:
            self._sort(name, fut.result())
        if not self._open:
            self._settle()
        elif len(self.replies) == self._needed:
            asyncio.get_running_loop().call_later(self._wait_s, self._settle)

    def _sort(self, name: str, reply: Body) -> None:
        if isinstance(reply, self._wanted):
            self.replies[name] = reply
        elif isinstance(reply, StaleGroup):
            self.stale = reply

    def _settle(self) -> None:
        if self._settled is not None and not self._settled.done():
            self._settled.set_result(None)

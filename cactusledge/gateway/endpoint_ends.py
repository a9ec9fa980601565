"""Decides which endpoints ended while they ran requests; pure.

A connection that breaks shows little: it may have been reset alone, the
endpoint may be leaving, or the links of this gateway may be lost. An endpoint
has ended if its connections broke, its address then refuses new ones, and other
endpoints are still reached; or if the list names a later lifetime of it.
"""

import asyncio
import enum
from collections.abc import Callable
from typing import NamedTuple

from cactusledge.gateway.messages import Lifetime, Replica
from cactusledge.gateway.reach import EndpointReach
from cactusledge.records.gateway_messages import RequestKeys

DOUBT_TTL_S = 8.0  # since a connection broke; lists are updated within it
MAX_RUNS = 1024  # requests kept of one endpoint


class EndSign(enum.StrEnum):
    """What shows that an endpoint has ended."""

    REFUSED = 'refused'  # its address refuses connections
    RESTARTED = 'restarted'  # the list names a later lifetime


class EndedEndpoint(NamedTuple):
    """A lifetime of an endpoint that ended without having left."""

    replica: Replica
    running: tuple[RequestKeys, ...]  # requests whose connections broke
    at_s: float  # when the first connection broke
    sign: EndSign


class _Doubt:
    """Connections of one lifetime that broke."""

    def __init__(self, replica: Replica, now_s: float) -> None:
        """Starts with the first one."""
        self.replica = replica
        self.first_s = now_s
        self.sign: EndSign | None = None  # None until it is known to have ended
        self.judged = asyncio.Event()  # all that ran there has been told
        self.running: list[RequestKeys] = []


class EndpointEnds:
    """Lifetimes of endpoints whose connections broke a short time ago."""

    def __init__(self, reach: EndpointReach) -> None:
        """Stores what tells a lost endpoint from lost links."""
        self.doubted = asyncio.Event()  # set while there are doubts
        self._reach = reach
        self._doubts: dict[Lifetime, _Doubt] = {}

    def add_broken(
        self, replica: Replica, keys: RequestKeys, now_s: float
    ) -> None:
        """Adds a request whose connection broke before its answer's end."""
        doubt = self._doubts.get(replica.lifetime)
        if doubt is None:
            doubt = _Doubt(replica, now_s)
            self._doubts[replica.lifetime] = doubt
            self.doubted.set()
        if len(doubt.running) < MAX_RUNS:
            doubt.running.append(keys)
            doubt.judged.clear()

    async def wait_judged(self, replica: Replica) -> None:
        """Waits until it is known whether an endpoint has ended."""
        doubt = self._doubts.get(replica.lifetime)
        if doubt is not None:
            await doubt.judged.wait()

    def to_test(self) -> list[Replica]:
        """Returns the endpoints whose addresses would tell more."""
        return [
            doubt.replica
            for doubt in self._doubts.values()
            if doubt.sign is None and not self._is_answered(doubt)
        ]

    def needs_other(self) -> list[str]:
        """Returns ids of endpoints that refuse while no other is reached."""
        return [
            doubt.replica.endpoint_id
            for doubt in self._doubts.values()
            if doubt.sign is None
            and self._is_refused(doubt)
            and not self._is_linked(doubt)
        ]

    def take_ended(
        self, find: Callable[[str], Replica | None], now_s: float
    ) -> list[EndedEndpoint]:
        """Returns ended endpoints, each request that ran there once.

        Args:
            find: Returns the list's entry of an endpoint id.
            now_s: The loop's clock.
        """
        ended: list[EndedEndpoint] = []
        for doubt in self._doubts.values():
            doubt.sign = doubt.sign or self._sign_of(doubt, find)
            if doubt.sign is not None and doubt.running:
                ended.append(
                    EndedEndpoint(
                        doubt.replica,
                        tuple(doubt.running),
                        doubt.first_s,
                        doubt.sign,
                    )
                )
                doubt.running.clear()
            if doubt.sign is not None or self._is_connected(doubt):
                doubt.judged.set()
        self._drop_old(now_s)
        return ended

    def _drop_old(self, now_s: float) -> None:
        for lifetime, doubt in tuple(self._doubts.items()):
            if now_s - doubt.first_s >= DOUBT_TTL_S:
                self._doubts.pop(lifetime)
                doubt.judged.set()
        if not self._doubts:
            self.doubted.clear()

    def _sign_of(
        self, doubt: _Doubt, find: Callable[[str], Replica | None]
    ) -> EndSign | None:
        listed = find(doubt.replica.endpoint_id)
        if listed is not None and listed.born_ms > doubt.replica.born_ms:
            return EndSign.RESTARTED
        is_gone = self._is_refused(doubt) and not self._is_connected(doubt)
        return EndSign.REFUSED if is_gone and self._is_linked(doubt) else None

    def _is_answered(self, doubt: _Doubt) -> bool:
        return self._is_refused(doubt) or self._is_connected(doubt)

    def _is_refused(self, doubt: _Doubt) -> bool:
        refused_s = self._reach.refused_s(doubt.replica.endpoint_id)
        return refused_s >= doubt.first_s

    def _is_connected(self, doubt: _Doubt) -> bool:
        """Returns whether it takes connections, so has not ended or is back."""
        connected_s = self._reach.connected_s(doubt.replica.endpoint_id)
        return connected_s > doubt.first_s

    def _is_linked(self, doubt: _Doubt) -> bool:
        """Returns whether the links of this gateway are sound."""
        return self._reach.has_reached_other(
            doubt.replica.endpoint_id, doubt.first_s
        )

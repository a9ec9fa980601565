"""Tells the stores this gateway's load and learns the others'."""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Protocol

import structlog

from cactusledge.records.gateway_messages import (
    LoadReport,
    LoadSums,
    ReadPart,
)
from cactusledge.records.links import Link
from cactusledge.records.peers import GroupPeers
from cactusledge.records.read_parts import ListPosition

EXCHANGE_INTERVAL_S = 0.1
INTERVAL_PER_ENDPOINT_S = 0.003  # bounds the bytes sent per second
EXCHANGE_TIMEOUT_S = 0.2

log = structlog.get_logger('records')


class LoadTracker(Protocol):
    """What a gateway knows of the endpoints."""

    def own_loads(self) -> dict[str, int]:
        """Returns the requests under way from here, by endpoint id."""

    def set_remote_loads(self, sums: Mapping[str, int]) -> None:
        """Takes the sums of what the other instances have under way."""

    def drain_read_parts(self) -> list[ReadPart]:
        """Returns the shared parts read since the last call."""

    def requeue_read_parts(self, read: Iterable[ReadPart]) -> None:
        """Takes back parts that could not be told."""

    def add_read_parts(self, read: Iterable[ReadPart]) -> None:
        """Takes what endpoints have read for other instances."""


class LoadExchange:
    """Reports to the nearest store, which tells the others."""

    def __init__(
        self,
        name: str,
        peers: GroupPeers,
        tracker: LoadTracker,
    ) -> None:
        """Keeps where the loads come from and go to."""
        self._name = name
        self._peers = peers
        self._tracker = tracker
        self._positions: dict[str, ListPosition] = {}  # by store
        self._interval_s = EXCHANGE_INTERVAL_S

    async def run(self) -> None:
        """Exchanges loads until it is cancelled."""
        while True:
            await self._exchange()
            await asyncio.sleep(self._interval_s)

    async def _exchange(self) -> None:
        nearest = next(iter(self._peers.nearest_first()), None)
        if nearest is None or not nearest.is_connected:
            return
        read = self._tracker.drain_read_parts()
        list_position = self._positions.get(nearest.name, ListPosition())
        report = LoadReport(
            self._name, self._tracker.own_loads(), read, *list_position
        )
        try:
            await self._ask(nearest, report)
        except (ConnectionError, TimeoutError) as exc:
            log.debug(
                'records: loads not told', store=nearest.name, error=repr(exc)
            )
            self._tracker.requeue_read_parts(read)

    async def _ask(self, link: Link, report: LoadReport) -> None:
        """Learns the others' loads and the news; raises as a call does."""
        reply = await link.call(report, EXCHANGE_TIMEOUT_S)
        if isinstance(reply, LoadSums):
            self._positions[link.name] = ListPosition(
                reply.epoch, reply.position
            )
            self._tracker.set_remote_loads(reply.in_flight)
            self._tracker.add_read_parts(reply.read)
            self._interval_s = max(
                EXCHANGE_INTERVAL_S,
                len(reply.in_flight) * INTERVAL_PER_ENDPOINT_S,
            )

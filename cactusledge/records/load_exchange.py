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
from cactusledge.records.read_parts import Place

STEP_S = 0.1
ENTRY_S = 0.003  # added for an endpoint, so that the bytes a second stay few
TIMEOUT_S = 0.2

log = structlog.get_logger('records')


class LoadBook(Protocol):
    """What a gateway knows of the endpoints."""

    def own(self) -> dict[str, int]:
        """Returns the requests under way from here, by endpoint id."""

    def take_others(self, sums: Mapping[str, int]) -> None:
        """Takes the sums of what the other instances have under way."""

    def take_news(self) -> list[ReadPart]:
        """Returns the shared parts read since the last call."""

    def give_back(self, read: Iterable[ReadPart]) -> None:
        """Takes back parts that could not be told."""

    def learn(self, read: Iterable[ReadPart]) -> None:
        """Takes what endpoints have read for other instances."""


class LoadExchange:
    """Reports to the nearest store, which tells the others."""

    def __init__(
        self,
        name: str,
        peers: GroupPeers,
        book: LoadBook,
    ) -> None:
        """Keeps where the loads come from and go to."""
        self._name = name
        self._peers = peers
        self._book = book
        self._places: dict[str, Place] = {}  # by store
        self._pause_s = STEP_S

    async def run(self) -> None:
        """Exchanges loads until it is cancelled."""
        while True:
            await self._exchange()
            await asyncio.sleep(self._pause_s)

    async def _exchange(self) -> None:
        nearest = next(iter(self._peers.nearest_first()), None)
        if nearest is None or not nearest.is_connected:
            return
        read = self._book.take_news()
        place = self._places.get(nearest.name, Place())
        report = LoadReport(self._name, self._book.own(), read, *place)
        try:
            await self._ask(nearest, report)
        except (ConnectionError, TimeoutError) as exc:
            log.debug(
                'records: loads not told', store=nearest.name, error=repr(exc)
            )
            self._book.give_back(read)  # for the next store to hear

    async def _ask(self, link: Link, report: LoadReport) -> None:
        """Learns the others' loads and the news; raises as a call does."""
        reply = await link.call(report, TIMEOUT_S)
        if isinstance(reply, LoadSums):
            self._places[link.name] = Place(reply.epoch, reply.position)
            self._book.take_others(reply.in_flight)
            self._book.learn(reply.read)
            self._pause_s = max(STEP_S, len(reply.in_flight) * ENTRY_S)

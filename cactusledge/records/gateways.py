"""What a store knows of the gateways: where they are and their loads.

Soft state: it only makes placement better, and is gone with the process.
"""

import time
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from cactusledge.records.entries import Member
from cactusledge.records.gateway_messages import (
    Hello,
    LoadReport,
    LoadSums,
    Neighbours,
    ReadNews,
    ReadPart,
    ShareLoads,
)
from cactusledge.records.read_parts import Place, ReadParts

GATEWAY_KEPT_S = 10.0  # since a gateway was last heard of
LOAD_KEPT_S = 1.5  # since a gateway last told its load


class _Heard(NamedTuple):
    """A gateway's load and when it was told."""

    in_flight: dict[str, int]
    at_s: float


class Gateways:
    """The gateways that have been heard of."""

    def __init__(self) -> None:
        """Starts without any."""
        self._known: dict[str, tuple[Member, float]] = {}
        self._loads: dict[str, _Heard] = {}  # by gateway
        self._shared: dict[str, _Heard] = {}  # by the store that told them
        self._read_parts = ReadParts()

    async def greet(self, hello: Hello) -> Neighbours:
        """Notes a gateway; returns the others."""
        now_s = time.monotonic()
        self._known[hello.name] = (hello.gateway, now_s)
        return Neighbours({
            name: gateway
            for name, (gateway, heard_s) in self._known.items()
            if name != hello.name and now_s - heard_s < GATEWAY_KEPT_S
        })

    async def report(self, report: LoadReport) -> LoadSums:
        """Notes a gateway's load; returns the others' sums and news."""
        now_s = time.monotonic()
        self._loads[report.name] = _Heard(report.in_flight, now_s)
        others = [*self._loads.items(), *self._shared.items()]
        sums = sum_loads(
            (heard for name, heard in others if name != report.name), now_s
        )
        self._read_parts.add(report.read)
        news = self._read_parts.since(Place(report.epoch, report.position))
        return LoadSums(sums, news.parts, *news.place)

    async def share(self, request: ShareLoads) -> ReadNews:
        """Notes the loads of another store's gateways; returns news."""
        heard = _Heard(request.in_flight, time.monotonic())
        self._shared[request.name] = heard
        news = self._read_parts.since(Place(request.epoch, request.position))
        return ReadNews(news.parts, *news.place)

    def own_sums(self) -> dict[str, int]:
        """Returns what the gateways that report here have under way."""
        return sum_loads(self._loads.values(), time.monotonic())

    def learn(self, read: Iterable[ReadPart]) -> None:
        """Takes another store's news."""
        self._read_parts.add(read)


def sum_loads(loads: Iterable[_Heard], now_s: float) -> dict[str, int]:
    """Returns the sums by endpoint of loads that are not too old."""
    sums: Counter[str] = Counter()
    for heard in loads:
        if now_s - heard.at_s < LOAD_KEPT_S:
            sums.update(heard.in_flight)
    return dict(sums)

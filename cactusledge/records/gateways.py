"""What a store knows of the gateways: where they are and their loads.

Soft state: it only makes placement better, and is gone with the process.
"""

import time
from collections import Counter
from typing import NamedTuple

from cactusledge.records.entries import Member
from cactusledge.records.gateway_messages import (
    Hello,
    LoadReport,
    LoadSums,
    Neighbours,
)

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
        self._loads: dict[str, _Heard] = {}

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
        """Notes a gateway's load; returns the sums of the others'."""
        now_s = time.monotonic()
        self._loads[report.name] = _Heard(report.in_flight, now_s)
        sums: Counter[str] = Counter()
        for name, heard in self._loads.items():
            if name != report.name and now_s - heard.at_s < LOAD_KEPT_S:
                sums.update(heard.in_flight)
        return LoadSums(dict(sums))

"""Decides for each request whether it leaves the gateway's data centre."""

import random
import zlib
from collections.abc import Sequence
from typing import NamedTuple

from cactusledge.gateway.cross_plan import Price, leaving_cost_ms
from cactusledge.gateway.cross_report import CrossReport
from cactusledge.gateway.cross_rooms import (
    Surroundings,
    in_data_centre,
    rooms_of,
)
from cactusledge.gateway.cross_shares import CrossShares, Shares
from cactusledge.gateway.messages import Replica
from cactusledge.telemetry.metrics import Metrics

CROSS_LATENCY_MS = 5.0  # of a request to another data centre and its answer
EXPECTED_ANSWER_BYTES = 2048
INITIAL_REQUEST_BYTES = 16384
SIZE_WEIGHT = 0.05  # of the newest request in the moving average of sizes
HASH_RANGE = 0x100000000  # of a CRC-32

HAS_SPARE = 'spare'  # reason: home has too little room, another one has some
NO_ENDPOINTS = 'no endpoints'  # reason: at home
BY_COST = 'cost'  # reason: the endpoint with the lowest cost
RETRIED = 'retry'  # reason: an attempt failed


class Way(NamedTuple):
    """Where a request goes; without a data centre, wherever it costs least."""

    data_centre: str = ''
    cost_ms: float | None = None  # of leaving home; None: as without shares
    reason: str = BY_COST

    def narrow(
        self, candidates: Sequence[Replica], history_id: str = ''
    ) -> list[Replica]:
        """Returns the endpoints to choose from.

        Args:
            candidates: The endpoints that can take the request.
            history_id: The endpoint that has read the request's history.
        """
        if not self.data_centre:
            return list(candidates)
        return in_data_centre(candidates, self.data_centre, history_id)


ANY_WAY = Way()
ANOTHER_WAY = Way(reason=RETRIED)


class Sent(NamedTuple):
    """What the way of a request depends on."""

    service: str
    program_id: str  # '' for a request on its own
    size_bytes: int  # of what is sent to the endpoint
    work_units: float  # that a request of the service usually is


class _Service:
    """One service as this gateway sees it."""

    def __init__(self) -> None:
        self.shares = CrossShares()
        self.size_bytes = float(INITIAL_REQUEST_BYTES)  # moving average

    def add_size(self, size_bytes: int) -> None:
        self.size_bytes += SIZE_WEIGHT * (size_bytes - self.size_bytes)


class CostTraffic:
    """Requests leave the data centre only where that costs least."""

    def __init__(self, data_centre: str, report: CrossReport) -> None:
        """Stores the gateway's data centre."""
        self._data_centre = data_centre
        self._report = report

    def way_of(self, sent: Sent, now_s: float) -> Way:
        """Returns where a request goes that has not been sent yet."""
        return ANY_WAY

    def note_sent(self, replica: Replica, way: Way, size_bytes: int) -> None:
        """Counts a request that has been sent, if it left the data centre."""
        if replica.data_centre == self._data_centre:
            return
        is_drawn = way.data_centre in {'', replica.data_centre}
        self._report.count(way.reason if is_drawn else BY_COST, size_bytes)


class CrossTraffic(CostTraffic):
    """The shares of each service's requests that leave the data centre."""

    def __init__(
        self, seen: Surroundings, price_ms_per_mb: float, metrics: Metrics
    ) -> None:
        """Starts with all requests at home."""
        report = CrossReport(seen.data_centre, price_ms_per_mb, metrics)
        super().__init__(seen.data_centre, report)
        self._seen = seen
        self._price_ms_per_mb = price_ms_per_mb
        self._services: dict[str, _Service] = {}

    def way_of(self, sent: Sent, now_s: float) -> Way:
        """Returns where a request goes that has not been sent yet.

        One that is not sent away by the shares goes wherever it costs least.
        """
        service = self._services.setdefault(sent.service, _Service())
        service.add_size(sent.size_bytes)
        if service.shares.is_due(now_s):
            self._step(service, sent, now_s)
        home = self._data_centre
        shares = service.shares.shares_of(home)
        data_centre = drawn(shares, home, sent.program_id)
        if data_centre == home:
            return ANY_WAY
        cost_ms = self._cost_ms(sent.size_bytes)
        has_endpoints = service.shares.demand_of(home).slots > 0
        reason = HAS_SPARE if has_endpoints else NO_ENDPOINTS
        return Way(data_centre, cost_ms, reason)

    def _step(self, service: _Service, sent: Sent, now_s: float) -> None:
        found = rooms_of(self._seen, sent.service, now_s)
        price = Price(
            self._cost_ms(service.size_bytes),
            found.latency_ms * sent.work_units,
        )
        service.shares.step(found.by_data_centre, price, now_s)
        self._report.update(sent.service, service.shares, price, now_s)

    def _cost_ms(self, size_bytes: float) -> float:
        return leaving_cost_ms(
            size_bytes + EXPECTED_ANSWER_BYTES,
            CROSS_LATENCY_MS,
            self._price_ms_per_mb,
        )


def drawn(shares: Shares, home: str, program_id: str) -> str:
    """Returns the data centre that a request goes to, drawn by the shares.

    All turns of a program go to the same one while the shares are unchanged.
    """
    draw = random.random()
    if program_id:
        draw = zlib.crc32(program_id.encode()) / HASH_RANGE
    for name in sorted(shares):
        draw -= shares[name]
        if draw < 0:
            return name
    return home


def new_traffic(
    seen: Surroundings, price_ms_per_mb: float | None, metrics: Metrics
) -> CostTraffic:
    """Returns what decides with a price of traffic, or without one."""
    if price_ms_per_mb is None:
        report = CrossReport(seen.data_centre, 0, metrics)
        return CostTraffic(seen.data_centre, report)
    return CrossTraffic(seen, price_ms_per_mb, metrics)

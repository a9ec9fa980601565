"""Divides the rate limits that endpoints name over the gateways; pure.

Each store grants single requests to the gateways that report to it, from its
part of the rate: the part that their demand has in that of all stores. So any
time span sees hardly more than the rate, however many gateways there are.
"""

from collections.abc import Mapping
from typing import NamedTuple

from cactusledge.records.gateway_messages import AskGrant, Granted
from cactusledge.records.known_limits import KnownLimits, LifetimeKey

REPORT_TTL_S = 1.5  # since a gateway last reported
# A store that is silent may be cut off and still grant its part.
SHARED_TTL_S = 30.0
START_PAUSE_S = 1.0  # of the rate, for what was sent before the limit was known
BURST_S = 0.25  # of the rate that may be granted at once
MIN_DEMAND_PER_S = 0.01  # of a gateway that asks
MAX_RETRY_S = 0.5  # the rate and the demand may have changed by then


class _Demands(NamedTuple):
    """Demands in requests a second, and when they were reported."""

    by_endpoint: Mapping[str, float]
    at_s: float

    def of(self, endpoint_id: str) -> float:
        """Returns the demand for an endpoint."""
        return self.by_endpoint.get(endpoint_id, 0)


class _Bucket:
    """The requests to one lifetime of an endpoint that may be granted."""

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        """Starts with a pause."""
        self.level = -START_PAUSE_S * rate_per_s
        self._refilled_s = now_s

    def take(self, rate_per_s: float, now_s: float) -> bool:
        """Takes a request, if the time since the last ones allows it."""
        added = rate_per_s * (now_s - self._refilled_s)
        self._refilled_s = now_s
        self.level = min(self.level + added, 1 + BURST_S * rate_per_s)
        if self.level < 1:
            return False
        self.level -= 1
        return True


class LimitDivision:
    """A store's part of the limits that endpoints name."""

    def __init__(self) -> None:
        """Starts without limits."""
        self.known = KnownLimits()
        self._local: dict[str, _Demands] = {}  # by gateway
        self._shared: dict[str, _Demands] = {}  # by other store
        self._buckets: dict[LifetimeKey, _Bucket] = {}

    def report(
        self, gateway: str, demands: Mapping[str, float], now_s: float
    ) -> None:
        """Stores the demands of a gateway."""
        self._local[gateway] = _Demands(demands, now_s)
        self._drop_expired(now_s)

    def share(
        self, store: str, demands: Mapping[str, float], now_s: float
    ) -> None:
        """Stores the demands at another store."""
        self._shared[store] = _Demands(demands, now_s)

    def local_demands(self, now_s: float) -> dict[str, float]:
        """Returns the demand of this store's gateways, by endpoint id."""
        self._drop_expired(now_s)
        sums: dict[str, float] = {}
        for reported in self._local.values():
            for endpoint_id, per_s in reported.by_endpoint.items():
                sums[endpoint_id] = sums.get(endpoint_id, 0) + per_s
        return sums

    def grant(self, ask: AskGrant, now_s: float) -> Granted:
        """Decides whether a gateway may send a request."""
        self.known.add(ask.limit, now_s)
        lifetime = (ask.limit.endpoint_id, ask.limit.born_ms)
        rate = self.known.rate_per_s(*lifetime, now_s)
        if rate is None:
            return Granted(is_granted=True)
        part = rate * self._part(ask, now_s)
        bucket = self._buckets.setdefault(lifetime, _Bucket(part, now_s))
        if bucket.take(part, now_s):
            return Granted(is_granted=True)
        return Granted(
            is_granted=False,
            retry_s=min((1 - bucket.level) / part, MAX_RETRY_S),
        )

    def _part(self, ask: AskGrant, now_s: float) -> float:
        """Returns this store's part of an endpoint's rate, over 0 to 1."""
        endpoint_id = ask.limit.endpoint_id
        here = max(ask.demand_per_s, MIN_DEMAND_PER_S) + sum(
            reported.of(endpoint_id)
            for gateway, reported in self._local.items()
            if gateway != ask.name
        )
        elsewhere = sum(
            shared.of(endpoint_id)
            for shared in self._shared.values()
            if now_s - shared.at_s < SHARED_TTL_S
        )
        return here / (here + elsewhere)

    def _drop_expired(self, now_s: float) -> None:
        self._local = {
            gateway: reported
            for gateway, reported in self._local.items()
            if now_s - reported.at_s < REPORT_TTL_S
        }
        self._buckets = {
            lifetime: bucket
            for lifetime, bucket in self._buckets.items()
            if self.known.rate_per_s(*lifetime, now_s) is not None
        }

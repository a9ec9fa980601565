"""Divides the rate limits that endpoints name over the gateways; pure.

Each store grants single requests to the gateways that report to it, from its
part of the rate: the part that their demand has in that of all stores. So any
time span sees hardly more than the rate, however many gateways there are.
"""

from collections.abc import Mapping

from cactusledge.records.demands import Demands
from cactusledge.records.gateway_messages import AskGrant, Granted
from cactusledge.records.known_limits import KnownLimits, LifetimeKey
from cactusledge.records.token_bucket import TokenBucket

REPORT_TTL_S = 1.5  # since a gateway last reported
# A store that is silent may be cut off and still grant its part.
SHARED_TTL_S = 30.0
START_PAUSE_S = 1.0  # of the rate, for what was sent before the limit was known
BURST_S = 0.25  # of the rate that may be granted at once
MIN_DEMAND_PER_S = 0.01  # of a gateway that asks
MAX_RETRY_S = 0.5  # the rate and the demand may have changed by then


class LimitDivision:
    """A store's part of the limits that endpoints name."""

    def __init__(self) -> None:
        """Starts without limits."""
        self.known = KnownLimits()
        self._local = Demands(REPORT_TTL_S)  # of gateways
        self._shared = Demands(SHARED_TTL_S)  # of other stores
        self._buckets: dict[LifetimeKey, TokenBucket] = {}

    def report(
        self, gateway: str, demands: Mapping[str, float], now_s: float
    ) -> None:
        """Stores the demands of a gateway."""
        self._local.report(gateway, demands, now_s)
        self._drop_unlimited(now_s)

    def share(
        self, store: str, demands: Mapping[str, float], now_s: float
    ) -> None:
        """Stores the demands at another store."""
        self._shared.report(store, demands, now_s)

    def local_demands(self, now_s: float) -> dict[str, float]:
        """Returns the demand of this store's gateways, by endpoint id."""
        return self._local.sums(now_s)

    def grant(self, ask: AskGrant, now_s: float) -> Granted:
        """Decides whether a gateway may send a request."""
        self.known.add(ask.limit, now_s)
        lifetime = (ask.limit.endpoint_id, ask.limit.born_ms)
        rate = self.known.rate_per_s(*lifetime, now_s)
        if rate is None:
            return Granted(is_granted=True)
        part = rate * self._part(ask, now_s)
        bucket = self._bucket(lifetime, part, now_s)
        if bucket.take():
            return Granted(is_granted=True)
        return Granted(
            is_granted=False,
            retry_s=min((1 - bucket.level) / part, MAX_RETRY_S),
        )

    def _part(self, ask: AskGrant, now_s: float) -> float:
        """Returns this store's part of an endpoint's rate, over 0 to 1."""
        endpoint_id = ask.limit.endpoint_id
        here = max(ask.demand_per_s, MIN_DEMAND_PER_S) + self._local.of_others(
            ask.name, endpoint_id, now_s
        )
        elsewhere = self._shared.of_all(endpoint_id, now_s)
        return here / (here + elsewhere)

    def _bucket(
        self, lifetime: LifetimeKey, rate_per_s: float, now_s: float
    ) -> TokenBucket:
        """Returns the requests that may be granted; starts with a pause."""
        bucket = self._buckets.setdefault(
            lifetime, TokenBucket(-START_PAUSE_S * rate_per_s, now_s)
        )
        bucket.refill(rate_per_s, 1 + BURST_S * rate_per_s, now_s)
        return bucket

    def _drop_unlimited(self, now_s: float) -> None:
        self._buckets = {
            lifetime: bucket
            for lifetime, bucket in self._buckets.items()
            if self.known.rate_per_s(*lifetime, now_s) is not None
        }

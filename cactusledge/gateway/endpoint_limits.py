"""Decides what a gateway sends to endpoints that name a limit; pure.

The stores grant single requests, so that all gateways together keep to a limit.
Without a store in reach a gateway keeps to an equal part.
"""

import enum
import math

from cactusledge.gateway.decaying_rate import DecayingRate
from cactusledge.gateway.messages import Replica
from cactusledge.records.gateway_messages import AskGrant, Granted, NamedLimit
from cactusledge.records.known_limits import KnownLimits, LifetimeKey
from cactusledge.records.token_bucket import TokenBucket

DEMAND_AVERAGE_S = 1.0  # time constant of the demand
MIN_DEMAND_PER_S = 0.01  # below, nothing is reported
STORES_SILENT_S = 1.0  # without a reply, until an equal part is used


class Admission(enum.Enum):
    """Whether a request may be sent to an endpoint, or taken at all."""

    FREE = 'free'
    ASK = 'ask'  # a store decides
    EQUAL_PART = 'equal part'  # stores are silent, this gateway's part decides
    DENIED = 'denied'  # for now


class _Demand:
    """The requests that would go to one lifetime of an endpoint."""

    def __init__(self) -> None:
        """Starts without any."""
        self.denied_until_s = -math.inf
        self.average = DecayingRate(DEMAND_AVERAGE_S)
        # Of a steady rate, without a store in reach.
        self._equal_part: TokenBucket | None = None

    def take_equal_part(self, rate_per_s: float, now_s: float) -> bool:
        """Takes a request of a steady rate; starts with none."""
        if self._equal_part is None:
            self._equal_part = TokenBucket(0, now_s)
        self._equal_part.refill(rate_per_s, 1, now_s)
        return self._equal_part.take()

    def stop_equal_part(self) -> None:
        """Forgets the steady rate, as stores reply again."""
        self._equal_part = None


class EndpointLimits:
    """The limits that this gateway knows of, and the demand for them."""

    def __init__(self, name: str = '') -> None:
        """Starts without limits; `name` is the gateway's."""
        self.known = KnownLimits()
        self._name = name
        self._demands: dict[LifetimeKey, _Demand] = {}
        self._gateways = 0  # that share the limits
        self._replied_s = -math.inf  # when a store last replied

    def rate_per_s(self, replica: Replica, now_s: float) -> float | None:
        """Returns the rate in force for all gateways, None without a limit."""
        return self.known.rate_per_s(
            replica.endpoint_id, replica.born_ms, now_s
        )

    def admit(
        self, replica: Replica, now_s: float, *, is_new: bool
    ) -> Admission:
        """Decides on a request; `is_new` counts it to the demand."""
        rate = self.rate_per_s(replica, now_s)
        if rate is None:
            return Admission.FREE
        demand = self._demand(replica)
        if is_new:
            demand.average.add(now_s)
        if now_s - self._replied_s < STORES_SILENT_S:
            demand.stop_equal_part()
            is_denied = now_s < demand.denied_until_s
            return Admission.DENIED if is_denied else Admission.ASK
        part = rate / self._gateways if self._gateways else 0
        is_sent = demand.take_equal_part(part, now_s)
        return Admission.FREE if is_sent else Admission.DENIED

    def question(self, replica: Replica, now_s: float) -> AskGrant:
        """Returns what to ask a store for a limited endpoint."""
        known = self.known.find(replica.endpoint_id, replica.born_ms)
        if known is None:
            raise LookupError(f'{replica.endpoint_id} names no limit')
        return AskGrant(
            self._name,
            NamedLimit(
                replica.endpoint_id,
                replica.born_ms,
                known.per_s,
                now_s - known.seen_s,
                known.is_ended,
            ),
            self._demand(replica).average.per_s(now_s),
        )

    def add_reply(
        self, replica: Replica, reply: Granted | None, now_s: float
    ) -> bool:
        """Adds a store's reply, None without one; returns whether to send."""
        if reply is None:
            return False
        self._replied_s = now_s
        if not reply.is_granted:
            self._demand(replica).denied_until_s = now_s + reply.retry_s
        return reply.is_granted

    def demands(self, now_s: float) -> dict[str, float]:
        """Returns the demand to report, by endpoint id; drops what is over."""
        self._demands = {
            lifetime: demand
            for lifetime, demand in self._demands.items()
            if self.known.rate_per_s(*lifetime, now_s) is not None
        }
        demands = {
            endpoint_id: demand.average.per_s(now_s)
            for (endpoint_id, _), demand in self._demands.items()
        }
        return {
            endpoint_id: per_s
            for endpoint_id, per_s in demands.items()
            if per_s > MIN_DEMAND_PER_S
        }

    def set_gateways(self, count: int, now_s: float) -> None:
        """Sets how many gateways share the limits; 0 if no store grants."""
        if count:
            self._gateways = count
            self._replied_s = now_s

    def _demand(self, replica: Replica) -> _Demand:
        lifetime = (replica.endpoint_id, replica.born_ms)
        return self._demands.setdefault(lifetime, _Demand())

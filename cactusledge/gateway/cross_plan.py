"""Divides the requests that data centres have no room for over the others.

All levels are shares of a data centre's slots, all amounts are requests in
progress. Pure: every gateway that knows the same loads computes the same.
"""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

FULL_LEVEL = 0.85  # above it, requests begin to wait for a slot
SPARE_LEVEL = 0.75  # up to which a data centre takes requests of others
ROLE_MARGIN = 0.05  # of the levels, between taking a role and leaving it
BACKLOG_SHARE = 0.5  # of those waiting; a backlog ends, demand goes on
BYTES_PER_MB = 1000000

Flows = Mapping[tuple[str, str], float]  # by sender and taker
NO_FLOWS: Flows = MappingProxyType({})


class Role(enum.StrEnum):
    """What a data centre does with the requests of a service."""

    SENDS = 'sends'
    NEUTRAL = 'neutral'
    TAKES = 'takes'


class Demand(NamedTuple):
    """What a data centre's own callers ask for, and what serves it."""

    served: float  # in progress, not waiting, if none were sent away
    waiting: float  # for a slot
    slots: float  # weighted by the endpoints' speed
    role: Role = Role.NEUTRAL

    @property
    def requests(self) -> float:
        """The requests in progress if none were sent away."""
        return self.served + self.waiting

    @property
    def spare(self) -> float:
        """How many requests of other data centres there is room for."""
        return max(0, self.slots * SPARE_LEVEL - self.requests)


class Price(NamedTuple):
    """What a request to another data centre costs, and what it may save."""

    cost_ms: float  # added latency and price of the bytes
    turnover_ms: float  # until all requests in progress have ended once

    @property
    def home_level(self) -> float:
        """The load at which waiting costs as much as leaving."""
        return FULL_LEVEL + self.cost_ms / max(1, self.turnover_ms)


def leaving_cost_ms(
    size_bytes: float, latency_ms: float, price_ms_per_mb: float
) -> float:
    """Returns what sending a request of a size away costs its caller."""
    return latency_ms + price_ms_per_mb * size_bytes / BYTES_PER_MB


def waiting_ms(demand: Demand, price: Price) -> float:
    """Returns a request's expected wait for a slot if all stay at home."""
    if not demand.slots:
        return price.turnover_ms
    over = demand.requests / demand.slots - FULL_LEVEL
    return max(0, over) * price.turnover_ms


def excess(demand: Demand, price: Price) -> float:
    """Returns how many requests gain by leaving."""
    kept = demand.slots * price.home_level
    steady = max(0, demand.served - kept)
    queued = max(0, demand.requests - max(kept, demand.served))
    return steady + BACKLOG_SHARE * queued


def divide(demands: Mapping[str, Demand], price: Price) -> Flows:
    """Returns the requests in progress that each sender has at each taker.

    The takers' spare room bounds what all senders send together; each sender
    gets a part by its excess.
    """
    excesses = {
        name: excess(demand, price)
        for name, demand in demands.items()
        if demand.role is Role.SENDS
    }
    spares = {
        name: demand.spare
        for name, demand in demands.items()
        if demand.role is Role.TAKES
    }
    limit = max(sum(excesses.values()), sum(spares.values()))
    if not limit:
        return NO_FLOWS
    return {
        (sender, taker): over * room / limit
        for sender, over in excesses.items()
        for taker, room in spares.items()
        if over and room
    }


def wants_to_send(demand: Demand, price: Price) -> bool:
    """Returns whether a data centre has too little room for its callers.

    It begins to send at a higher load than the one at which it stops.
    """
    margin = -ROLE_MARGIN if demand.role is Role.SENDS else ROLE_MARGIN
    return demand.requests > demand.slots * (price.home_level + margin)


def can_take(demand: Demand) -> bool:
    """Returns whether a data centre has room for others, with a margin."""
    margin = ROLE_MARGIN if demand.role is Role.TAKES else -ROLE_MARGIN
    return demand.requests < demand.slots * (SPARE_LEVEL + margin)


def next_role(demand: Demand, price: Price, *, is_asked: bool) -> Role:
    """Returns the role by the load; between sending and taking it is neutral.

    Args:
        demand: What the data centre's callers ask for, and its role so far.
        price: What leaving costs and saves.
        is_asked: Whether any data centre sends.
    """
    wanted = Role.NEUTRAL
    if wants_to_send(demand, price):
        wanted = Role.SENDS
    elif is_asked and can_take(demand):
        wanted = Role.TAKES
    is_reversal = demand.role is not Role.NEUTRAL and wanted is not demand.role
    return Role.NEUTRAL if is_reversal else wanted

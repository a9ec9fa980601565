"""Tracks data centres' demand for a service, and the shares that they send.

Loads show where requests run, not where they came from. The demand of each data
centre is its load, corrected by the shares sent in the last moments. Loads are
reported late, so both are averaged over about the same time. Every gateway
tracks all data centres, and so knows what the others send without a message.
"""

import math
from collections import defaultdict
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from cactusledge.gateway.cross_plan import (
    NO_FLOWS,
    Demand,
    Flows,
    Price,
    Role,
    divide,
    next_role,
    wants_to_send,
)

STEP_S = 0.1  # between two estimates
LOAD_AVERAGE_S = 0.2  # time constant
SHARE_AVERAGE_S = 0.9  # time constant; a request's time and its late report
HOLD_S = 1.0  # at least, between two changes of a role
# Of the estimated flows. Less than all, so that gateways that have started at
# different times come to the same shares.
FLOW_TRUST = 0.75
MAX_SHARE = 0.9  # sent by a data centre that has endpoints
NO_DEMAND = Demand(0, 0, 0)

Shares = Mapping[str, float]  # of new requests, by the data centre they go to
ALL_AT_HOME: Shares = MappingProxyType({})


class Room(NamedTuple):
    """What is known of a data centre's endpoints for a service."""

    in_flight: float  # requests in progress, from all gateways
    slots: float  # weighted by the endpoints' speed


class _Tracked:
    """One data centre as tracked over time."""

    def __init__(self, room: Room) -> None:
        self.load = room.in_flight  # moving average
        self.demand = Demand(room.in_flight, 0, room.slots)
        self.changed_s = -math.inf  # when the role changed last

    def update_role(
        self, price: Price, now_s: float, *, is_asked: bool
    ) -> None:
        """Changes the role by the demand, unless it has just changed."""
        role = next_role(self.demand, price, is_asked=is_asked)
        is_held = now_s - self.changed_s < HOLD_S
        if role is self.demand.role or is_held:
            return
        self.demand = self.demand._replace(role=role)
        self.changed_s = now_s


class CrossShares:
    """Demand, role and shares of each data centre for one service."""

    def __init__(self) -> None:
        """Starts with all requests at home."""
        self._tracked: dict[str, _Tracked] = {}
        self._shares: Flows = NO_FLOWS
        self._past: dict[tuple[str, str], float] = {}  # shares, averaged
        self._stepped_s = -math.inf

    def is_due(self, now_s: float) -> bool:
        """Returns whether it is time for the next step."""
        return now_s - self._stepped_s >= STEP_S

    def step(
        self, rooms: Mapping[str, Room], price: Price, now_s: float
    ) -> None:
        """Takes in the loads of all data centres that can be reached."""
        elapsed_s = now_s - self._stepped_s
        self._stepped_s = now_s
        self._average_shares(elapsed_s)
        self._tracked = {
            name: self._tracked.get(name) or _Tracked(room)
            for name, room in rooms.items()
        }
        for name, room in rooms.items():
            self._take_in(name, room, elapsed_s)
        self._update_roles(price, now_s)
        self._shares = self._new_shares(price)

    def demand_of(self, data_centre: str) -> Demand:
        """Returns the estimated demand of a data centre."""
        tracked = self._tracked.get(data_centre)
        return tracked.demand if tracked else NO_DEMAND

    def demands(self) -> dict[str, Demand]:
        """Returns the estimated demand of each data centre."""
        return {name: one.demand for name, one in self._tracked.items()}

    def shares_of(self, sender: str) -> Shares:
        """Returns what a data centre sends to each other one."""
        if self.demand_of(sender).slots:
            return self._sent_by(self._shares, sender)
        return self._shares_without_endpoints(sender)

    def _average_shares(self, elapsed_s: float) -> None:
        weight = weight_of(elapsed_s, SHARE_AVERAGE_S)
        pairs = self._past.keys() | self._shares.keys()
        for pair in pairs:
            past = self._past.get(pair, 0)
            newest = self._shares.get(pair, 0)
            self._past[pair] = past + weight * (newest - past)

    def _take_in(self, name: str, room: Room, elapsed_s: float) -> None:
        """Estimates what a data centre's own callers have in progress."""
        tracked = self._tracked[name]
        weight = weight_of(elapsed_s, LOAD_AVERAGE_S)
        tracked.load += weight * (room.in_flight - tracked.load)
        sent = sum(self._sent_by(self._past, name).values())
        own = max(0, tracked.load - FLOW_TRUST * self._received_by(name))
        served = min(own, room.slots)
        tracked.demand = Demand(
            served / (1 - FLOW_TRUST * sent),
            own - served,
            room.slots,
            tracked.demand.role,
        )

    def _update_roles(self, price: Price, now_s: float) -> None:
        is_asked = any(
            wants_to_send(demand, price) for demand in self.demands().values()
        )
        for tracked in self._tracked.values():
            tracked.update_role(price, now_s, is_asked=is_asked)

    def _received_by(self, name: str) -> float:
        """Returns the requests in progress that others have sent."""
        return sum(
            share * self.demand_of(sender).served
            for (sender, taker), share in self._past.items()
            if taker == name
        )

    def _new_shares(self, price: Price) -> Flows:
        demands = self.demands()
        flows = divide(demands, price)
        totals: defaultdict[str, float] = defaultdict(float)
        for (sender, _), leaving in flows.items():
            totals[sender] += leaving
        return {
            pair: MAX_SHARE
            * flow
            / max(totals[pair[0]], demands[pair[0]].served)
            for pair, flow in flows.items()
        }

    def _sent_by(self, shares: Flows, name: str) -> dict[str, float]:
        return {
            taker: share
            for (sender, taker), share in shares.items()
            if sender == name
        }

    def _shares_without_endpoints(self, sender: str) -> Shares:
        """Returns the shares of a data centre that can serve nothing."""
        spares = {
            name: demand.spare
            for name, demand in self.demands().items()
            if name != sender and demand.role is not Role.SENDS
        }
        total = sum(spares.values())
        if not total:
            return ALL_AT_HOME
        return {name: room / total for name, room in spares.items() if room}


def weight_of(elapsed_s: float, average_s: float) -> float:
    """Returns the weight of a new sample in a moving average."""
    return 1 - math.exp(-elapsed_s / average_s)

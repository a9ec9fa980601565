"""Logs and metrics of the traffic to other data centres."""

import math
from collections.abc import Mapping
from typing import NamedTuple

import structlog

from cactusledge.gateway.cross_plan import Price, Role, waiting_ms
from cactusledge.gateway.cross_shares import CrossShares
from cactusledge.telemetry.metrics import Metrics

SHARE_STEP = 0.1  # a smaller change is not logged
LOG_PAUSE_S = 1.0  # at least, between two lines of a service

log = structlog.get_logger('gateway')


class _Logged(NamedTuple):
    """What was last logged for a service."""

    role: Role
    share: float
    at_s: float


NOTHING_LOGGED = _Logged(Role.NEUTRAL, 0, -math.inf)


class CrossReport:
    """Reports the role and the share of this gateway's data centre."""

    def __init__(
        self, data_centre: str, price_ms_per_mb: float, metrics: Metrics
    ) -> None:
        """Starts with nothing logged."""
        self._data_centre = data_centre
        self._price_ms_per_mb = price_ms_per_mb
        self._metrics = metrics
        self._logged: dict[str, _Logged] = {}

    def update(
        self, service: str, shares: CrossShares, price: Price, now_s: float
    ) -> None:
        """Sets the gauge; logs a change of the role or the share."""
        role = shares.demand_of(self._data_centre).role
        share = sum(shares.shares_of(self._data_centre).values())
        self._metrics.put('gateway_cross_share', share, service=service)
        logged = self._logged.get(service, NOTHING_LOGGED)
        has_changed = (
            role is not logged.role or abs(share - logged.share) >= SHARE_STEP
        )
        if has_changed and now_s - logged.at_s >= LOG_PAUSE_S:
            self._logged[service] = _Logged(role, share, now_s)
            self._log(service, shares, price)

    def count(self, reason: str, size_bytes: int) -> None:
        """Counts a request sent to another data centre."""
        self._metrics.add('gateway_cross_requests_total', reason=reason)
        self._metrics.add('gateway_cross_bytes_total', size_bytes)

    def _log(self, service: str, shares: CrossShares, price: Price) -> None:
        home = shares.demand_of(self._data_centre)
        log.info(
            'gateway: traffic to other data centres changed',
            service=service,
            data_centre=self._data_centre,
            role=home.role,
            shares=rounded(shares.shares_of(self._data_centre)),
            requests=rounded({
                name: demand.requests
                for name, demand in shares.demands().items()
            }),
            slots=rounded({
                name: demand.slots for name, demand in shares.demands().items()
            }),
            gain_ms=round(waiting_ms(home, price)),
            cost_ms=round(price.cost_ms),
            price_ms_per_mb=self._price_ms_per_mb,
        )


def rounded(amounts: Mapping[str, float]) -> dict[str, float]:
    """Returns amounts by data centre as they are logged."""
    return {name: round(amount, 2) for name, amount in amounts.items()}

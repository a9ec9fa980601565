"""Tracks unreachable data centres and abandons exchanges stuck behind them.

The record stores are spread over the data centres and answer heartbeats, so
their silence shows a network partition sooner than any request would.
"""

import math
from collections.abc import Iterable, Sequence
from typing import Protocol

from cactusledge.gateway.messages import Replica

SILENCE_TIMEOUT_S = 0.8  # until an exchange behind a partition is abandoned


class Exchange(Protocol):
    """A request in progress at an endpoint."""

    @property
    def replica(self) -> Replica:
        """The endpoint."""

    @property
    def may_be_abandoned(self) -> bool:
        """Whether the caller can retry after a broken exchange."""

    @property
    def last_activity_s(self) -> float:
        """When data was last sent or received; loop clock."""

    @property
    def received_s(self) -> float:
        """When data was last received from the endpoint; loop clock."""

    def abandon(self) -> None:
        """Ends the exchange as broken."""


class Partitions:
    """The data centres that seem unreachable, and the open exchanges."""

    def __init__(self) -> None:
        """Starts with all data centres reachable."""
        self.unreachable: frozenset[str] = frozenset()
        self._exchanges: set[Exchange] = set()

    def add(self, exchange: Exchange) -> None:
        """Adds an exchange that has begun."""
        self._exchanges.add(exchange)

    def remove(self, exchange: Exchange) -> None:
        """Removes an exchange that has ended."""
        self._exchanges.discard(exchange)

    def update(self, unreachable: Iterable[str], now_s: float) -> None:
        """Sets the unreachable data centres, abandons silent exchanges."""
        self.unreachable = frozenset(unreachable)
        if not self.unreachable:
            return
        for exchange in tuple(self._exchanges):
            is_silent = now_s - exchange.last_activity_s >= SILENCE_TIMEOUT_S
            if is_silent and self._should_abandon(exchange):
                exchange.abandon()

    def received_s(self) -> dict[str, float]:
        """Returns when open exchanges last received bytes, by endpoint id."""
        latest: dict[str, float] = {}
        for exchange in self._exchanges:
            endpoint_id = exchange.replica.endpoint_id
            known_s = latest.get(endpoint_id, -math.inf)
            latest[endpoint_id] = max(known_s, exchange.received_s)
        return latest

    def silent(self, now_s: float, limit_s: float) -> frozenset[str]:
        """Returns the ids of endpoints with an exchange silent for so long."""
        return frozenset(
            exchange.replica.endpoint_id
            for exchange in self._exchanges
            if now_s - exchange.last_activity_s >= limit_s
        )

    def open_count(self) -> int:
        """Returns how many exchanges are open."""
        return len(self._exchanges)

    def abandon_silent(self, now_s: float, limit_s: float) -> None:
        """Abandons silent exchanges, as no endpoint is in reach."""
        for exchange in tuple(self._exchanges):
            is_silent = now_s - exchange.last_activity_s >= limit_s
            if is_silent and exchange.may_be_abandoned:
                exchange.abandon()

    def prefer_reachable(
        self, replicas: Sequence[Replica]
    ) -> Sequence[Replica]:
        """Returns the reachable endpoints, or all if none seems reachable."""
        if not self.unreachable:
            return replicas
        reachable = [
            replica
            for replica in replicas
            if replica.data_centre not in self.unreachable
        ]
        return reachable or replicas

    def _should_abandon(self, exchange: Exchange) -> bool:
        """Returns whether a retry is better for the caller than waiting."""
        is_unreachable = exchange.replica.data_centre in self.unreachable
        return is_unreachable and exchange.may_be_abandoned

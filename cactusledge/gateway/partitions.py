"""Recognises data centres that are cut off, and what hangs because of it.

The record stores are spread over the data centres and answer heartbeats, so
their silence tells of a partition sooner than any request would.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from cactusledge.gateway.messages import Replica

SILENCE_TIMEOUT_S = (
    0.8  # of an endpoint behind a partition, until it is given up
)


class Exchange(Protocol):
    """A request under way at an endpoint."""

    @property
    def replica(self) -> Replica:
        """The endpoint."""

    @property
    def may_be_abandoned(self) -> bool:
        """Whether the caller can try again after a broken exchange."""

    @property
    def last_received_s(self) -> float:
        """When the endpoint was last heard of; loop's clock."""

    def abandon(self) -> None:
        """Ends the exchange as broken."""


class Partitions:
    """The data centres that seem to be cut off, and the exchanges open."""

    def __init__(self) -> None:
        """Starts with all data centres in reach."""
        self.unreachable: frozenset[str] = frozenset()
        self._exchanges: set[Exchange] = set()

    def add(self, exchange: Exchange) -> None:
        """Takes an exchange that begins."""
        self._exchanges.add(exchange)

    def remove(self, exchange: Exchange) -> None:
        """Takes note that an exchange has ended."""
        self._exchanges.discard(exchange)

    def update(self, unreachable: Iterable[str], now_s: float) -> None:
        """Takes the data centres out of reach; gives up what hangs there."""
        self.unreachable = frozenset(unreachable)
        if not self.unreachable:
            return
        for exchange in tuple(self._exchanges):
            is_silent = now_s - exchange.last_received_s >= SILENCE_TIMEOUT_S
            if is_silent and self._should_abandon(exchange):
                exchange.abandon()

    def prefer_reachable(
        self, replicas: Sequence[Replica]
    ) -> Sequence[Replica]:
        """Returns the endpoints in reach, or all if none seems to be."""
        if not self.unreachable:
            return replicas
        reachable = [
            replica
            for replica in replicas
            if replica.data_centre not in self.unreachable
        ]
        return reachable or replicas

    def _should_abandon(self, exchange: Exchange) -> bool:
        """Whether waiting on is worse for the caller than a new try."""
        is_unreachable = exchange.replica.data_centre in self.unreachable
        return is_unreachable and exchange.may_be_abandoned

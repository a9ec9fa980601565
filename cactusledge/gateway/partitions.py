"""Recognises data centres that are cut off, and what hangs because of it.

The record stores are spread over the data centres and answer heartbeats, so
their silence tells of a partition sooner than any request would.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from cactusledge.gateway.messages import Replica

SILENCE_S = 0.8  # of an endpoint behind a partition, until it is given up


class Exchange(Protocol):
    """A request under way at an endpoint."""

    @property
    def replica(self) -> Replica:
        """The endpoint."""

    @property
    def may_be_given_up(self) -> bool:
        """Whether the caller can try again after a broken exchange."""

    @property
    def heard_s(self) -> float:
        """When the endpoint was last heard of; loop's clock."""

    def give_up(self) -> None:
        """Ends the exchange as broken."""


class Partitions:
    """The data centres that seem to be cut off, and the exchanges open."""

    def __init__(self) -> None:
        """Starts with all data centres in reach."""
        self.cut_off: frozenset[str] = frozenset()
        self._exchanges: set[Exchange] = set()

    def add(self, exchange: Exchange) -> None:
        """Takes an exchange that begins."""
        self._exchanges.add(exchange)

    def remove(self, exchange: Exchange) -> None:
        """Takes note that an exchange has ended."""
        self._exchanges.discard(exchange)

    def update(self, cut_off: Iterable[str], now_s: float) -> None:
        """Takes the data centres out of reach; gives up what hangs there."""
        self.cut_off = frozenset(cut_off)
        if not self.cut_off:
            return
        for exchange in tuple(self._exchanges):
            is_silent = now_s - exchange.heard_s >= SILENCE_S
            if is_silent and self._is_hopeless(exchange):
                exchange.give_up()

    def in_reach(self, replicas: Sequence[Replica]) -> Sequence[Replica]:
        """Returns the endpoints in reach, or all if none seems to be."""
        if not self.cut_off:
            return replicas
        reachable = [
            replica
            for replica in replicas
            if replica.data_centre not in self.cut_off
        ]
        return reachable or replicas

    def _is_hopeless(self, exchange: Exchange) -> bool:
        """Whether waiting on is worse for the caller than a new try."""
        is_cut_off = exchange.replica.data_centre in self.cut_off
        return is_cut_off and exchange.may_be_given_up

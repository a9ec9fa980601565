"""Decides whether this instance has lost its links to all endpoints; pure.

One endpoint that is silent or refuses connections tells nothing about the
instance. It is out of reach of all only if several endpoints cannot be
connected to, and no other has been reached since the first of them failed.
"""

import math
from collections.abc import Collection

SUSPECTED_BY = 2  # endpoints that could not be connected to
CONFIRMED_BY = 4  # the same; all of them where fewer are listed
FAILURE_TTL_S = 3.0  # of a failed attempt to connect
SILENT_S = 0.4  # without a byte from any endpoint


class EndpointReach:
    """What attempts to connect and received bytes show of the links."""

    def __init__(self) -> None:
        """Starts with all endpoints in reach."""
        self.listed = 0  # endpoints in the list
        self.received_s = -math.inf  # when any endpoint last sent a byte
        self.doubted_s = -math.inf  # when the links were last tested
        self._linked_s = -math.inf  # when an endpoint was last reached
        # By endpoint id:
        self._failed_s: dict[str, float] = {}
        self._refused_s: dict[str, float] = {}
        self._connected_s: dict[str, float] = {}
        self._received_s: dict[str, float] = {}

    def add_connected(self, endpoint_id: str, now_s: float) -> None:
        """Adds a successful attempt to connect."""
        self._failed_s.pop(endpoint_id, None)
        self._connected_s[endpoint_id] = now_s
        self._linked_s = max(self._linked_s, now_s)

    def add_failed(
        self, endpoint_id: str, now_s: float, *, is_refused: bool = False
    ) -> None:
        """Adds a failed attempt to connect; a host may have refused it."""
        self._failed_s[endpoint_id] = now_s
        if is_refused:
            self._refused_s[endpoint_id] = now_s

    def add_received(self, endpoint_id: str, at_s: float) -> None:
        """Adds that an endpoint has sent bytes."""
        self.received_s = max(self.received_s, at_s)
        self._received_s[endpoint_id] = at_s
        if endpoint_id not in self.failed(at_s):
            # An open connection may live on although new ones are refused.
            self._linked_s = max(self._linked_s, at_s)

    def refused_s(self, endpoint_id: str) -> float:
        """Returns when an endpoint's address last refused a connection."""
        return self._refused_s.get(endpoint_id, -math.inf)

    def connected_s(self, endpoint_id: str) -> float:
        """Returns when a connection to an endpoint was last opened."""
        return self._connected_s.get(endpoint_id, -math.inf)

    def has_reached_other(self, endpoint_id: str, since_s: float) -> bool:
        """Returns whether another endpoint was reached since a time."""
        return any(
            at_s > since_s
            for seen in (self._connected_s, self._received_s)
            for other, at_s in seen.items()
            if other != endpoint_id
        )

    def prune(self, endpoint_ids: Collection[str]) -> None:
        """Forgets endpoints that are not in the list."""
        kept = (
            self._failed_s,
            self._refused_s,
            self._connected_s,
            self._received_s,
        )
        for seen in kept:
            for endpoint_id in seen.keys() - set(endpoint_ids):
                seen.pop(endpoint_id)

    def is_suspected(self, now_s: float) -> bool:
        """Returns whether the endpoints may be out of reach."""
        return self._have_failed(SUSPECTED_BY, now_s)

    def can_connect(self, now_s: float) -> bool:
        """Returns whether connecting to some endpoint may succeed."""
        return not self._have_failed(CONFIRMED_BY, now_s)

    def is_stranded(self, now_s: float) -> bool:
        """Returns whether open connections are of no use either."""
        is_silent = now_s - self.received_s >= SILENT_S
        return is_silent and not self.can_connect(now_s)

    def failed(self, now_s: float) -> frozenset[str]:
        """Returns the endpoints that failed since another was reached."""
        since_s = max(self._linked_s, now_s - FAILURE_TTL_S)
        return frozenset(
            endpoint_id
            for endpoint_id, at_s in self._failed_s.items()
            if at_s > since_s
        )

    def _have_failed(self, count: int, now_s: float) -> bool:
        failed = len(self.failed(now_s))
        return self.listed > 0 and failed >= min(count, self.listed)

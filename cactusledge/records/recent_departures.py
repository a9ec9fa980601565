"""The departures of endpoints that gateways have reported to a store.

Soft state: it spares callers a request to a leaving endpoint, and is lost when
the process ends.
"""

from collections.abc import Iterable

from cactusledge.records.gateway_messages import LeavingEndpoint

DEPARTURE_TTL_S = 4.0  # since a departure was first reported


class RecentDepartures:
    """Reported departures, each for a limited time."""

    def __init__(self) -> None:
        """Starts empty."""
        self._first_reported_s: dict[LeavingEndpoint, float] = {}

    def add(self, reported: Iterable[LeavingEndpoint], now_s: float) -> None:
        """Adds departures; a repeated report does not extend its time."""
        for leaving in reported:
            self._first_reported_s.setdefault(leaving, now_s)

    def recent(self, now_s: float) -> list[LeavingEndpoint]:
        """Returns the departures that have not expired; drops the others."""
        self._first_reported_s = {
            leaving: at_s
            for leaving, at_s in self._first_reported_s.items()
            if now_s - at_s < DEPARTURE_TTL_S
        }
        return list(self._first_reported_s)

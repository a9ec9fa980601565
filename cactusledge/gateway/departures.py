"""Remembers which endpoints have said in an answer that they are leaving.

This knowledge needs no platform and no store, and an older endpoint list does
not undo it. It holds for one lifetime of an endpoint; a later one is new.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cactusledge.gateway.messages import Replica
from cactusledge.records.gateway_messages import LeavingEndpoint

DEFAULT_WINDOW_S = 1.0  # in which a leaving endpoint still takes requests
MAX_KNOWN = 4096  # endpoints; the oldest are forgotten
REPORT_S = 2.0  # how long a departure is reported to other instances


class Departure(NamedTuple):
    """A lifetime of an endpoint that is leaving."""

    born_ms: int  # start of the lifetime, Unix milliseconds
    at_s: float  # when it was first seen
    is_own: bool  # seen in an answer to this instance


class Departures:
    """The latest lifetime of each endpoint that is leaving, by its id."""

    def __init__(self, window_s: float = DEFAULT_WINDOW_S) -> None:
        """Starts empty; `window_s` is how long leaving endpoints may serve."""
        self.window_s = window_s
        self._known: OrderedDict[str, Departure] = OrderedDict()

    def add(
        self, leaving: LeavingEndpoint, now_s: float, *, is_own: bool
    ) -> bool:
        """Adds a departure; returns whether it is new.

        Reports of a departure that is known already do not extend its window.
        """
        known = self._known.get(leaving.endpoint_id)
        if known is not None and leaving.born_ms <= known.born_ms:
            return False
        self._known[leaving.endpoint_id] = Departure(
            leaving.born_ms, now_s, is_own
        )
        self._known.move_to_end(leaving.endpoint_id)
        if len(self._known) > MAX_KNOWN:
            self._known.popitem(last=False)
        return True

    def is_leaving(self, replica: Replica) -> bool:
        """Returns whether this lifetime of the endpoint is leaving or over."""
        return self._departure_of(replica) is not None

    def usable(
        self, replicas: Sequence[Replica], received_s: float
    ) -> Sequence[Replica]:
        """Returns the endpoints that a request may be sent to.

        Leaving ones only if no other is left, and only for requests that were
        received within the window.

        Args:
            replicas: The endpoints to choose from.
            received_s: When the request was received, on the loop's clock.
        """
        staying = [one for one in replicas if not self.is_leaving(one)]
        if staying or not self._known:
            return staying
        return [
            one for one in replicas if received_s <= self._last_request_s(one)
        ]

    def to_report(self, now_s: float) -> list[LeavingEndpoint]:
        """Returns the recent departures that this instance has seen itself."""
        return [
            LeavingEndpoint(endpoint_id, known.born_ms)
            for endpoint_id, known in self._known.items()
            if known.is_own and now_s - known.at_s < REPORT_S
        ]

    def add_reported(
        self, reported: Iterable[LeavingEndpoint], now_s: float
    ) -> list[LeavingEndpoint]:
        """Adds departures that others have seen; returns the new ones."""
        return [
            leaving
            for leaving in reported
            if self.add(leaving, now_s, is_own=False)
        ]

    def _departure_of(self, replica: Replica) -> Departure | None:
        known = self._known.get(replica.endpoint_id)
        if known is None or replica.born_ms > known.born_ms:
            return None
        return known

    def _last_request_s(self, replica: Replica) -> float:
        """Returns until when received requests may go to the endpoint."""
        known = self._departure_of(replica)
        if known is None:
            return math.inf
        # A lifetime before the one that is leaving has already ended.
        is_current = replica.born_ms == known.born_ms
        return known.at_s + self.window_s if is_current else -math.inf

"""Notes the departures of endpoints and exchanges them between instances."""

from collections.abc import Iterable

import structlog

from cactusledge.gateway.clock import now
from cactusledge.gateway.departures import Departures
from cactusledge.gateway.messages import Replica
from cactusledge.records.gateway_messages import LeavingEndpoint
from cactusledge.telemetry.metrics import Metrics

log = structlog.get_logger('gateway')


class DepartureReports:
    """Adds departures from answers and from other instances, and logs them."""

    def __init__(self, departures: Departures, metrics: Metrics) -> None:
        """Stores where departures are kept and counted."""
        self._departures = departures
        self._metrics = metrics

    def note(self, replica: Replica) -> None:
        """Notes that an endpoint has said that it is leaving."""
        leaving = LeavingEndpoint(replica.endpoint_id, replica.born_ms)
        if self._departures.add(leaving, now(), is_own=True):
            self._log(leaving, source='answer')

    def to_report(self) -> list[LeavingEndpoint]:
        """Returns the recent departures that this instance has seen itself."""
        return self._departures.to_report(now())

    def add_reported(self, reported: Iterable[LeavingEndpoint]) -> None:
        """Adds departures that other instances have seen."""
        for leaving in self._departures.add_reported(reported, now()):
            self._log(leaving, source='instance')

    def _log(self, leaving: LeavingEndpoint, *, source: str) -> None:
        self._metrics.add('gateway_departures_total', source=source)
        log.info(
            'gateway: endpoint leaving', source=source, **leaving._asdict()
        )

"""Notes limits that endpoints name, and exchanges them with other gateways."""

from collections.abc import Iterable

import structlog

from cactusledge.gateway.clock import now
from cactusledge.gateway.endpoint_limits import EndpointLimits
from cactusledge.gateway.messages import EndpointAnswer, Replica
from cactusledge.records.gateway_messages import NamedLimit
from cactusledge.telemetry.metrics import Metrics

log = structlog.get_logger('gateway')


class LimitReports:
    """Adds limits from answers and other gateways, and logs what changes."""

    def __init__(self, limits: EndpointLimits, metrics: Metrics) -> None:
        """Stores where limits are kept and counted."""
        self._limits = limits
        self._metrics = metrics

    def note(self, replica: Replica, answer: EndpointAnswer) -> None:
        """Notes the limit that an answer names, or that it names none."""
        if answer.invalid_limit:
            # What was known before holds: the endpoint may still mean it.
            log.warning(
                'gateway: endpoint limit invalid',
                endpoint_id=replica.endpoint_id,
                found=answer.invalid_limit,
            )
            return
        if answer.limit_per_s is not None:
            self._add(replica, answer.limit_per_s, is_ended=False)
            return
        known = self._limits.known.find(replica.endpoint_id, replica.born_ms)
        if known is not None:
            self._add(replica, known.per_s, is_ended=True)

    def to_report(self) -> list[NamedLimit]:
        """Returns the limits that this gateway knows of."""
        return self._limits.known.to_report(now())

    def demands(self) -> dict[str, float]:
        """Returns the demand for limited endpoints, requests a second."""
        return self._limits.demands(now())

    def add_reported(self, reported: Iterable[NamedLimit]) -> None:
        """Adds limits that other gateways have seen."""
        for seen in self._limits.known.add_reported(reported, now()):
            self._log(seen, source='instance')

    def set_gateways(self, count: int) -> None:
        """Sets how many gateways share the limits; 0 if no store grants."""
        self._limits.set_gateways(count, now())

    def _add(self, replica: Replica, per_s: float, *, is_ended: bool) -> None:
        seen = NamedLimit(
            replica.endpoint_id, replica.born_ms, per_s, 0, is_ended
        )
        if self._limits.known.add(seen, now()):
            self._log(seen, source='answer')

    def _log(self, seen: NamedLimit, *, source: str) -> None:
        self._metrics.add(
            'gateway_endpoint_limits_total',
            change='ended' if seen.is_ended else 'named',
            source=source,
        )
        log.info('gateway: endpoint limit', source=source, **seen._asdict())

"""Notes requests that crash endpoints, and tells other gateways of them."""

import asyncio

import structlog

from cactusledge.gateway.clock import now
from cactusledge.gateway.endpoint_ends import EndedEndpoint
from cactusledge.records.crash_evidence import CrashEvidence
from cactusledge.records.gateway_messages import (
    CrashedRun,
    CrashReport,
    RequestKeys,
)
from cactusledge.telemetry.metrics import Metrics

log = structlog.get_logger('gateway')


class CrashReports:
    """Adds evidence from this gateway and from others, and logs new stops."""

    def __init__(self, evidence: CrashEvidence, metrics: Metrics) -> None:
        """Stores where evidence is kept and counted."""
        self.news = asyncio.Event()
        self._evidence = evidence
        self._metrics = metrics

    def note_ended(self, ended: EndedEndpoint) -> None:
        """Notes the requests that ran on an endpoint that has ended."""
        replica = ended.replica
        age_s = now() - ended.at_s
        for keys in ended.running:
            run = CrashedRun(replica.endpoint_id, replica.born_ms, keys, age_s)
            self._add(run, source='endpoint')
        self.news.set()

    def note_answered(self, keys: RequestKeys) -> None:
        """Notes that an endpoint has answered a request."""
        self._evidence.add_answered(keys, now())

    def to_report(self) -> CrashReport:
        """Returns what other gateways may not know yet."""
        return self._evidence.to_report(now())

    def add_reported(self, report: CrashReport) -> None:
        """Adds what other gateways have seen."""
        self._evidence.add_answered_keys(report.answered, now())
        for run in report.runs:
            self._add(run, source='instance')

    def _add(self, run: CrashedRun, *, source: str) -> None:
        was_stopped = self._evidence.stopped_for_s(run.keys, now()) > 0
        is_new = self._evidence.add(run, now())
        stopped_for_s = self._evidence.stopped_for_s(run.keys, now())
        if is_new and stopped_for_s and not was_stopped:
            self._metrics.add('gateway_stopped_requests_total', source=source)
            log.warning(
                'gateway: request stopped',
                source=source,
                request_key=run.keys.exact,
                target_key=run.keys.target,
                endpoint_id=run.endpoint_id,
                ends=self._evidence.suspicion(run.keys),
                for_s=round(stopped_for_s, 1),
            )

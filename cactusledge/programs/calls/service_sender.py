"""Sends service calls; a non-idempotent call is sent at most once."""

import time
from contextlib import AbstractContextManager
from typing import Protocol

from opentelemetry.trace import SpanKind

from cactusledge.endpoints.attempts import Attempts
from cactusledge.endpoints.errors import EndpointError
from cactusledge.endpoints.service import ServiceAnswer, ServiceClient
from cactusledge.errors import CactusledgeError
from cactusledge.models import Answer, CallSpec, Outcome
from cactusledge.programs.calls.sending import (
    MAX_ATTEMPTS,
    Lease,
    LeaseScope,
    Routing,
    SendResult,
    may_retry,
)
from cactusledge.programs.calls.tasks import CallTask, Headers
from cactusledge.settings.configuration import Operation
from cactusledge.telemetry.traces import Traces

STATUS_TIMEOUT_S = 5.0


class PauseNotifier(Protocol):
    """Reports the pauses of programs that wait for a tool."""

    def pause(self, task: CallTask) -> AbstractContextManager[None]:
        """Reports that a program waits for a tool during the `with` block."""


class OperationLookup(Protocol):
    """Finds the definition of a call's operation."""

    def __call__(self, spec: CallSpec) -> Operation:
        """Returns the operation; raises UnknownNameError."""


class ServiceSender:
    """Sends service calls; a non-idempotent call is sent at most once."""

    def __init__(
        self,
        routing: Routing,
        services: ServiceClient,
        operations: OperationLookup,
        traces: Traces,
        pauses: PauseNotifier,
    ) -> None:
        """Sets up the sender.

        Args:
            routing: Leases replicas.
            services: Client for the replicas.
            operations: Looks up the definition of an operation.
            traces: Creates the spans of requests.
            pauses: Reports tool pauses.
        """
        self._pauses = pauses
        self._traces = traces
        self._routing = routing
        self._services = services
        self._operations = operations

    def send(self, task: CallTask, headers: Headers) -> SendResult:
        """Calls the service; retries only idempotent calls."""
        with self._pauses.pause(task):
            return self._send(task, headers)

    def _send(self, task: CallTask, headers: Headers) -> SendResult:
        attempts = Attempts()
        limit = MAX_ATTEMPTS if task.spec.idempotent else 1
        avoid: list[str] = []
        for _ in range(limit):
            try:
                return self._attempt(task, headers, avoid)
            except CactusledgeError as exc:
                attempts.record_failure(exc)
                if not may_retry(exc, task):
                    break
        raise attempts.error()

    def _attempt(
        self,
        task: CallTask,
        headers: Headers,
        avoid: list[str],
    ) -> SendResult:
        lease = self._routing.lease_service(task.spec.target, tuple(avoid))
        avoid.append(lease.endpoint.name)
        try:
            answer = self._call(task, lease, headers)
        except EndpointError as exc:
            return self._resolve_unknown(task.spec, lease, exc)
        return _service_result(task.spec, answer, lease.endpoint.name)

    def _call(
        self,
        task: CallTask,
        lease: Lease,
        headers: Headers,
    ) -> ServiceAnswer:
        spec = task.spec
        operation = self._operations(spec)
        timeout_s = time.monotonic() + operation.timeout_s
        with (
            LeaseScope(self._routing, lease),
            self._traces.span('service request', kind=SpanKind.CLIENT),
        ):
            return self._services.call(
                lease.endpoint,
                spec.operation,
                spec.body,
                idempotent=spec.idempotent,
                key=service_key(spec),
                deadline_s=min(task.deadline_s, timeout_s),
                headers={**headers, **self._traces.headers()},
            )

    def _resolve_unknown(
        self,
        spec: CallSpec,
        lease: Lease,
        failure: EndpointError,
    ) -> SendResult:
        """Queries the replica whether a call of unknown outcome ran.

        Only the reply "ran" is conclusive, because after "not run" the call
        may still arrive at the replica.
        """
        operation = self._operations(spec)
        if failure.outcome is not Outcome.UNKNOWN or not operation.status_query:
            raise failure
        try:
            outcome = self._services.query_status(
                lease.endpoint,
                operation.status_query,
                service_key(spec),
                deadline_s=time.monotonic() + STATUS_TIMEOUT_S,
            )
        except EndpointError:
            raise failure from None
        if outcome is not Outcome.RAN:
            raise failure
        answer = ServiceAnswer(0, {'answer_lost': True})
        return _service_result(spec, answer, lease.endpoint.name)


def service_key(spec: CallSpec) -> str:
    """Returns the idempotency key sent to the service."""
    return f'{spec.program_id}:{spec.seq}:{spec.key}'


def _service_result(
    spec: CallSpec, service_answer: ServiceAnswer, endpoint: str
) -> SendResult:
    body = (
        service_answer.body
        if isinstance(service_answer.body, dict)
        else {'value': service_answer.body}
    )
    answer = Answer(
        program_id=spec.program_id,
        seq=spec.seq,
        outcome=Outcome.RAN,
        status=service_answer.status,
        body=body,
        spent=spec.reserve,
    )
    return SendResult(answer, endpoint)

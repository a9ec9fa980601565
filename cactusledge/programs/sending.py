"""Sends calls to endpoints; one sender for each kind of call."""

import time
import uuid
from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager, suppress
from http import HTTPStatus
from typing import Any, NamedTuple, Protocol, Self

from opentelemetry.trace import SpanKind

from cactusledge.endpoints.attempts import Attempts
from cactusledge.endpoints.engine import EngineClient, Finished
from cactusledge.endpoints.errors import (
    EndpointError,
    EndpointFailedError,
    EndpointRejectedError,
)
from cactusledge.endpoints.service import ServiceAnswer, ServiceClient
from cactusledge.errors import CactusledgeError
from cactusledge.models import (
    Answer,
    CallSpec,
    Endpoint,
    Outcome,
    Usage,
)
from cactusledge.programs.prompt import history_messages
from cactusledge.programs.tasks import CallTask
from cactusledge.settings.configuration import Operation
from cactusledge.telemetry.traces import Traces

MAX_ATTEMPTS = 4
STATUS_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 1.0

Headers = Mapping[str, str]


class Sent(NamedTuple):
    """What became of a call at the endpoints."""

    answer: Answer
    endpoint: str = ''
    touched: tuple[str, ...] = ()  # every engine that it was tried on


class Lease(NamedTuple):
    """The right to send one call to one endpoint."""

    endpoint: Endpoint
    ticket: Any = None  # for the routing alone


class LeaseReport(NamedTuple):
    """How a leased call went."""

    latency_s: float
    usage: Usage = Usage()
    error: BaseException | None = None


class ModelRequest(NamedTuple):
    """What the routing needs to know of a model call."""

    task: CallTask
    messages: list[Mapping[str, Any]]
    attempt: int
    avoid: tuple[str, ...]  # endpoints that failed it


class Routing(Protocol):
    """Chooses endpoints and learns how the calls went."""

    def lease_engine(self, req: ModelRequest) -> Lease:
        """Waits for an engine; raises OverloadedError for a refusal."""

    def lease_service(self, service: str, avoid: tuple[str, ...]) -> Lease:
        """Returns a replica of a service; raises when there is none."""

    def finish(self, lease: Lease, report: LeaseReport) -> None:
        """Gives a lease back."""


class LeaseUse:
    """Gives a lease back at the end of a `with` block, however it ends."""

    def __init__(self, routing: Routing, lease: Lease) -> None:
        """Starts the clock."""
        self._routing = routing
        self._lease = lease
        self._began_s = time.monotonic()
        self.usage = Usage()

    def __enter__(self) -> Self:
        """Returns this object, whose `usage` may be set."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: object,
    ) -> None:
        """Reports the call; it went well unless an exception ended it."""
        latency_s = time.monotonic() - self._began_s
        report = LeaseReport(latency_s, self.usage, exc)
        self._routing.finish(self._lease, report)


class Sender(Protocol):
    """Sends calls of one kind."""

    def send(self, task: CallTask, headers: Headers) -> Sent:
        """Sends the call as often as its kind allows."""


class ModelSender:
    """Sends model calls: they are idempotent and may be tried elsewhere."""

    def __init__(
        self,
        routing: Routing,
        engines: EngineClient,
        units_per_token: Callable[[str], int],
        traces: Traces,
    ) -> None:
        """Keeps the routing, the client and the price of a model's token."""
        self._traces = traces
        self._routing = routing
        self._engines = engines
        self._units_per_token = units_per_token

    def send(self, task: CallTask, headers: Headers) -> Sent:
        """Streams the answer; goes on at another engine when one fails."""
        prefix = task.program.common_prefix
        messages = [
            *history_messages(task.state, prefix),
            *task.spec.body['messages'],
        ]
        touched: list[str] = []
        attempts = Attempts()
        for attempt in range(MAX_ATTEMPTS):
            req = ModelRequest(task, messages, attempt, tuple(touched))
            try:
                finished = self._try(req, headers, touched)
            except CactusledgeError as exc:
                attempts.note(exc)
                if not _may_retry(exc, task):
                    break
                task.stream.restart()
                continue
            price = self._units_per_token(task.spec.target)
            return _model_sent(task.spec, finished, touched, price)
        answer = failed(task.spec, attempts.error())
        return Sent(answer, touched=tuple(touched))

    def _try(
        self,
        req: ModelRequest,
        headers: Headers,
        touched: list[str],
    ) -> Finished:
        lease = self._routing.lease_engine(req)
        touched.append(lease.endpoint.name)
        request_id = f'{req.task.spec.program_id}:{uuid.uuid4().hex}'
        try:
            return self._stream(req, lease, headers, request_id)
        except EndpointFailedError:
            self._cancel(lease.endpoint, request_id)
            raise

    def _cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Has an engine stop generating what nobody waits for."""
        with suppress(EndpointError):
            self._engines.cancel(
                endpoint,
                request_id,
                deadline_s=time.monotonic() + CANCEL_TIMEOUT_S,
            )

    def _stream(
        self,
        req: ModelRequest,
        lease: Lease,
        headers: Headers,
        request_id: str,
    ) -> Finished:
        spec = req.task.spec
        body = {
            'model': spec.target,
            'messages': req.messages,
            'max_tokens': spec.max_output_tokens,
        }
        with (
            LeaseUse(self._routing, lease) as use,
            self._traces.span('engine request', kind=SpanKind.CLIENT),
        ):
            for event in self._engines.stream(
                lease.endpoint,
                body,
                request_id=request_id,
                deadline_s=req.task.deadline_s,
                headers={**headers, **self._traces.headers()},
            ):
                if isinstance(event, Finished):
                    use.usage = event.usage
                    return event
                req.task.stream.put_text(event.text)
        raise AssertionError('A stream ends with its whole answer.')


class ServiceSender:
    """Sends service calls: one that is not idempotent exactly once."""

    def __init__(
        self,
        routing: Routing,
        services: ServiceClient,
        operations: 'OperationLookup',
        traces: Traces,
        events: 'PauseEvents',
    ) -> None:
        """Keeps the routing, the client and the definitions."""
        self._events = events
        self._traces = traces
        self._routing = routing
        self._services = services
        self._operations = operations

    def send(self, task: CallTask, headers: Headers) -> Sent:
        """Calls the service; only an idempotent call is tried again."""
        with self._events.pause(task):
            return self._send(task, headers)

    def _send(self, task: CallTask, headers: Headers) -> Sent:
        attempts = Attempts()
        limit = MAX_ATTEMPTS if task.spec.idempotent else 1
        avoid: list[str] = []
        for _ in range(limit):
            try:
                return self._try(task, headers, avoid)
            except CactusledgeError as exc:
                attempts.note(exc)
                if not _may_retry(exc, task):
                    break
        raise attempts.error()

    def _try(
        self,
        task: CallTask,
        headers: Headers,
        avoid: list[str],
    ) -> Sent:
        lease = self._routing.lease_service(task.spec.target, tuple(avoid))
        avoid.append(lease.endpoint.name)
        try:
            answer = self._call(task, lease, headers)
        except EndpointError as exc:
            return self._settle(task.spec, lease, exc)
        return _service_sent(task.spec, answer, lease.endpoint.name)

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
            LeaseUse(self._routing, lease),
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

    def _settle(
        self,
        spec: CallSpec,
        lease: Lease,
        failure: EndpointError,
    ) -> Sent:
        """Asks the replica whether a call of unknown outcome ran.

        A replica that says "not run" may still have the call on its way, so
        only "ran" settles it.
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
        return _service_sent(spec, answer, lease.endpoint.name)


class PauseEvents(Protocol):
    """Learns of the pauses that programs make for their tools."""

    def pause(self, task: CallTask) -> AbstractContextManager[None]:
        """Takes note that a program waits for a tool within the block."""


class OperationLookup(Protocol):
    """Finds the definition of a call's operation."""

    def __call__(self, spec: CallSpec) -> Operation:
        """Returns the operation; raises UnknownNameError."""


def service_key(spec: CallSpec) -> str:
    """Returns the idempotency key that a service sees for a call."""
    return f'{spec.program_id}:{spec.seq}:{spec.key}'


def failed(spec: CallSpec, exc: CactusledgeError) -> Answer:
    """Returns the final answer of a call that an error ended."""
    code = exc.code
    remedy = exc.remedy
    if exc.outcome is Outcome.UNKNOWN:
        remedy = _unknown_remedy(spec)
    return Answer(
        program_id=spec.program_id,
        seq=spec.seq,
        outcome=exc.outcome,
        status=getattr(exc, 'status', 0),
        body={'message': exc.message},
        spent=0,
        code=str(code),
        remedy=remedy,
        retry_after_s=exc.retry_after_s,
    )


def _may_retry(exc: CactusledgeError, task: CallTask) -> bool:
    """Returns whether another endpoint may do better, in time."""
    is_transient = isinstance(exc, EndpointError) and not isinstance(
        exc,
        EndpointRejectedError,
    )
    return is_transient and time.monotonic() < task.deadline_s


def _unknown_remedy(spec: CallSpec) -> str:
    if spec.idempotent:
        return 'Make the call again with the next sequence number.'
    return (
        'Ask the service whether it ran; it is never sent again. '
        'Go on with the next sequence number.'
    )


def _model_sent(
    spec: CallSpec,
    done: Finished,
    touched: list[str],
    units_per_token: int,
) -> Sent:
    used = done.usage.prompt_tokens + done.usage.output_tokens
    answer = Answer(
        program_id=spec.program_id,
        seq=spec.seq,
        outcome=Outcome.RAN,
        status=HTTPStatus.OK,
        body={'text': done.text, 'finish_reason': done.finish_reason},
        spent=used * units_per_token,
        usage=done.usage,
    )
    return Sent(answer, touched[-1], tuple(touched))


def _service_sent(spec: CallSpec, done: ServiceAnswer, endpoint: str) -> Sent:
    body = done.body if isinstance(done.body, dict) else {'value': done.body}
    answer = Answer(
        program_id=spec.program_id,
        seq=spec.seq,
        outcome=Outcome.RAN,
        status=done.status,
        body=body,
        spent=spec.reserve,
    )
    return Sent(answer, endpoint)

"""Shared types and helpers of the model and service senders."""

import time
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol, Self

from cactusledge.endpoints.errors import EndpointError, EndpointRejectedError
from cactusledge.errors import CactusledgeError
from cactusledge.models import Answer, CallSpec, Endpoint, Outcome, Usage
from cactusledge.programs.calls.tasks import CallTask, Headers

MAX_ATTEMPTS = 4


class SendResult(NamedTuple):
    """The answer of a call and the endpoints it was sent to."""

    answer: Answer
    endpoint: str = ''
    touched: tuple[str, ...] = ()  # every engine that was tried


class Lease(NamedTuple):
    """The right to send one call to one endpoint."""

    endpoint: Endpoint
    grant: Any = None  # used by the routing only


class LeaseReport(NamedTuple):
    """Latency, usage and error of a leased call."""

    latency_s: float
    usage: Usage = Usage()
    error: BaseException | None = None


class ModelRequest(NamedTuple):
    """A model call as the routing needs it to choose an engine."""

    task: CallTask
    messages: list[Mapping[str, Any]]
    attempt: int
    avoid: tuple[str, ...]  # endpoints already tried


class Routing(Protocol):
    """Chooses endpoints and receives reports on the calls."""

    def lease_engine(self, req: ModelRequest) -> Lease:
        """Waits for an engine; raises OverloadedError if refused."""

    def lease_service(self, service: str, avoid: tuple[str, ...]) -> Lease:
        """Returns a replica of a service; raises when there is none."""

    def finish(self, lease: Lease, report: LeaseReport) -> None:
        """Returns a lease with the report on its call."""


class LeaseScope:
    """Context manager that returns a lease, also after an exception."""

    def __init__(self, routing: Routing, lease: Lease) -> None:
        """Starts the clock."""
        self._routing = routing
        self._lease = lease
        self._started_s = time.monotonic()
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
        """Returns the lease; the call failed if an exception ended it."""
        latency_s = time.monotonic() - self._started_s
        report = LeaseReport(latency_s, self.usage, exc)
        self._routing.finish(self._lease, report)


class Sender(Protocol):
    """Sends calls of one kind."""

    def send(self, task: CallTask, headers: Headers) -> SendResult:
        """Sends the call, with retries where its kind allows them."""


def failed_answer(spec: CallSpec, exc: CactusledgeError) -> Answer:
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


def may_retry(exc: CactusledgeError, task: CallTask) -> bool:
    """Returns whether to try another endpoint before the deadline."""
    is_transient = isinstance(exc, EndpointError) and not isinstance(
        exc,
        EndpointRejectedError,
    )
    return is_transient and time.monotonic() < task.deadline_s


def _unknown_remedy(spec: CallSpec) -> str:
    if spec.idempotent:
        return 'Send the call again with the next sequence number.'
    return (
        'Ask the service whether the call ran; it is not sent again. '
        'Go on with the next sequence number.'
    )

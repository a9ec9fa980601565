"""Sends model calls as streams and retries them on other engines."""

import time
import uuid
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus

from opentelemetry.trace import SpanKind

from cactusledge.endpoints.attempts import Attempts
from cactusledge.endpoints.engine import EngineClient, Finished
from cactusledge.endpoints.errors import EndpointError, EndpointFailedError
from cactusledge.errors import CactusledgeError
from cactusledge.models import Answer, CallSpec, Endpoint, Outcome
from cactusledge.programs.calls.prompt import history_messages
from cactusledge.programs.calls.sending import (
    MAX_ATTEMPTS,
    Lease,
    LeaseScope,
    ModelRequest,
    Routing,
    SendResult,
    failed_answer,
    may_retry,
)
from cactusledge.programs.calls.tasks import CallTask, Headers
from cactusledge.telemetry.traces import Traces

CANCEL_TIMEOUT_S = 1.0


class ModelSender:
    """Sends model calls; they are idempotent, so other engines may retry."""

    def __init__(
        self,
        routing: Routing,
        engines: EngineClient,
        units_per_token: Callable[[str], int],
        traces: Traces,
    ) -> None:
        """Sets up the sender.

        Args:
            routing: Leases engines.
            engines: Client for the engines.
            units_per_token: Returns the price of a model's token.
            traces: Creates the spans of requests.
        """
        self._traces = traces
        self._routing = routing
        self._engines = engines
        self._units_per_token = units_per_token

    def send(self, task: CallTask, headers: Headers) -> SendResult:
        """Streams the answer; retries on another engine after a failure."""
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
                finished = self._attempt(req, headers, touched)
            except CactusledgeError as exc:
                attempts.record_failure(exc)
                if not may_retry(exc, task):
                    break
                task.stream.restart()
                continue
            price = self._units_per_token(task.spec.target)
            return _model_result(task.spec, finished, touched, price)
        answer = failed_answer(task.spec, attempts.error())
        return SendResult(answer, touched=tuple(touched))

    def _attempt(
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
        """Cancels a request whose output is no longer needed."""
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
            LeaseScope(self._routing, lease) as use,
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
        raise AssertionError('The engine stream ended without a final answer.')


def _model_result(
    spec: CallSpec,
    finished: Finished,
    touched: list[str],
    units_per_token: int,
) -> SendResult:
    used = finished.usage.prompt_tokens + finished.usage.output_tokens
    answer = Answer(
        program_id=spec.program_id,
        seq=spec.seq,
        outcome=Outcome.RAN,
        status=HTTPStatus.OK,
        body={'text': finished.text, 'finish_reason': finished.finish_reason},
        spent=used * units_per_token,
        usage=finished.usage,
    )
    return SendResult(answer, touched[-1], tuple(touched))

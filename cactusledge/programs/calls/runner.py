"""Runs calls in worker threads, from the intent to the recorded answer."""

import time
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import pykka

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Answer, CallKind, Outcome
from cactusledge.programs import messages as msg
from cactusledge.programs.calls.fenced import FencedCallRetrier
from cactusledge.programs.calls.sending import Sender, SendResult, failed_answer
from cactusledge.programs.calls.tasks import CallTask
from cactusledge.programs.errors import platform_down_error
from cactusledge.protocol.errors import FencedError
from cactusledge.telemetry.logs import get_logger
from cactusledge.telemetry.metrics import Metrics
from cactusledge.telemetry.traces import Traces

INTENT_TIMEOUT_S = 5.0
DRIVER_TIMEOUT_S = 30.0

log = get_logger('calls')


class Durability(Protocol):
    """Waits until records are durable, or until a peer holds a copy."""

    def wait(self, future: Any) -> bool:
        """Returns whether the records are durable.

        Raises:
            FencedError: Another owner sealed the log.
        """


class InternalCallError(CactusledgeError):
    """An internal error ended the call; it may have run."""

    code = ErrorCode.INTERNAL
    outcome = Outcome.UNKNOWN


class NotSentError(CactusledgeError):
    """The call's intent was not recorded, so this instance did not send it."""

    code = ErrorCode.FENCED


class CallRunner:
    """Waits for a call's intent, sends the call and records its outcome."""

    def __init__(
        self,
        senders: Mapping[CallKind, Sender],
        durability: Durability,
        traces: Traces,
        metrics: Metrics,
        retrier: FencedCallRetrier,
        release: Callable[[str, str], None],
    ) -> None:
        """Sets up the runner.

        Args:
            senders: Senders by kind of call.
            durability: Waits until records are durable.
            traces: Creates the spans of calls.
            metrics: Counts calls and tokens.
            retrier: Repeats a call at the new owner of a lost log.
            release: Releases a program's cache at an engine.
        """
        self._retrier = retrier
        self._release = release
        self._senders = senders
        self._durability = durability
        self._traces = traces
        self._metrics = metrics

    def run(self, task: CallTask) -> None:
        """Runs the call; its stream always ends with an answer."""
        parent = {'traceparent': task.traceparent} if task.traceparent else None
        started_s = time.monotonic()
        with self._traces.span(
            f'{task.spec.kind} call',
            parent,
            program_id=task.spec.program_id,
            seq=task.spec.seq,
        ):
            sent = self._send(task)
            answer = self._record(task, sent)
        task.stream.finish(answer)
        self._record_metrics(task, answer, time.monotonic() - started_s)

    def _send(self, task: CallTask) -> SendResult:
        try:
            if not task.spec.idempotent:
                _await_intent(task)
            return self._senders[task.spec.kind].send(
                task,
                _headers(task),
            )
        except CactusledgeError as exc:
            log.info('Call failed.', code=str(exc.code), reason=exc.message)
            return SendResult(failed_answer(task.spec, exc))
        except Exception as exc:
            log.exception(
                'Call failed with an internal error.',
                program_id=task.spec.program_id,
            )
            return SendResult(failed_answer(task.spec, _internal_error(exc)))

    def _record(self, task: CallTask, sent: SendResult) -> Answer:
        """Records the outcome and returns the answer.

        Waits until the record is durable or held by a peer, if possible.
        """
        finish = msg.Finish(
            task.spec.program_id,
            task.spec.seq,
            sent.answer,
            sent.endpoint,
            sent.touched,
        )
        try:
            recorded: Any = task.driver.ask(finish, timeout=DRIVER_TIMEOUT_S)
            if sent.answer.outcome is Outcome.NOT_RUN:
                return sent.answer
            durable = self._durability.wait(recorded.durable)
        except (pykka.ActorDeadError, FencedError):
            return self._answer_after_fencing(task, sent)
        except Exception:
            log.exception(
                'Outcome not recorded.', program_id=task.spec.program_id
            )
            return sent.answer._replace(durable=False)
        answer: Answer = recorded.reply
        return answer._replace(durable=durable)

    def _answer_after_fencing(self, task: CallTask, sent: SendResult) -> Answer:
        """Returns the answer of a call whose log has a new owner.

        A call that may have run and must not be repeated keeps its answer,
        marked as not durable. Any other call is repeated at the new owner.
        That owner does not know the engines tried here, so this instance
        releases their caches.
        """
        for engine in sent.touched:
            self._release(engine, task.spec.program_id)
        has_run = sent.answer.outcome is not Outcome.NOT_RUN
        if has_run and not task.spec.idempotent:
            return sent.answer._replace(durable=False)
        return self._retrier.retry(task)

    def _record_metrics(
        self, task: CallTask, answer: Answer, duration_s: float
    ) -> None:
        metrics = self._metrics
        kind = str(task.spec.kind)
        metrics.add('calls_total', kind=kind, outcome=str(answer.outcome))
        metrics.observe('call_seconds', duration_s, kind=kind)
        program = task.program.name
        metrics.add('spent_units_total', answer.spent, program=program)
        if task.spec.kind is CallKind.MODEL:
            usage = answer.usage
            model = task.spec.target
            metrics.add('prompt_tokens_total', usage.prompt_tokens, model=model)
            metrics.add('cached_tokens_total', usage.cached_tokens, model=model)


def _headers(task: CallTask) -> dict[str, str]:
    return {
        'X-Program-Id': task.spec.program_id,
        'X-Sequence': str(task.spec.seq),
    }


def _await_intent(task: CallTask) -> None:
    """Waits until the intent is durable, before the call is sent."""
    if task.intent is None:
        return
    try:
        task.intent.get(timeout=INTENT_TIMEOUT_S)
    except pykka.Timeout:
        raise platform_down_error() from None
    except FencedError as exc:
        raise NotSentError(
            'Another instance drives the program now.',
            remedy='Repeat the call with the same seq and key.',
        ) from exc


def _internal_error(exc: Exception) -> InternalCallError:
    return InternalCallError(
        f'The call failed inside the instance: {type(exc).__name__}.',
        remedy='Report the error from the log of the instance.',
    )

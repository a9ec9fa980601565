"""Retries calls whose log another instance has sealed."""

import time
from collections.abc import Callable
from itertools import chain

from cactusledge.errors import CactusledgeError
from cactusledge.models import Answer
from cactusledge.programs.calls.sending import failed_answer
from cactusledge.programs.calls.stream import CallStream
from cactusledge.programs.calls.tasks import CallTask
from cactusledge.programs.errors import program_moved_error
from cactusledge.programs.views import CallArgs

MIN_FOLLOW_S = 5.0


class FencedCallRetrier:
    """Repeats the request of a fenced call at the log's new owner.

    The new owner joins the call, returns its stored answer, reports its
    outcome as UNKNOWN, or runs it if it was never recorded in the log.
    """

    def __init__(self) -> None:
        """Creates a retrier; set `repeat_call` before the first call."""
        self.repeat_call: Callable[[CallArgs], CallStream] | None = None

    def retry(self, task: CallTask) -> Answer:
        """Returns the new owner's answer and copies its text to the stream."""
        if self.repeat_call is None:
            raise RuntimeError('Set `repeat_call` before the first call.')
        task.stream.restart()
        try:
            stream = self.repeat_call(_args_of(task))
        except CactusledgeError as exc:
            return failed_answer(task.spec, exc)
        min_deadline_s = time.monotonic() + MIN_FOLLOW_S
        deadline_s = max(task.deadline_s, min_deadline_s)
        for event in chain.from_iterable(stream.follow(deadline_s)):
            if isinstance(event, Answer):
                return event
            task.stream.put_text(event.text)
        return failed_answer(
            task.spec, program_moved_error(task.spec.program_id)
        )


def _args_of(task: CallTask) -> CallArgs:
    spec = task.spec
    return CallArgs(
        account=task.state.account,
        program_id=spec.program_id,
        seq=spec.seq,
        key=spec.key,
        kind=spec.kind,
        target=spec.target,
        operation=spec.operation,
        body=spec.body,
        max_output_tokens=spec.max_output_tokens,
        traceparent=task.traceparent,
    )

"""Runs blocking jobs and delays of an actor in an executor."""

import contextlib
import threading
from collections.abc import Callable
from concurrent.futures import Executor
from typing import Any, NamedTuple

import pykka

MAX_DOUBLINGS = 10  # bounds the shift; `cap_s` limits the delay


class RetryDelay(NamedTuple):
    """Exponential backoff with a cap and jitter."""

    base_s: float
    cap_s: float
    jitter: Callable[[], float]  # in [0, 1)

    def after(self, retries: int) -> float:
        """Returns the delay before the next attempt."""
        doubled_s = self.base_s * (1 << min(retries, MAX_DOUBLINGS))
        half_s = min(doubled_s, self.cap_s) / 2
        return half_s + half_s * self.jitter()


class JobRunner:
    """Runs jobs in an executor and sends their results to an actor."""

    def __init__(
        self,
        ref: 'pykka.ActorRef[Any]',
        executor: Executor,
        stopping: threading.Event,
    ) -> None:
        """Creates a runner for one actor; setting `stopping` ends delays."""
        self._ref = ref
        self._executor = executor
        self._stopping = stopping

    def run(self, job: Callable[[], Any]) -> None:
        """Runs the job and sends its result to the actor."""
        with contextlib.suppress(RuntimeError):  # the executor was shut down
            self._executor.submit(self._report, job)

    def tell_later(self, delay_s: float, message: Any) -> None:
        """Sends the message to the actor after the delay, or at once if 0."""
        if delay_s <= 0:
            self._ref.tell(message)
            return
        with contextlib.suppress(RuntimeError):
            self._executor.submit(self._tell_after_delay, delay_s, message)

    def _report(self, job: Callable[[], Any]) -> None:
        outcome = job()
        with contextlib.suppress(pykka.ActorDeadError):
            self._ref.tell(outcome)

    def _tell_after_delay(self, delay_s: float, message: Any) -> None:
        self._stopping.wait(delay_s)
        with contextlib.suppress(pykka.ActorDeadError):
            self._ref.tell(message)

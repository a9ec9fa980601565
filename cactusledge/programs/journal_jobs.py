"""Runs an actor's blocking jobs and delays in an executor."""

import contextlib
import threading
from collections.abc import Callable
from concurrent.futures import Executor
from typing import Any, NamedTuple

import pykka

MAX_DOUBLINGS = 10


class RetryDelay(NamedTuple):
    """Delays that double from try to try, with jitter."""

    base_s: float
    cap_s: float
    jitter: Callable[[], float]  # in [0, 1)

    def after(self, retries: int) -> float:
        """Returns the delay before the next try."""
        doubled_s = self.base_s * (1 << min(retries, MAX_DOUBLINGS))
        half_s = min(doubled_s, self.cap_s) / 2
        return half_s + half_s * self.jitter()


class JobRunner:
    """Sends the result of each job to the actor as a message."""

    def __init__(
        self,
        ref: 'pykka.ActorRef[Any]',
        executor: Executor,
        stopping: threading.Event,
    ) -> None:
        """Keeps the receiver; `stopping` cuts delays short."""
        self._ref = ref
        self._executor = executor
        self._stopping = stopping

    def run(self, job: Callable[[], Any]) -> None:
        """Runs the job, then tells the actor its result."""
        with contextlib.suppress(RuntimeError):  # the executor was shut down
            self._executor.submit(self._report, job)

    def tell_later(self, delay_s: float, message: Any) -> None:
        """Tells the actor the message after the delay, if there is one."""
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

"""Scheduler state of a single engine."""

import statistics
from typing import NamedTuple

from cactusledge.routing.types import EngineView, Job

PREFILL_SHARE = 0.7  # of the prefill rate, while the engine also decodes


class Running(NamedTuple):
    """A granted job that has not finished."""

    job: Job
    engine: str
    granted_s: float
    cached_tokens: int  # estimated at the time of the grant
    expected_s: float


class EngineState:
    """The granted jobs of one engine and its reported load."""

    def __init__(self, view: EngineView) -> None:
        """Initializes the state without granted jobs."""
        self.view = view
        self.running: dict[str, Running] = {}
        self.committed_tokens = 0
        self.failures = 0  # consecutive
        self.listed = True
        self.foreign_sequences = 0  # sent by other owners of the group
        self._own_at_report = 0
        self._excess_at_report = 0
        self._prefill_free_s: float = 0

    def accepts_jobs(self) -> bool:
        """Returns whether the engine may get new jobs."""
        return self.listed and not self.view.leaving

    def start(self, running: Running, prefill_s: float) -> None:
        """Adds a granted job.

        Args:
            running: The job.
            prefill_s: Time of its prefill on an otherwise idle engine.
        """
        self.running[running.job.job_id] = running
        begins_s = max(running.granted_s, self._prefill_free_s)
        self._prefill_free_s = begins_s + prefill_s / PREFILL_SHARE
        self.committed_tokens += peak_tokens(running.job)

    def stop(self, job_id: str) -> None:
        """Removes a granted job."""
        running = self.running.pop(job_id)
        self.committed_tokens -= peak_tokens(running.job)

    def apply_report(self, sequences: int) -> None:
        """Applies the number of sequences in an engine's load report.

        Reports lag, so sequences are attributed to another owner of the
        group only if two consecutive reports exceed the jobs sent from here.
        """
        own = len(self.running)
        excess = max(0, sequences - max(own, self._own_at_report))
        self.foreign_sequences = min(excess, self._excess_at_report)
        self._own_at_report = own
        self._excess_at_report = excess

    def prefill_wait_s(self, now: float) -> float:
        """Returns the expected time until all granted prefills are done."""
        if not self.running:
            return 0
        return max(0, self._prefill_free_s - now)

    def fits(self, job: Job, batch_share: float, memory_share: float) -> bool:
        """Returns whether the engine can batch the job immediately."""
        limits = self.view.limits
        slots = max(1, round(limits.max_batch * batch_share))
        if len(self.running) + self.foreign_sequences >= slots:
            return False
        room = limits.kv_tokens * memory_share - self.committed_tokens
        return not self.running or peak_tokens(job) <= room

    def load(self) -> float:
        """Returns the fraction of the batch in use."""
        return len(self.running) / self.view.limits.max_batch

    def slot_interval_s(self) -> float:
        """Returns the expected time between completions of running jobs."""
        if not self.running:
            return 0
        mean_s = statistics.fmean(
            running.expected_s for running in self.running.values()
        )
        return mean_s / len(self.running)


def peak_tokens(job: Job) -> int:
    """Returns the KV memory, in tokens, that a job needs at its end."""
    return job.prompt_tokens + job.max_output_tokens

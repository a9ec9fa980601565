"""State that a scheduler keeps of each engine."""

import statistics
from typing import NamedTuple

from cactusledge.routing.types import EngineView, Job

PREFILL_SHARE = 0.7  # of an engine, while it prefills and decodes


class Running(NamedTuple):
    """A granted job that has not been finished."""

    job: Job
    engine: str
    granted_s: float
    cached_tokens: int  # believed at the time of the grant
    expected_s: float


class EngineState:
    """One engine's sent jobs and the programs whose cache it holds."""

    def __init__(self, view: EngineView) -> None:
        """Starts with nothing sent."""
        self.view = view
        self.running: dict[str, Running] = {}
        self.committed_tokens = 0
        self.failures = 0  # in a row
        self.listed = True
        self.foreign_sequences = 0  # sequences that others have sent
        self._own_at_report = 0
        self._excess_at_report = 0
        self._prefill_free_s: float = 0

    def accepts_jobs(self) -> bool:
        """Returns whether the engine may get new jobs."""
        return self.listed and not self.view.leaving

    def start(self, running: Running, prefill_s: float) -> None:
        """Adds a granted job whose prefill takes some time alone."""
        self.running[running.job.job_id] = running
        begins_s = max(running.granted_s, self._prefill_free_s)
        self._prefill_free_s = begins_s + prefill_s / PREFILL_SHARE
        self.committed_tokens += peak_tokens(running.job)

    def stop(self, job_id: str) -> None:
        """Removes a granted job."""
        running = self.running.pop(job_id)
        self.committed_tokens -= peak_tokens(running.job)

    def apply_report(self, sequences: int) -> None:
        """Takes the number of sequences of a lagging report in.

        What two reports in a row show beyond the jobs sent from here was
        sent by another owner of the group.
        """
        own = len(self.running)
        excess = max(0, sequences - max(own, self._own_at_report))
        self.foreign_sequences = min(excess, self._excess_at_report)
        self._own_at_report = own
        self._excess_at_report = excess

    def prefill_wait_s(self, now: float) -> float:
        """Returns the expected time until the sent prefills are done."""
        if not self.running:
            return 0
        return max(0, self._prefill_free_s - now)

    def fits(self, job: Job, batch_share: float, memory_share: float) -> bool:
        """Returns whether the engine can batch the job at once."""
        limits = self.view.limits
        slots = max(1, round(limits.max_batch * batch_share))
        if len(self.running) + self.foreign_sequences >= slots:
            return False
        room = limits.kv_tokens * memory_share - self.committed_tokens
        return not self.running or peak_tokens(job) <= room

    def load(self) -> float:
        """Returns the used part of the batch."""
        return len(self.running) / self.view.limits.max_batch

    def slot_interval_s(self) -> float:
        """Returns the expected time between two ends of running jobs."""
        if not self.running:
            return 0
        mean_s = statistics.fmean(
            running.expected_s for running in self.running.values()
        )
        return mean_s / len(self.running)


def peak_tokens(job: Job) -> int:
    """Returns the KV memory that a job needs at its end."""
    return job.prompt_tokens + job.max_output_tokens

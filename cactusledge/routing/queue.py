"""The job queue of an engine group and its order."""

from collections.abc import Set as AbstractSet
from typing import NamedTuple

from cactusledge.routing.policy import PolicySettings
from cactusledge.routing.types import Job


class QueueOrderKey(NamedTuple):
    """Sort key of a job; the smallest key is served first."""

    not_starved: bool  # False once a job waits longer than `starvation_s`
    new_program: bool
    over_share: bool
    expected_end_s: float
    submitted_s: float


class JobQueue:
    """Jobs waiting for an engine."""

    def __init__(self, settings: PolicySettings) -> None:
        """Initializes an empty queue."""
        self._settings = settings
        self._jobs: dict[str, Job] = {}

    def __len__(self) -> int:
        """Returns the number of waiting jobs."""
        return len(self._jobs)

    def add(self, job: Job) -> None:
        """Adds a job."""
        self._jobs[job.job_id] = job

    def remove(self, job_id: str) -> Job | None:
        """Removes and returns a job, or returns None if it is not queued."""
        return self._jobs.pop(job_id, None)

    def accounts(self) -> frozenset[str]:
        """Returns the accounts of the waiting jobs."""
        return frozenset(job.account for job in self._jobs.values())

    def new_programs(self) -> int:
        """Returns how many waiting jobs are first turns."""
        return sum(job.turn == 1 for job in self._jobs.values())

    def new_programs_ahead(
        self, account: str, over_share: AbstractSet[str]
    ) -> int:
        """Returns how many first turns are served before one of an account."""
        if account in over_share or not self._settings.shares:
            return self.new_programs()
        return sum(
            job.turn == 1 and job.account not in over_share
            for job in self._jobs.values()
        )

    def expired(self, now: float) -> list[Job]:
        """Returns the jobs whose deadline has passed."""
        return [job for job in self._jobs.values() if job.deadline_s <= now]

    def ordered(self, now: float, over_share: AbstractSet[str]) -> list[Job]:
        """Returns the jobs in the order of service."""
        return sorted(
            self._jobs.values(), key=lambda job: self._key(job, now, over_share)
        )

    def _key(
        self, job: Job, now: float, over_share: AbstractSet[str]
    ) -> QueueOrderKey:
        cfg = self._settings
        expected_end_s = job.submitted_s
        if cfg.order_by_program:
            expected_end_s += job.remaining_estimate_s
        return QueueOrderKey(
            not_starved=now - job.submitted_s < cfg.starvation_s,
            new_program=cfg.later_turns_first and job.turn == 1,
            over_share=cfg.shares and job.account in over_share,
            expected_end_s=expected_end_s,
            submitted_s=job.submitted_s,
        )

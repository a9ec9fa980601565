"""Admission control for new programs and retry times for refused jobs."""

import zlib

from cactusledge.routing.policy import PolicySettings
from cactusledge.routing.types import Job, Refusal, RefusalReason

SMOOTHING = 0.1  # weight of the newest sample
HASH_RANGE = 0x100000000


class StartIntervalEstimator:
    """Moving average of the interval between starts of queued programs."""

    def __init__(self) -> None:
        """Initializes the estimator without samples."""
        self.interval_s: float = 0
        self._last_s: float | None = None

    def record_start(self, now: float, *, others_wait: bool) -> None:
        """Records the start of a new program.

        The interval to the next start counts only if other new programs are
        waiting; otherwise it would measure idle time.
        """
        if self._last_s is not None:
            interval_s = now - self._last_s
            self.interval_s += SMOOTHING * (interval_s - self.interval_s)
        self._last_s = now if others_wait else None

    def wait_s(self, waiting: int, now: float) -> float:
        """Returns the expected wait behind `waiting` new programs."""
        since_s: float = 0
        if self._last_s is not None and waiting:
            since_s = max(0, now - self._last_s - self.interval_s)
        return waiting * self.interval_s + since_s


def retry_after_s(job: Job, wait_s: float, settings: PolicySettings) -> float:
    """Returns the delay after which a refused job should be retried.

    A hash of the job id spreads the delays, so that jobs refused together
    are not retried together.
    """
    base_s = max(settings.min_retry_after_s, wait_s)
    position = zlib.crc32(job.job_id.encode()) / HASH_RANGE
    return base_s * (1 + settings.retry_spread * position)


def refuse_new(
    job: Job, wait_s: float, now: float, settings: PolicySettings
) -> Refusal | None:
    """Returns a refusal if a first turn would start too late, else None.

    A program with little of its time left would reach its deadline before
    it is complete and waste engine work, so its refusal is final.
    """
    allowed_s = job.deadline_s - job.program_started_s
    latest_s = job.program_started_s + allowed_s * settings.latest_start_share
    if now > latest_s:
        return Refusal(job.job_id, 0, RefusalReason.DEADLINE)
    if wait_s <= settings.max_new_wait_s:
        return None
    return Refusal(
        job_id=job.job_id,
        retry_after_s=retry_after_s(job, wait_s, settings),
        reason=RefusalReason.OVERLOADED,
    )

"""Whether a new program may wait, and when a refused one should return."""

import zlib

from cactusledge.routing.policy import PolicySettings
from cactusledge.routing.types import Job, Refusal, RefusalReason

SMOOTHING = 0.1  # weight of the newest sample
HASH_RANGE = 0x100000000


class StartIntervalEstimator:
    """Smoothed interval between starts of new programs while some wait."""

    def __init__(self) -> None:
        """Starts without samples."""
        self.interval_s: float = 0
        self._last_s: float | None = None

    def record_start(self, now: float, *, others_wait: bool) -> None:
        """Takes the start of a new program in."""
        if self._last_s is not None:
            interval_s = now - self._last_s
            self.interval_s += SMOOTHING * (interval_s - self.interval_s)
        self._last_s = now if others_wait else None

    def wait_s(self, waiting: int, now: float) -> float:
        """Returns the expected wait behind a number of new programs."""
        since_s: float = 0
        if self._last_s is not None and waiting:
            since_s = max(0, now - self._last_s - self.interval_s)
        return waiting * self.interval_s + since_s


def retry_after_s(job: Job, wait_s: float, settings: PolicySettings) -> float:
    """Returns when a refused job should come back.

    The times are spread by a hash of the job, so that jobs refused together
    do not return together.
    """
    base_s = max(settings.min_retry_after_s, wait_s)
    position = zlib.crc32(job.job_id.encode()) / HASH_RANGE
    return base_s * (1 + settings.retry_spread * position)


def refuse_new(
    job: Job, wait_s: float, now: float, settings: PolicySettings
) -> Refusal | None:
    """Returns a refusal if a first turn would start too late, else None.

    A program that has little of its time left would only be ended by its
    deadline with work done in vain, so its refusal is final.
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

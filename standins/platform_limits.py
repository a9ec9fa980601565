"""Limits of the platform stand-in."""

import threading
import time
from typing import NamedTuple

OBJECT_BYTES = 1024 * 1024


class Limits(NamedTuple):
    """What the stand-in takes and keeps."""

    object_bytes: int = OBJECT_BYTES
    history_events: int = 1000
    reads_per_s: float = 0  # 0 for no limit
    writes_per_s: float = 0  # 0 for no limit
    bookmark_s: float = 1.0
    poll_s: float = 0.05  # how soon a hanging request sees a changed switch


class RateLimiter:
    """Token bucket that holds one second's worth of requests."""

    def __init__(self, per_s: float) -> None:
        """Starts full; a rate of 0 sets no limit."""
        self._per_s = per_s
        self._lock = threading.Lock()
        self._tokens = per_s
        self._filled_s = time.monotonic()

    def wait_s(self) -> float:
        """Takes a token and returns 0, or returns the wait for the next."""
        if not self._per_s:
            return 0
        with self._lock:
            self._refill()
            if self._tokens >= 1:
                self._tokens -= 1
                return 0
            return (1 - self._tokens) / self._per_s

    def _refill(self) -> None:
        now_s = time.monotonic()
        gained = (now_s - self._filled_s) * self._per_s
        self._tokens = min(self._per_s, self._tokens + gained)
        self._filled_s = now_s

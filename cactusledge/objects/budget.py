"""Limits the rate of platform requests with a token bucket."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple


class Rate(NamedTuple):
    """A sustained rate and the number of requests allowed in a burst."""

    per_s: float
    burst: float = 1


class TokenBucket(NamedTuple):
    """The tokens left and the time of the last refill."""

    tokens: float
    filled_at_s: float


def take_token(
    rate: Rate, bucket: TokenBucket, now_s: float
) -> tuple[TokenBucket, float]:
    """Takes a token if there is one; returns the new bucket and the wait.

    A wait above 0 means that no token was taken.
    """
    gained = max(0, now_s - bucket.filled_at_s) * rate.per_s
    tokens = min(rate.burst, bucket.tokens + gained)
    if tokens >= 1:
        return TokenBucket(tokens - 1, now_s), 0
    return TokenBucket(tokens, now_s), (1 - tokens) / rate.per_s


class RequestBudget:
    """A token bucket that the threads of an instance share."""

    def __init__(
        self,
        rate: Rate,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Starts with a full bucket."""
        self._rate = rate
        self._clock = clock
        self._bucket = TokenBucket(rate.burst, clock())
        self._lock = threading.Lock()

    def take_or_wait_s(self) -> float:
        """Takes a token and returns 0, or returns the wait for the next one."""
        with self._lock:
            bucket, wait_s = take_token(self._rate, self._bucket, self._clock())
            self._bucket = bucket
        return wait_s

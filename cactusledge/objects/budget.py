"""Budget of platform requests a second, as a token bucket."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple


class Rate(NamedTuple):
    """A sustained rate and the burst allowed above it."""

    per_s: float
    burst: float = 1


class TokenBucket(NamedTuple):
    """Tokens left and the time up to which it has been filled."""

    tokens: float
    filled_at_s: float


def take_token(
    rate: Rate, bucket: TokenBucket, now_s: float
) -> tuple[TokenBucket, float]:
    """Returns the bucket after one request and the wait it asks for.

    A wait above 0 means that no token was taken.
    """
    gained = max(0, now_s - bucket.filled_at_s) * rate.per_s
    tokens = min(rate.burst, bucket.tokens + gained)
    if tokens >= 1:
        return TokenBucket(tokens - 1, now_s), 0
    return TokenBucket(tokens, now_s), (1 - tokens) / rate.per_s


class RequestBudget:
    """A token bucket shared by the threads of an instance."""

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
        """Takes a token and returns 0, or returns the wait for the next."""
        with self._lock:
            bucket, wait_s = take_token(self._rate, self._bucket, self._clock())
            self._bucket = bucket
        return wait_s

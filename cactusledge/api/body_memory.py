"""Bounds the memory that request bodies hold all together; thread-safe."""

import threading
from collections.abc import Generator
from contextlib import contextmanager

from cactusledge.errors import CactusledgeError, ErrorCode

MOST_BYTES = 67108864
RETRY_S = 1.0
# Requests that hold less than the mean may go so far beyond the bound.
SMALL_BODIES_FACTOR = 1.25


class BodiesTooLargeError(CactusledgeError):
    """Requests in progress hold too much for this one to go on."""

    code = ErrorCode.OVERLOADED


class HeldBody:
    """What one request holds of its body."""

    def __init__(self, memory: 'BodyMemory') -> None:
        """Starts with nothing held."""
        self.size = 0  # bytes
        self._memory = memory

    def add(self, size: int) -> None:
        """Adds bytes that are held from now on.

        Raises:
            BodiesTooLargeError: There is no room for them.
        """
        self._memory.take(size, self.size + size)
        self.size += size


class BodyMemory:
    """The bodies of all requests in progress.

    If they are too large, a request that holds more than the mean is refused
    once it asks for more; the others go on.
    """

    def __init__(self, most_bytes: int = MOST_BYTES) -> None:
        """Starts with nothing held."""
        self._most_bytes = most_bytes
        self._lock = threading.Lock()
        self._used = 0  # bytes
        self._requests = 0

    @contextmanager
    def holding(self) -> Generator[HeldBody, None, None]:
        """Holds what is added until the request has been served."""
        held = HeldBody(self)
        with self._lock:
            self._requests += 1
        try:
            yield held
        finally:
            self._give_back(held.size)

    def take(self, size: int, held: int) -> None:
        """Takes bytes for a request that then holds `held`.

        Raises:
            BodiesTooLargeError: There is no room for them.
        """
        with self._lock:
            is_small = held * self._requests <= self._used
            factor = SMALL_BODIES_FACTOR if is_small else 1
            if self._used + size > self._most_bytes * factor:
                raise BodiesTooLargeError(
                    'Other requests take the memory for bodies.',
                    remedy='Repeat the request later.',
                    retry_after_s=RETRY_S,
                )
            self._used += size

    def _give_back(self, size: int) -> None:
        with self._lock:
            self._requests -= 1
            self._used -= size

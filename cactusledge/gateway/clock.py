"""The event loop's clock: the time, common ticks and timers.

By it the gateway judges ages and deadlines.
"""

import asyncio
from collections.abc import Callable

SHORTEST_SHARE = 0.1  # of an interval; a tick that is nearer is passed over


def now() -> float:
    """Returns the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()


def wait_s(now_s: float, interval_s: float) -> float:
    """Returns the time until the next multiple of an interval."""
    left_s = interval_s - now_s % interval_s
    is_near = left_s < SHORTEST_SHARE * interval_s
    return left_s + interval_s if is_near else left_s


async def next_tick(interval_s: float) -> None:
    """Sleeps until the next multiple of an interval on the loop's clock.

    Work with equal intervals wakes the process once for all.
    """
    await asyncio.sleep(wait_s(asyncio.get_running_loop().time(), interval_s))


class Timer:
    """Calls a function once, after the delay that was set last."""

    def __init__(self, expire: Callable[[], None]) -> None:
        """Stores the function; the timer is not set."""
        self._loop = asyncio.get_running_loop()
        self._expire = expire
        self._handle: asyncio.TimerHandle | None = None

    def start(self, timeout_ms: float) -> None:
        """Sets the timer, instead of an earlier delay."""
        self.stop()
        self._handle = self._loop.call_later(timeout_ms / 1000, self._expire)

    def stop(self) -> None:
        """Unsets the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

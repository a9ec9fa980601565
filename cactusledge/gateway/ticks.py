"""Lets the periodic work of a process run at the same moments."""

import asyncio

SHORTEST_SHARE = 0.1  # of an interval; a tick that is nearer is passed over


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

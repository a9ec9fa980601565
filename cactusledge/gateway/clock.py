"""The clock by which the gateway judges ages and deadlines."""

import asyncio


def now() -> float:
    """Returns the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()

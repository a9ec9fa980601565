"""Keeps a background loop going after an unexpected error."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

RESTART_PAUSE_S = 0.5  # so that an error that repeats does not fill the log

log = structlog.get_logger('gateway')


async def keep_running(loop: Callable[[], Awaitable[None]]) -> None:
    """Runs a loop, anew after each error, until it is cancelled."""
    while True:
        try:
            await loop()
        except Exception:
            log.exception('gateway: background task failed', task=loop.__name__)
        await asyncio.sleep(RESTART_PAUSE_S)

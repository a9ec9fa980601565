"""Tells since when the process may have been paused."""

import asyncio

from cactusledge.gateway.clock import next_tick

BEAT_S = 0.1


class Heartbeat:
    """Notes ten times a second that the event loop runs."""

    def __init__(self) -> None:
        """Starts with the loop running."""
        self._loop = asyncio.get_running_loop()
        self._last_s = self._loop.time()
        self._earlier_s = self._last_s  # the beat before the last one

    async def run(self) -> None:
        """Beats until cancelled."""
        while True:
            await next_tick(BEAT_S)
            self._earlier_s = self._last_s
            self._last_s = self._loop.time()

    def arrival_s(self) -> float:
        """Returns the earliest time at which a signal seen now may have come.

        One that comes during a pause of the process is seen only after it, and
        a beat may come in between.
        """
        return min(self._loop.time(), self._earlier_s + 2 * BEAT_S)

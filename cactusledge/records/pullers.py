"""Which stores have lost their disk and read this one's log of late."""

import time
from typing import NamedTuple

TOLD_S = 60.0  # longer than any write is on its way


class _Pull(NamedTuple):
    """The log of a store that catches up, and when it last asked."""

    log_id: str
    at_s: float


class Pullers:
    """Notes who reads, so that replies to writes can tell of it."""

    def __init__(self) -> None:
        """Starts without any."""
        self._pulls: dict[str, _Pull] = {}

    def note(self, name: str, log_id: str) -> None:
        """Takes note of a store that reads; an older version has no name."""
        if name:
            self._pulls[name] = _Pull(log_id, time.monotonic())

    def recent(self) -> dict[str, str]:
        """Returns the logs of the stores that have read of late."""
        if not self._pulls:
            return {}
        oldest_s = time.monotonic() - TOLD_S
        self._pulls = {
            name: pull
            for name, pull in self._pulls.items()
            if pull.at_s >= oldest_s
        }
        return {name: pull.log_id for name, pull in self._pulls.items()}

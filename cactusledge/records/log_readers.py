"""Which stores have lost their disk and read this one's log of late."""

import time
from typing import NamedTuple

READER_TTL_S = 60.0  # longer than any write is on its way


class _LogRead(NamedTuple):
    """The log of a store that catches up, and when it last asked."""

    log_id: str
    at_s: float


class LogReaders:
    """Notes who reads, so that replies to writes can tell of it."""

    def __init__(self) -> None:
        """Starts without any."""
        self._reads: dict[str, _LogRead] = {}

    def note(self, name: str, log_id: str) -> None:
        """Takes note of a store that reads; an older version has no name."""
        if name:
            self._reads[name] = _LogRead(log_id, time.monotonic())

    def recent(self) -> dict[str, str]:
        """Returns the logs of the stores that have read of late."""
        if not self._reads:
            return {}
        oldest_s = time.monotonic() - READER_TTL_S
        self._reads = {
            name: read
            for name, read in self._reads.items()
            if read.at_s >= oldest_s
        }
        return {name: read.log_id for name, read in self._reads.items()}

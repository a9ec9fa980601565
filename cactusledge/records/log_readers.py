"""Tracks the stores that lost their disk and are reading this log."""

import time
from typing import NamedTuple

READER_TTL_S = 60.0  # longer than any write is in flight


class _LogRead(NamedTuple):
    """The log id of a store that catches up, and when it last read."""

    log_id: str
    at_s: float


class LogReaders:
    """The recent readers of this log, for replies to writes to name."""

    def __init__(self) -> None:
        """Starts without readers."""
        self._reads: dict[str, _LogRead] = {}

    def note(self, name: str, log_id: str) -> None:
        """Records a read; a store of an older version sends no name."""
        if name:
            self._reads[name] = _LogRead(log_id, time.monotonic())

    def recent(self) -> dict[str, str]:
        """Returns the log ids of the stores that read recently, by name."""
        if not self._reads:
            return {}
        oldest_s = time.monotonic() - READER_TTL_S
        self._reads = {
            name: read
            for name, read in self._reads.items()
            if read.at_s >= oldest_s
        }
        return {name: read.log_id for name, read in self._reads.items()}

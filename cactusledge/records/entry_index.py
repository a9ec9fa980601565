"""The entries of a log in memory, by position, with when each was applied."""

import bisect
import time
from typing import NamedTuple

from cactusledge.records.entries import Entry, Turn


class LogPart(NamedTuple):
    """Entries of a log, and the position of the next one."""

    entries: list[Entry]
    end: int


class EntryIndex:
    """Entries in the order in which they were applied; turns without text.

    Positions count all entries ever added, so that they stay valid when the
    oldest ones are dropped.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.entries: list[Entry] = []
        self._applied_at_s: list[float] = []  # of each entry
        self._first_position = 0  # of the first entry kept

    @property
    def head(self) -> int:
        """The position of the next entry."""
        return self._first_position + len(self.entries)

    def add(self, entry: Entry) -> None:
        """Adds an entry that has just been applied."""
        indexed = entry.without_text() if isinstance(entry, Turn) else entry
        self.entries.append(indexed)
        self._applied_at_s.append(time.monotonic())

    def part(self, position: int, most: int) -> LogPart:
        """Returns entries from a position on; dropped ones are skipped."""
        start = max(0, position - self._first_position)
        entries = self.entries[start : start + most]
        return LogPart(entries, self._first_position + start + len(entries))

    def position_before(self, age_s: float) -> int:
        """Returns the position of the first entry younger than an age."""
        oldest_s = time.monotonic() - age_s
        count = bisect.bisect_left(self._applied_at_s, oldest_s)
        return self._first_position + count

    def drop_before(self, position: int) -> list[Entry]:
        """Drops the entries before a position; returns them."""
        count = position - self._first_position
        if count <= 0:
            return []
        dropped = self.entries[:count]
        self.entries = self.entries[count:]
        self._applied_at_s = self._applied_at_s[count:]
        self._first_position = position
        return dropped

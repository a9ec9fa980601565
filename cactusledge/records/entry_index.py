"""The entries of a log by position, with when and where each was written."""

import bisect
import itertools
import secrets
import time
from collections.abc import Iterator
from typing import NamedTuple

from cactusledge.records.entries import Entry, Turn
from cactusledge.records.message_texts import MESSAGE_BYTES, entry_bytes
from cactusledge.records.segment_table import SegmentUse

LEAST_TRIMMED = 1024  # entries
EPOCH_BYTES = 4
# Memory of an entry beside its ids: the objects, and their places in tables.
RECORD_BYTES = 900


class Record:
    """An entry without text, and the frame on disk that holds all of it."""

    __slots__ = (
        'applied_at_s',
        'entry',
        'has_text',
        'is_dropped',
        'offset',
        'segment',
        'size',
    )

    def __init__(self, entry: Entry, applied_at_s: float) -> None:
        """Starts without a place on disk; the time is of the steady clock."""
        self.has_text = isinstance(entry, Turn) and entry.has_text
        self.entry = entry.without_text() if isinstance(entry, Turn) else entry
        self.applied_at_s = applied_at_s
        self.is_dropped = False
        self.segment: SegmentUse | None = None  # None until it is on disk
        self.offset = 0  # bytes, of the frame in the segment
        self.size = 0  # bytes, of the encoded entry

    @property
    def memory_bytes(self) -> int:
        """About how much memory it takes."""
        entry = self.entry
        ids = len(entry.turn_id) + len(entry.program_id)
        if isinstance(entry, Turn):
            ids += len(entry.parent_id) + len(entry.account)
        return RECORD_BYTES + ids

    def put(self, segment: SegmentUse, offset: int, size: int) -> None:
        """Notes where the entry is on disk; a former place is given up."""
        self.leave()
        if self.is_dropped:
            return
        segment.hold(size)
        self.segment = segment
        self.offset = offset
        self.size = size

    def leave(self) -> None:
        """Gives up the place on disk."""
        if self.segment is not None:
            self.segment.release(self.size)
            self.segment = None


class LogPart(NamedTuple):
    """Entries of a log, and the position of the next one."""

    entries: list[Entry]
    end: int


class EntryIndex:
    """Entries in the order in which they were applied; turns without text.

    Positions count all entries ever added, so that they stay valid when some
    are dropped. They are not the same after a restart.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._records: list[Record | None] = []  # None: dropped
        self._applied_at_s: list[float] = []  # of each, never decreasing
        self._first_position = 0  # of the first record kept
        self.epoch = secrets.token_hex(EPOCH_BYTES)  # of the positions
        self._dropped = 0  # of the records kept
        self.memory_bytes = 0  # about, of all entries

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._records) - self._dropped

    @property
    def head(self) -> int:
        """The position of the next entry."""
        return self._first_position + len(self._records)

    def add(self, record: Record) -> int:
        """Adds an entry; returns its position."""
        position = self.head
        at_s = record.applied_at_s
        if self._applied_at_s:
            at_s = max(at_s, self._applied_at_s[-1])
        self._records.append(record)
        self._applied_at_s.append(at_s)
        self.memory_bytes += record.memory_bytes
        return position

    def at(self, position: int) -> Record | None:
        """Returns the entry at a position, None if it was dropped."""
        place = position - self._first_position
        return self._records[place] if place >= 0 else None

    def records(self) -> Iterator[Record]:
        """Yields all entries."""
        return (record for record in self._records if record is not None)

    def part(
        self, position: int, most: int, before: int | None = None
    ) -> LogPart:
        """Returns entries from a position on that fit in one message.

        Those before a position, if one is given. Dropped ones are skipped.
        One is returned in any case, if there is one.
        """
        start = max(0, position - self._first_position)
        stop = None if before is None else max(0, before - self._first_position)
        found: list[Entry] = []
        end = start
        left = MESSAGE_BYTES
        for record in itertools.islice(self._records, start, stop):
            size = 0 if record is None else entry_bytes(record.entry)
            if len(found) >= most or (found and size > left):
                break
            end += 1
            left -= size
            if record is not None:
                found.append(record.entry)
        return LogPart(found, self._first_position + end)

    def position_before(self, age_s: float) -> int:
        """Returns the position of the first entry younger than an age."""
        oldest_s = time.monotonic() - age_s
        count = bisect.bisect_left(self._applied_at_s, oldest_s)
        return self._first_position + count

    def drop(self, position: int) -> Record | None:
        """Drops the entry at a position, and returns it if it was there."""
        record = self.at(position)
        if record is None:
            return None
        self._records[position - self._first_position] = None
        self._dropped += 1
        self.memory_bytes -= record.memory_bytes
        record.is_dropped = True
        record.leave()
        return record

    def trim(self) -> None:
        """Frees the space of the dropped entries at the beginning."""
        count = sum(
            1
            for _ in itertools.takewhile(lambda one: one is None, self._records)
        )
        if count < min(LEAST_TRIMMED, len(self._records)):
            return
        self._records = self._records[count:]
        self._applied_at_s = self._applied_at_s[count:]
        self._first_position += count
        self._dropped -= count

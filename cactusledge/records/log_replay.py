"""Reads the entries of a data folder that are still needed, at a start."""

import time
from collections import deque
from collections.abc import Iterator, Sequence
from typing import NamedTuple

import msgspec
import structlog

from cactusledge.records.disk import StoredSegment
from cactusledge.records.entries import ENTRY_DECODER, Entry
from cactusledge.records.entry_index import EntryIndex, Record
from cactusledge.records.lifetimes import Lifetimes, spending_of
from cactusledge.records.segment import FramedEntry
from cactusledge.records.segment_table import SegmentTable, SegmentUse
from cactusledge.records.state import RecordState

MOST_DOUBTFUL = 50_000  # entries

log = structlog.get_logger('records')


class LogTables(NamedTuple):
    """What a store has in memory of its log."""

    state: RecordState
    entries: EntryIndex  # `index` of the log; a tuple has a method of that name
    segments: SegmentTable
    lifetimes: Lifetimes


def new_tables() -> LogTables:
    """Returns the tables of an empty log."""
    state = RecordState()
    return LogTables(
        state, EntryIndex(), SegmentTable(), Lifetimes(state.turns)
    )


def add_record(tables: LogTables, record: Record) -> None:
    """Adds an entry that the state and the lifetimes have already."""
    position = tables.entries.add(record)
    tables.lifetimes.check_at(tables.lifetimes.end_of(record.entry), position)


def replay(stored: Sequence[StoredSegment], tables: LogTables) -> None:
    """Adds the entries that are needed.

    The youngest come first, as they tell which older ones are: those of their
    chains and programs. Texts stay on disk.
    """
    for segment in stored:
        tables.segments.grow(segment.path.name, segment.path.stat().st_size)
    reading = Replay(tables)
    for segment in reversed(stored):
        reading.read(segment)
    for record in reading.oldest_first():
        add_record(tables, record)


class Found(NamedTuple):
    """An entry in a segment, and when it was applied at the latest."""

    entry: Entry
    segment: SegmentUse
    offset: int  # bytes
    size: int  # bytes
    applied_at_s: float


class Replay:
    """Reads segments from the youngest on."""

    def __init__(self, tables: LogTables) -> None:
        """Starts with nothing read."""
        self._tables = tables
        self._now_s = time.monotonic()
        self._records: list[Record] = []  # the youngest first
        # Spending that an older entry with a longer retention may need.
        self._doubtful: deque[Found] = deque(maxlen=MOST_DOUBTFUL)

    def read(self, segment: StoredSegment) -> None:
        """Adds the entries of a segment that are needed."""
        use = self._tables.segments.grow(segment.path.name, 0)
        applied_at_s = self._now_s - segment.age_s
        for framed in segment.newest_first():
            entry = _decode(framed)
            if entry is not None:
                size = len(framed.entry)
                found = Found(entry, use, framed.offset, size, applied_at_s)
                self._add(found)

    def oldest_first(self) -> Iterator[Record]:
        """Returns all entries that are needed."""
        for found in self._doubtful:
            if self._tables.lifetimes.is_live(found.entry, self._now_s):
                self._keep(found)
        return reversed(self._records)

    def _add(self, found: Found) -> None:
        needed = self._tables.lifetimes.needed_part(
            found.entry, found.applied_at_s, self._now_s
        )
        if needed is not None:
            self._keep(found._replace(entry=needed))
            return
        spending = spending_of(found.entry)
        if spending is not None:
            self._doubtful.append(found._replace(entry=spending))

    def _keep(self, found: Found) -> None:
        if not self._tables.state.apply(found.entry):
            return
        record = Record(found.entry, found.applied_at_s)
        record.put(found.segment, found.offset, found.size)
        if record.has_text:
            self._tables.state.texts_on_disk[found.entry.turn_id] = record
            self._tables.state.drop_text(record)
        self._tables.lifetimes.note(record.entry, found.applied_at_s)
        self._records.append(record)


def _decode(framed: FramedEntry) -> Entry | None:
    try:
        return ENTRY_DECODER.decode(framed.entry)
    except msgspec.MsgspecError:
        log.exception('records: entry skipped, cannot be decoded')
        return None

"""Reads the entries of a data folder that are still needed, at a start."""

import time
from collections.abc import Sequence
from typing import NamedTuple

import msgspec
import structlog

from cactusledge.records.disk import StoredSegment
from cactusledge.records.entries import ENTRY_DECODER, Entry
from cactusledge.records.entry_index import EntryIndex, Record
from cactusledge.records.lifetimes import Lifetimes
from cactusledge.records.segment import FramedEntry
from cactusledge.records.segment_table import SegmentTable, SegmentUse
from cactusledge.records.state import RecordState

log = structlog.get_logger('records')


class LogTables(NamedTuple):
    """What a store has in memory of its log."""

    state: RecordState
    entries: EntryIndex
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
    replayed: list[Record] = []
    for segment in reversed(stored):
        replayed.extend(_replay_segment(segment, tables))
    for record in reversed(replayed):
        add_record(tables, record)


def _replay_segment(segment: StoredSegment, tables: LogTables) -> list[Record]:
    """Returns the entries that are needed, the youngest first."""
    now_s = time.monotonic()
    applied_at_s = now_s - segment.age_s
    use = tables.segments.grow(segment.path.name, 0)
    found: list[Record] = []
    for framed in segment.newest_first():
        entry = _decode(framed)
        if entry is not None:
            entry = tables.lifetimes.needed_part(entry, applied_at_s, now_s)
        if entry is not None and tables.state.apply(entry):
            found.append(_put(entry, framed, tables, use, applied_at_s))
    return found


def _put(
    entry: Entry,
    framed: FramedEntry,
    tables: LogTables,
    use: SegmentUse,
    applied_at_s: float,
) -> Record:
    record = Record(entry, applied_at_s)
    record.put(use, framed.offset, len(framed.entry))
    if record.has_text:
        tables.state.texts_on_disk[entry.turn_id] = record
        tables.state.drop_text(record)
    tables.lifetimes.note(record.entry, applied_at_s)
    return record


def _decode(framed: FramedEntry) -> Entry | None:
    try:
        return ENTRY_DECODER.decode(framed.entry)
    except msgspec.MsgspecError:
        log.exception('records: entry skipped, cannot be decoded')
        return None

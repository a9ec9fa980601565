"""Drops entries of a log whose time is over, and wins back their space."""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from pathlib import Path

import structlog

from cactusledge.records.entries import ENCODER
from cactusledge.records.entry_index import Record
from cactusledge.records.lifetimes import spending_of
from cactusledge.records.log_replay import LogTables, add_record
from cactusledge.records.log_writer import LogWriter, PendingWrite
from cactusledge.records.segment import HEADER
from cactusledge.records.segment_table import SegmentUse

MOST_AT_ONCE = 4000  # entries that are looked at without a break

log = structlog.get_logger('records')


class LogTidying:
    """Expires the entries of a log, and cleans its segments."""

    def __init__(
        self,
        folder: Path,
        tables: LogTables,
        writer: LogWriter,
        forget_text: Callable[[str], object],
    ) -> None:
        """Keeps the parts of the log; `forget_text` takes ids of turns."""
        self._folder = folder
        self._tables = tables
        self._writer = writer
        self._forget_text = forget_text

    def expire(self, now_s: float) -> list[str]:
        """Drops entries; returns the names of segments to remove."""
        lifetimes = self._tables.lifetimes
        for position in itertools.islice(lifetimes.due(now_s), MOST_AT_ONCE):
            self._check(position, now_s)
        lifetimes.forget_awaited(now_s)
        self._tables.entries.trim()
        self._writer.begin()
        if self._writer.has_pending:  # what these replace is on disk still
            return []
        return self._tables.segments.take_unused()

    async def clean(self, least_dead_share: float) -> None:
        """Writes what is needed of the sparsest segment anew.

        Args:
            least_dead_share: Of the segment, that is needed no more.

        Raises:
            OSError: Reading or writing failed; the segment is kept.
        """
        segment = self._tables.segments.sparsest()
        if segment is None or self._writer.has_pending:
            return
        if segment.dead_bytes < segment.size * least_dead_share:
            return
        path = self._folder / segment.name
        content = await asyncio.to_thread(path.read_bytes)
        copies = self._copies(segment, content)
        self._writer.queue(copies)
        await self._writer.sync()
        log.info(
            'records: segment cleaned',
            segment=segment.name,
            bytes=segment.size,
            entries=len(copies),
        )

    def _check(self, position: int, now_s: float) -> None:
        """Drops an entry, or has it looked at when its time is over."""
        lifetimes = self._tables.lifetimes
        record = self._tables.entries.at(position)
        if record is None:
            return
        end_s = lifetimes.end_of(record.entry)
        if end_s > now_s:
            lifetimes.check_at(end_s, position)
            return
        self._tables.entries.drop(position)
        self._tables.state.discard((record.entry,))
        self._forget_text(record.entry.turn_id)
        self._keep_spending(record, now_s)
        lifetimes.forget(record.entry, now_s)

    def _keep_spending(self, record: Record, now_s: float) -> None:
        """Keeps what a turn has spent while its program goes on."""
        if not self._tables.lifetimes.is_live(record.entry, now_s):
            return
        spending = spending_of(record.entry)
        if spending is not None and self._tables.state.apply(spending):
            kept = Record(spending, now_s)
            add_record(self._tables, kept)
            self._writer.queue([PendingWrite(kept, ENCODER.encode(spending))])

    def _copies(
        self, segment: SegmentUse, content: bytes
    ) -> list[PendingWrite]:
        """Returns the entries of a segment that are needed, as written."""
        return [
            PendingWrite(record, _encoded(content, record))
            for record in records_of(segment, self._tables.entries.records())
        ]


def records_of(segment: SegmentUse, records: Iterable[Record]) -> list[Record]:
    """Returns the entries that are in a segment."""
    return [record for record in records if record.segment is segment]


def _encoded(content: bytes, record: Record) -> bytes:
    """Returns the encoded entry of a record from its segment."""
    start = record.offset + HEADER.size
    return content[start : start + record.size]

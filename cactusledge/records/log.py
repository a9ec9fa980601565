"""The log of a record store: entries in memory, synced to disk in batches.

Texts are in memory until they are on disk, and a while longer.
"""

import asyncio
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import pykka

from cactusledge.records.disk import (
    IDENTITY_FILE,
    BatchPlace,
    DiskActor,
    Identity,
    RemoveSegments,
    WriteDocument,
    read_folder,
)
from cactusledge.records.entries import ENCODER, Entry, Turn
from cactusledge.records.entry_index import LogPart, Record
from cactusledge.records.log_replay import add_record, new_tables, replay
from cactusledge.records.log_texts import TextCache, TextReader
from cactusledge.records.log_tidying import LogTidying
from cactusledge.records.log_writer import (
    LogWriter,
    PendingWrite,
    complete_futures,
)
from cactusledge.records.room_account import (
    NO_LIMITS,
    RoomAccount,
    StoreLimits,
    Use,
)
from cactusledge.records.segment import HEADER

PULL_ENTRIES = 2000  # per reply


class RecordLog:
    """Applies entries at once and reports when they are on disk."""

    def __init__(
        self,
        folder: Path,
        *,
        is_first_start: bool,
        limits: StoreLimits = NO_LIMITS,
    ) -> None:
        """Reads the data folder and starts the disk actor."""
        loaded = read_folder(folder, is_first_start=is_first_start)
        self.identity: Identity = loaded.identity
        self._tables = new_tables()
        self.state = self._tables.state
        self.index = self._tables.entries
        replay(loaded.segments, self._tables)
        self.texts = TextReader(folder, self.state)
        self.account = RoomAccount(limits)
        self._cache = TextCache(self.state)
        self._actor: pykka.ActorRef[DiskActor] = DiskActor.start(folder)
        self._writer = LogWriter(self._actor, self._on_written)
        self._tidying = LogTidying(
            folder, self._tables, self._writer, self._cache.forget
        )
        self._update_use()

    def stop(self) -> None:
        """Stops the disk actor after it has handled its queue."""
        self._actor.stop()

    @property
    def head(self) -> int:
        """The position of the next entry."""
        return self.index.head

    async def append(self, entries: Sequence[Entry]) -> None:
        """Applies the entries and returns once they are on disk.

        An entry that is known already is on disk or in the current or the
        next batch; both are waited for.

        Raises:
            OSError: The write failed; the entries are not durable.
        """
        for entry in entries:
            if self.state.apply(entry):
                self._add(entry)
        await self._writer.sync()

    async def flush(self) -> None:
        """Returns once all entries that have been applied are on disk.

        Raises:
            OSError: The write failed.
        """
        if not self._writer.is_idle:
            await self._writer.sync()

    def pull(self, position: int, most: int = PULL_ENTRIES) -> LogPart:
        """Returns entries from a position on; turns come without text.

        Expired entries are skipped.
        """
        return self.index.part(position, most)

    def expire(self, now_s: float | None = None) -> None:
        """Drops entries that are needed no more, and their segments."""
        unused = self._tidying.expire(
            time.monotonic() if now_s is None else now_s
        )
        if unused:
            self._actor.tell(RemoveSegments(tuple(unused)))
        self._update_use()

    async def clean(self) -> None:
        """Wins back space on disk if it is scarce.

        Raises:
            OSError: Reading or writing failed.
        """
        if self.account.needs_cleaning:
            await self._tidying.clean(self.account.least_dead_share)

    async def mark_witness(self) -> None:
        """Records on disk that the log is complete (see `Identity`).

        Raises:
            OSError: The write failed; the store is not a witness yet.
        """
        identity = self.identity._replace(is_witness=True)
        await self.write_document(IDENTITY_FILE, identity._asdict())
        self.identity = identity

    async def clear_witness(self) -> None:
        """Records on disk that entries may be missing from the log.

        Raises:
            OSError: The write failed; after a restart the store would take
                itself for a witness.
        """
        self.identity = self.identity._replace(is_witness=False)
        await self.write_document(IDENTITY_FILE, self.identity._asdict())

    def write_document(
        self, name: str, content: Mapping[str, Any]
    ) -> 'asyncio.Future[None]':
        """Replaces a small file, in order with the appends.

        The future completes once the file is on disk, or fails with an
        OSError, in which case the file is unchanged.
        """
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[None] = loop.create_future()

        def on_synced(exc: OSError | None) -> None:  # noqa: WPS430
            loop.call_soon_threadsafe(complete_futures, [fut], exc)

        self._actor.tell(WriteDocument(name, content, on_synced))
        return fut

    def _add(self, entry: Entry) -> None:
        """Indexes an entry that has been applied, and queues it for disk."""
        record = Record(entry, time.monotonic())
        self._tables.lifetimes.note(record.entry, record.applied_at_s)
        add_record(self._tables, record)
        if isinstance(entry, Turn) and entry.has_text:
            self._cache.add(entry)
        self._writer.queue([PendingWrite(record, ENCODER.encode(entry))])

    def _on_written(
        self, batch: Sequence[PendingWrite], place: BatchPlace
    ) -> None:
        """Notes where the entries of a batch are on disk."""
        offset = place.offset
        segment = self._tables.segments.grow(place.segment, offset)
        for record, encoded in batch:
            segment.size = offset + HEADER.size + len(encoded)
            record.put(segment, offset, len(encoded))
            if record.has_text and not record.is_dropped:
                self._cache.on_written(record)
            offset = segment.size
        self._update_use()

    def _update_use(self) -> None:
        segments = self._tables.segments
        self.account.use = Use(
            self.index.memory_bytes + self._cache.memory_bytes,
            segments.live_bytes,
            segments.total_bytes,
        )

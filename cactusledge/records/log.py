"""The log of a record store: entries in memory, synced to disk in batches."""

import asyncio
import time
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec
import pykka
import structlog

from cactusledge.records.disk import (
    IDENTITY_FILE,
    AppendBatch,
    DiskActor,
    Identity,
    RemoveSegmentsBefore,
    WriteDocument,
    read_folder,
)
from cactusledge.records.entries import ENCODER, ENTRY_DECODER, Entry
from cactusledge.records.entry_index import EntryIndex, LogPart
from cactusledge.records.state import RecordState

PULL_ENTRIES = 2000  # per reply
SEGMENT_RETENTION_FACTOR = 2  # older segments hold ancestors of recent turns

log = structlog.get_logger('records')


class RecordLog:
    """Applies entries at once and reports when they are on disk.

    Entries that arrive while a batch is being synced form the next batch.
    """

    def __init__(self, folder: Path, *, is_first_start: bool) -> None:
        """Reads the data folder and starts the disk actor."""
        loaded = read_folder(folder, is_first_start=is_first_start)
        self.identity: Identity = loaded.identity
        self.state = RecordState()
        self.index = EntryIndex()
        # Position of the first entry within the retention, by its file's time.
        self.first_unexpired = self.head
        for segment in loaded.segments:
            for encoded in segment.entries():
                self._replay(encoded)
            if segment.is_expired:
                self.first_unexpired = self.head
        self._actor: pykka.ActorRef[DiskActor] = DiskActor.start(folder)
        self._pending_entries: list[bytes] = []
        self._pending_futures: list[asyncio.Future[None]] = []
        self._is_syncing = False

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
                self.index.add(entry)
                self._pending_entries.append(ENCODER.encode(entry))
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending_futures.append(fut)
        if not self._is_syncing:
            self._sync()
        await fut

    async def flush(self) -> None:
        """Returns once all entries that have been applied are on disk.

        Raises:
            OSError: The write failed.
        """
        if self._is_syncing or self._pending_entries:
            await self.append(())

    def pull(self, position: int, most: int = PULL_ENTRIES) -> LogPart:
        """Returns entries from a position on; turns come without text.

        Expired entries are skipped.
        """
        return self.index.part(position, most)

    def expire(self, retention_s: float) -> None:
        """Drops older entries, and segments that hold only older entries.

        Turns that a recent turn continues are kept.
        """
        dropped = self.index.drop_before(
            self.index.position_before(retention_s)
        )
        if not dropped:
            return
        live = self.state.ancestors_of(self.index.entries)
        self.state.discard(
            entry for entry in dropped if entry.turn_id not in live
        )
        self._actor.tell(
            RemoveSegmentsBefore(
                time.time() - SEGMENT_RETENTION_FACTOR * retention_s
            )
        )

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

    def _replay(self, encoded: bytes) -> None:
        try:
            entry = ENTRY_DECODER.decode(encoded)
        except msgspec.MsgspecError:
            log.exception('records: entry skipped, cannot be decoded')
            return
        if self.state.apply(entry):
            self.index.add(entry)

    def _sync(self) -> None:
        """Sends all pending entries to the actor as one batch."""
        loop = asyncio.get_running_loop()
        futures = self._pending_futures
        batch = self._pending_entries
        self._pending_futures = []
        self._pending_entries = []
        self._is_syncing = True

        def on_synced(exc: OSError | None) -> None:  # noqa: WPS430
            loop.call_soon_threadsafe(
                self._on_batch_written, batch, futures, exc
            )

        self._actor.tell(AppendBatch(batch, on_synced))

    def _on_batch_written(
        self,
        batch: list[bytes],
        futures: list[asyncio.Future[None]],
        exc: OSError | None,
    ) -> None:
        """Completes a batch; a failed one is written with the next."""
        self._is_syncing = False
        if exc is not None:
            log.warning('records: write failed', error=repr(exc))
            self._pending_entries = batch + self._pending_entries
        complete_futures(futures, exc)
        if self._pending_futures:
            self._sync()


def complete_futures(
    futures: Iterable[asyncio.Future[None]], exc: OSError | None
) -> None:
    """Completes the futures that are still pending, or fails them."""
    for fut in futures:
        if fut.done():
            continue
        if exc is None:
            fut.set_result(None)
        else:
            fut.set_exception(exc)

"""The log of a record store: entries in memory, synced to disk in groups."""

import asyncio
import bisect
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
from cactusledge.records.entries import ENCODER, ENTRY_DECODER, Entry, Turn
from cactusledge.records.state import RecordState

PULL_ENTRIES = 2000  # entries of one reply
SEGMENT_RETENTION_FACTOR = 2  # ancestors of young turns are in older segments

log = structlog.get_logger('records')


class RecordLog:
    """Applies entries at once and tells when they are on disk.

    While one batch is being synced, the next one is collected.
    """

    def __init__(self, folder: Path, *, is_first_start: bool) -> None:
        """Reads the data folder and starts the disk's actor."""
        loaded = read_folder(folder, is_first_start=is_first_start)
        self.identity: Identity = loaded.identity
        self.state = RecordState()
        self.entries: list[Entry] = []  # turns without their text
        self._applied_at_s: list[float] = []  # when each was taken
        self._first_position = 0  # position of the first entry
        for encoded in loaded.entries:
            self._replay(encoded)
        self._actor: pykka.ActorRef[DiskActor] = DiskActor.start(folder)
        self._pending_entries: list[bytes] = []
        self._pending_futures: list[asyncio.Future[None]] = []
        self._is_syncing = False

    def stop(self) -> None:
        """Lets the actor finish what it was told, then stops it."""
        self._actor.stop()

    @property
    def head(self) -> int:
        """The position after the last entry."""
        return self._first_position + len(self.entries)

    async def append(self, entries: Sequence[Entry]) -> None:
        """Applies the entries and returns once they are on disk.

        An entry that is already known was written before, or belongs to the
        current batch or to the next one, which is waited for.

        Raises:
            OSError: The disk refused; the entries are not durable.
        """
        for entry in entries:
            if self.state.apply(entry):
                self._index(entry)
                self._pending_entries.append(ENCODER.encode(entry))
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending_futures.append(fut)
        if not self._is_syncing:
            self._sync()
        await fut

    def pull(self, position: int) -> list[Entry]:
        """Returns entries from a position on, turns without text."""
        start = max(0, position - self._first_position)
        return self.entries[start : start + PULL_ENTRIES]

    def expire(self, retention_s: float) -> None:
        """Forgets entries that are older, and segments that hold only such.

        The turns that a younger one continues stay.
        """
        oldest_s = time.monotonic() - retention_s
        count = bisect.bisect_left(self._applied_at_s, oldest_s)
        if not count:
            return
        live = self.state.ancestors_of(self.entries[count:])
        expired = [
            entry for entry in self.entries[:count] if entry.turn_id not in live
        ]
        self.state.discard(expired)
        self.entries = self.entries[count:]
        self._applied_at_s = self._applied_at_s[count:]
        self._first_position += count
        self._actor.tell(
            RemoveSegmentsBefore(
                time.time() - SEGMENT_RETENTION_FACTOR * retention_s
            )
        )

    async def mark_witness(self) -> None:
        """Notes on disk that everything which should be here is here.

        Raises:
            OSError: The disk refused; the store is no witness yet.
        """
        identity = self.identity._replace(is_witness=True)
        await self.write_document(IDENTITY_FILE, identity._asdict())
        self.identity = identity

    async def clear_witness(self) -> None:
        """Notes on disk that something may be missing here.

        Raises:
            OSError: The disk refused; after a restart the store would believe
                that it is a witness.
        """
        self.identity = self.identity._replace(is_witness=False)
        await self.write_document(IDENTITY_FILE, self.identity._asdict())

    def write_document(
        self, name: str, content: Mapping[str, Any]
    ) -> 'asyncio.Future[None]':
        """Replaces a small file, in order with the appends.

        The future ends once the file is on disk, or with an OSError; the file
        is then as it was.
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
            log.exception('records: entry unreadable, left out')
            return
        if self.state.apply(entry):
            self._index(entry)

    def _index(self, entry: Entry) -> None:
        indexed = entry.without_text() if isinstance(entry, Turn) else entry
        self.entries.append(indexed)
        self._applied_at_s.append(time.monotonic())

    def _sync(self) -> None:
        """Hands all that was collected to the actor as one batch."""
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
        """Ends a batch; one that was refused is written with the next."""
        self._is_syncing = False
        if exc is not None:
            log.warning('records: disk refused', error=repr(exc))
            self._pending_entries = batch + self._pending_entries
        complete_futures(futures, exc)
        if self._pending_futures:
            self._sync()


def complete_futures(
    futures: Iterable[asyncio.Future[None]], exc: OSError | None
) -> None:
    """Ends the futures of those that still wait, with an error or not."""
    for fut in futures:
        if fut.done():
            continue
        if exc is None:
            fut.set_result(None)
        else:
            fut.set_exception(exc)

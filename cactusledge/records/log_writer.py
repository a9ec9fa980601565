"""Writes the entries of a log to disk, those that wait as one batch."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import pykka
import structlog

from cactusledge.records.disk import AppendBatch, BatchPlace, DiskActor
from cactusledge.records.entry_index import Record

log = structlog.get_logger('records')


class PendingWrite(NamedTuple):
    """An entry that is not on disk yet."""

    record: Record
    encoded: bytes


OnWritten = Callable[[Sequence[PendingWrite], BatchPlace], object]


class LogWriter:
    """Entries that arrive while a batch is being synced form the next one."""

    def __init__(
        self, actor: pykka.ActorRef[DiskActor], on_written: OnWritten
    ) -> None:
        """Keeps the disk, and what takes the place of each batch on it."""
        self._actor = actor
        self._on_written = on_written
        self._pending: list[PendingWrite] = []
        self._futures: list[asyncio.Future[None]] = []
        self._is_syncing = False

    @property
    def has_pending(self) -> bool:
        """Whether entries wait for the next batch."""
        return bool(self._pending)

    @property
    def is_idle(self) -> bool:
        """Whether all entries are on disk."""
        return not (self._is_syncing or self._pending)

    def queue(self, writes: Iterable[PendingWrite]) -> None:
        """Adds entries to the next batch."""
        self._pending.extend(writes)

    def begin(self) -> None:
        """Starts the next batch if entries wait and none is being synced."""
        if self._pending and not self._is_syncing:
            self._sync()

    async def sync(self) -> None:
        """Returns once all entries that have been queued are on disk.

        Raises:
            OSError: The write failed; the entries are not durable.
        """
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._futures.append(fut)
        if not self._is_syncing:
            self._sync()
        await fut

    def _sync(self) -> None:
        """Sends all pending entries to the actor as one batch."""
        loop = asyncio.get_running_loop()
        futures = self._futures
        batch = self._pending
        self._futures = []
        self._pending = []
        self._is_syncing = True

        def on_synced(result: BatchPlace | OSError) -> None:  # noqa: WPS430
            loop.call_soon_threadsafe(self._end_batch, batch, futures, result)

        encoded = [pending.encoded for pending in batch]
        self._actor.tell(AppendBatch(encoded, on_synced))

    def _end_batch(
        self,
        batch: list[PendingWrite],
        futures: list[asyncio.Future[None]],
        result: BatchPlace | OSError,
    ) -> None:
        """Completes a batch; a failed one is written with the next."""
        self._is_syncing = False
        exc = result if isinstance(result, OSError) else None
        if isinstance(result, BatchPlace):
            self._on_written(batch, result)
        else:
            log.warning('records: write failed', error=repr(exc))
            self._pending = batch + self._pending
        complete_futures(futures, exc)
        if self._futures:
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

"""Queues of records that are not yet durable, bounded in bytes."""

import itertools
import threading
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeAlias

import pykka

from cactusledge.errors import CactusledgeError
from cactusledge.protocol.errors import JournalBusyError
from cactusledge.protocol.records import ProgramRecord

BUSY_RETRY_S = 2.0

OnDone: TypeAlias = Callable[[CactusledgeError | None], None]


class Entry(NamedTuple):
    """Records that are appended together and become durable together."""

    entry_id: int
    records: tuple[ProgramRecord, ...]
    size_bytes: int
    future: 'pykka.ThreadingFuture[None]'
    on_done: OnDone | None = None


class PendingEntries:
    """All unsettled entries, bounded in bytes; thread-safe."""

    def __init__(self, limit_bytes: int) -> None:
        """Creates an empty collection."""
        self.size_bytes = 0
        self._limit_bytes = limit_bytes
        self._entries: dict[int, Entry] = {}
        self._entry_ids = itertools.count()
        self._lock = threading.Lock()

    def add(
        self,
        records: tuple[ProgramRecord, ...],
        size_bytes: int,
        on_done: OnDone | None,
    ) -> Entry:
        """Adds and returns a new entry.

        Raises:
            JournalBusyError: If the pending bytes would exceed the limit.
        """
        with self._lock:
            if self.size_bytes + size_bytes > self._limit_bytes:
                raise JournalBusyError(
                    f'{self.size_bytes} bytes of records are not yet durable; '
                    f'{size_bytes} more exceed {self._limit_bytes} bytes.',
                    remedy='Try again when the platform answers.',
                    retry_after_s=BUSY_RETRY_S,
                )
            entry = Entry(
                next(self._entry_ids),
                records,
                size_bytes,
                pykka.ThreadingFuture(),
                on_done,
            )
            self._entries[entry.entry_id] = entry
            self.size_bytes += size_bytes
        return entry

    def settle(
        self,
        entry: Entry,
        error: CactusledgeError | None = None,
    ) -> None:
        """Resolves the entry's future and calls its callback, only once."""
        with self._lock:
            if self._entries.pop(entry.entry_id, None) is None:
                return
            self.size_bytes -= entry.size_bytes
        if error is None:
            entry.future.set(None)
        else:
            entry.future.set_exception((type(error), error, None))
        if entry.on_done is not None:
            entry.on_done(error)

    def settle_all(self, error: CactusledgeError) -> None:
        """Fails all entries with the error."""
        for entry in self._snapshot():
            self.settle(entry, error)

    def records(self) -> tuple[ProgramRecord, ...]:
        """Returns the records of all entries in the order of addition."""
        return tuple(
            record for entry in self._snapshot() for record in entry.records
        )

    def _snapshot(self) -> tuple[Entry, ...]:
        with self._lock:
            return tuple(self._entries.values())


class CommitQueue:
    """Queued entries in order of arrival, and entries in flight."""

    def __init__(self, pending: PendingEntries) -> None:
        """Creates an empty queue."""
        self.pending = pending
        self._entries: deque[Entry] = deque()
        self._in_flight: list[Entry] = []
        self._idle_futures: list[pykka.ThreadingFuture[None]] = []

    def __len__(self) -> int:
        """Returns the number of queued entries."""
        return len(self._entries)

    @property
    def has_in_flight(self) -> bool:
        """Whether entries, even empty ones, belong to the next append."""
        return bool(self._in_flight)

    @property
    def head_bytes(self) -> int:
        """Size of the first queued entry, 0 if the queue is empty."""
        return self._entries[0].size_bytes if self._entries else 0

    def when_idle(self, future: 'pykka.ThreadingFuture[None]') -> None:
        """Resolves the future once no entry is queued or in flight."""
        self._idle_futures.append(future)
        self._report_idle()

    def push(self, entry: Entry) -> None:
        """Adds an entry to the end of the queue."""
        self._entries.append(entry)

    def pop_up_to(self, limit_bytes: int) -> Iterable[Entry]:
        """Removes and yields the first entries that fit into the limit."""
        left_bytes = limit_bytes
        while self._entries and self._entries[0].size_bytes <= left_bytes:
            entry = self._entries.popleft()
            left_bytes -= entry.size_bytes
            yield entry

    def add_in_flight(self, entry: Entry) -> None:
        """Adds an entry to the append in flight."""
        self._in_flight.append(entry)

    def settle_in_flight(self) -> None:
        """Reports the entries in flight as durable."""
        in_flight = self._in_flight
        self._in_flight = []
        for entry in in_flight:
            self.pending.settle(entry)
        self._report_idle()

    def settle_all(self, error: CactusledgeError) -> None:
        """Fails all entries that are not durable."""
        self._in_flight.clear()
        self._entries.clear()
        self.pending.settle_all(error)
        self._report_idle()

    def _report_idle(self) -> None:
        if self._entries or self._in_flight:
            return
        for future in self._idle_futures:
            future.set(None)
        self._idle_futures.clear()

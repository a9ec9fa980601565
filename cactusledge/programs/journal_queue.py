"""Records that wait until they are durable, bounded in bytes."""

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
    """Records that become durable together."""

    records: tuple[ProgramRecord, ...]
    size_bytes: int
    future: 'pykka.ThreadingFuture[None]'
    on_done: OnDone | None = None

    def settle(self, error: CactusledgeError | None = None) -> None:
        """Resolves the future, then calls the callback."""
        if error is None:
            self.future.set(None)
        else:
            self.future.set_exception((type(error), error, None))
        if self.on_done is not None:
            self.on_done(error)


class WaitingBytes:
    """Thread-safe count of the bytes that wait."""

    def __init__(self, limit: int) -> None:
        """Starts at zero."""
        self.limit = limit
        self.count = 0
        self._lock = threading.Lock()

    def add(self, size: int) -> None:
        """Counts the bytes.

        Raises:
            JournalBusyError: If they exceed the limit; nothing is counted.
        """
        with self._lock:
            if self.count + size > self.limit:
                raise JournalBusyError(
                    f'{self.count} bytes of records wait for the platform.',
                    remedy='Come back when the platform answers again.',
                    retry_after_s=BUSY_RETRY_S,
                )
            self.count += size

    def remove(self, size: int) -> None:
        """Counts the bytes as no longer waiting."""
        with self._lock:
            self.count -= size


class CommitQueue:
    """Entries in the order of their arrival and those in flight."""

    def __init__(self, waiting: WaitingBytes) -> None:
        """Starts empty."""
        self._waiting = waiting
        self._entries: deque[Entry] = deque()
        self._in_flight: list[Entry] = []
        self._idle_futures: list[pykka.ThreadingFuture[None]] = []

    def __len__(self) -> int:
        """Returns how many entries wait to be sent."""
        return len(self._entries)

    def when_idle(self, future: 'pykka.ThreadingFuture[None]') -> None:
        """Resolves the future once nothing waits or is in flight."""
        self._idle_futures.append(future)
        self._report_idle()

    def push(self, entry: Entry) -> None:
        """Adds an entry whose bytes are counted already."""
        self._entries.append(entry)

    def take(self, limit_bytes: int) -> Iterable[Entry]:
        """Yields entries up to the limit."""
        left = limit_bytes
        while self._entries and self._entries[0].size_bytes <= left:
            entry = self._entries.popleft()
            left -= entry.size_bytes
            yield entry

    def send(self, entry: Entry) -> None:
        """Keeps an entry as part of the append in flight."""
        self._in_flight.append(entry)

    def settle_sent(self, error: CactusledgeError | None = None) -> None:
        """Settles what was in flight."""
        sent = self._in_flight
        self._in_flight = []
        for entry in sent:
            self.settle(entry, error)
        self._report_idle()

    def settle_all(self, error: CactusledgeError) -> None:
        """Fails everything that is not durable."""
        self.settle_sent(error)
        while self._entries:
            self.settle(self._entries.popleft(), error)
        self._report_idle()

    def settle(self, entry: Entry, error: CactusledgeError | None) -> None:
        """Settles one entry and frees its bytes."""
        self._waiting.remove(entry.size_bytes)
        entry.settle(error)

    def records(self) -> tuple[ProgramRecord, ...]:
        """Returns all records that are not known to be durable."""
        entries = (*self._in_flight, *self._entries)
        return tuple(record for entry in entries for record in entry.records)

    def _report_idle(self) -> None:
        if self._entries or self._in_flight:
            return
        for future in self._idle_futures:
            future.set(None)
        self._idle_futures.clear()

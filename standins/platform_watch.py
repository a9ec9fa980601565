"""Watch streams of the platform stand-in."""

import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

from cactusledge.objects import wire
from cactusledge.objects.store import BOOKMARK, StoredObject, WatchEvent
from standins.platform_faults import Faults
from standins.platform_table import GoneError, ObjectTable


class WatchQuery(NamedTuple):
    """What a watch asks for."""

    kind: str
    prefix: str
    version: str
    timeout_s: float
    bookmark_s: float

    def wants(self, event: WatchEvent) -> bool:
        """Returns whether the event belongs in the stream."""
        if event.type == BOOKMARK:
            return True
        stored = event.object
        return stored.kind == self.kind and stored.name.startswith(self.prefix)


class WatchStream:
    """Produces the lines of one watch."""

    def __init__(
        self,
        table: ObjectTable,
        faults: Faults,
        stopping: threading.Event,
    ) -> None:
        """Belongs to the present epoch of silence."""
        self._table = table
        self._faults = faults
        self._stopping = stopping
        self._epoch = faults.silence_epoch

    def lines(self, query: WatchQuery) -> Iterator[bytes]:
        """Yields events and bookmarks until the timeout or the stop."""
        deadline_s = time.monotonic() + query.timeout_s
        version = query.version
        yield wire.encode_event(bookmark_at(query.kind, version))
        sent_s = time.monotonic()
        while time.monotonic() < deadline_s and not self._stopping.is_set():
            left_s = min(deadline_s - time.monotonic(), query.bookmark_s)
            try:
                events = self._next_events(version, max(0, left_s))
            except GoneError:
                return
            version = events[-1].object.version
            if self._is_silent():
                return
            wanted = [event for event in events if query.wants(event)]
            is_due = time.monotonic() >= sent_s + query.bookmark_s
            if wanted or is_due:
                sent_s = time.monotonic()
                bookmark = bookmark_at(query.kind, version)
                yield b''.join(map(wire.encode_event, wanted or [bookmark]))

    def _next_events(
        self,
        version: str,
        wait_s: float,
    ) -> tuple[WatchEvent, ...]:
        """Returns the next events, or a bookmark when none came in time."""
        table = self._table
        with table.condition:
            table.condition.wait_for(
                lambda: table.events_after(version),
                wait_s,
            )
            events = table.events_after(version)
            return events or (table.bookmark(''),)

    def _is_silent(self) -> bool:
        """Returns True after the stop if the stream has gone silent."""
        if self._epoch == self._faults.silence_epoch:
            return False
        self._stopping.wait()
        return True


def bookmark_at(kind: str, version: str) -> WatchEvent:
    """Returns an event that only carries a version."""
    return WatchEvent(BOOKMARK, StoredObject(kind, '', version, {}))

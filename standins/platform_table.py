"""Objects of the platform stand-in with their bounded event history."""

import threading
from collections import defaultdict, deque
from collections.abc import Mapping
from itertools import takewhile
from typing import Any

from cactusledge.objects.store import (
    ADDED,
    BOOKMARK,
    DELETED,
    MODIFIED,
    ObjectList,
    StoredObject,
    WatchEvent,
)

HISTORY_EVENTS = 1000

Key = tuple[str, str]


class MissingError(Exception):
    """The object does not exist."""


class LostError(Exception):
    """The conditional write lost."""


class GoneError(Exception):
    """The version is older than the history."""


class ObjectTable:
    """Objects by kind and name; one version counter for all of them."""

    def __init__(self, history_events: int = HISTORY_EVENTS) -> None:
        """Starts empty."""
        self._objects: dict[Key, StoredObject] = {}
        self._events: deque[WatchEvent] = deque(maxlen=history_events)
        self._version = 1
        self._oldest = 1
        self.condition = threading.Condition()

    def read(self, kind: str, name: str) -> StoredObject:
        """Returns the object; raises MissingError if there is none."""
        with self.condition:
            return self._find(kind, name)

    def list(self, kind: str, prefix: str) -> ObjectList:
        """Returns the objects of a kind in the order of their names."""
        with self.condition:
            found = sorted(
                stored
                for (of_kind, name), stored in self._objects.items()
                if of_kind == kind and name.startswith(prefix)
            )
            return ObjectList(tuple(found), str(self._version))

    def snapshot(self) -> 'ObjectTable':
        """Returns a copy of the objects without their history."""
        copy = ObjectTable()
        with self.condition:
            copy._objects = self._objects.copy()
            copy._version = self._version
        return copy

    def create(
        self,
        kind: str,
        name: str,
        body: Mapping[str, Any],
    ) -> StoredObject:
        """Creates the object; raises LostError if it exists."""
        with self.condition:
            if (kind, name) in self._objects:
                raise LostError
            return self._store(ADDED, StoredObject(kind, name, '', body))

    def update(
        self,
        kind: str,
        name: str,
        body: Mapping[str, Any],
        version: str,
    ) -> StoredObject:
        """Replaces the object; raises LostError for another version."""
        with self.condition:
            if self._find(kind, name).version != version:
                raise LostError
            return self._store(MODIFIED, StoredObject(kind, name, '', body))

    def delete(self, kind: str, name: str) -> StoredObject:
        """Removes the object."""
        with self.condition:
            stored = self._store(DELETED, self._find(kind, name))
            self._objects.pop((kind, name))
            return stored

    def events_after(self, version: str) -> tuple[WatchEvent, ...]:
        """Returns the events after a version; raises GoneError if too old."""
        with self.condition:
            after = int(version)
            if after < self._oldest:
                raise GoneError
            newest_first = takewhile(
                lambda event: int(event.object.version) > after,
                reversed(self._events),
            )
            return tuple(reversed(tuple(newest_first)))

    def bookmark(self, kind: str) -> WatchEvent:
        """Returns an event that carries the present version."""
        with self.condition:
            marker = StoredObject(kind, '', str(self._version), {})
            return WatchEvent(BOOKMARK, marker)

    def _find(self, kind: str, name: str) -> StoredObject:
        try:
            return self._objects[kind, name]
        except KeyError:
            raise MissingError from None

    def _store(self, event_type: str, stored: StoredObject) -> StoredObject:
        self._version += 1
        stored = stored._replace(version=str(self._version))
        self._objects[stored.kind, stored.name] = stored
        if len(self._events) == self._events.maxlen:
            self._oldest = int(self._events[0].object.version)
        self._events.append(WatchEvent(event_type, stored))
        self.condition.notify_all()
        return stored


class Counters:
    """Counts requests for the checks of tests; safe for many threads."""

    def __init__(self) -> None:
        """Starts at zero."""
        self._lock = threading.Lock()
        self._counts: dict[str, dict[str, int]] = {
            'reads': defaultdict(int),
            'writes': defaultdict(int),
            'watches': defaultdict(int),
        }

    def count(self, group: str, kind: str) -> None:
        """Counts one request."""
        with self._lock:
            self._counts[group][kind] += 1

    def records(self) -> dict[str, Any]:
        """Returns the totals, and the counts of each kind under `kinds`."""
        with self._lock:
            kinds = {group: dict(by) for group, by in self._counts.items()}
        totals = {group: sum(by.values()) for group, by in kinds.items()}
        return {**totals, 'kinds': kinds}

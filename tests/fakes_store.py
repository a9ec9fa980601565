"""An in-memory object store with fault injection."""

import contextlib
import threading
from collections import deque
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from cactusledge.errors import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreNotFoundError,
    StoreUnavailableError,
)

REMEDY = 'Try again.'


class FakeObject(NamedTuple):
    """Same fields as the platform's StoredObject."""

    kind: str
    name: str
    version: str
    body: Mapping[str, Any]


class FakeList(NamedTuple):
    """Same fields as the platform's ObjectList."""

    items: tuple[FakeObject, ...]
    version: str


class FakeStore:
    """Supports conditional writes and injects faults into updates.

    Each update takes one fault from `faults`: `unavailable`, `conflict`,
    `lost_after` (executed, response lost), `lost_before` (not executed,
    response lost) or `delayed` (response lost, executed by `apply_delayed`).
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], FakeObject] = {}
        self.faults: deque[str] = deque()
        self.reads_blocked = False
        self.write_delayed = threading.Event()
        self.delayed_writes: list[Any] = []
        self.down = False
        self.writes = 0
        self._serial = 0
        self._lock = threading.RLock()

    def read(self, kind, name):
        """Returns the object or raises StoreNotFoundError."""
        with self._lock:
            self._check_reads()
            stored = self.objects.get((kind, name))
            if stored is None:
                raise StoreNotFoundError('No object.', remedy=REMEDY)
            return stored

    def list(self, kind, prefix=''):
        """Returns the objects of a kind whose names start with `prefix`."""
        with self._lock:
            self._check_reads()
            found = [
                stored
                for key, stored in sorted(self.objects.items())
                if key[0] == kind and key[1].startswith(prefix)
            ]
            return FakeList(tuple(found), str(self._serial))

    def create(self, kind, name, body):
        """Creates the object or raises StoreConflictError."""
        with self._lock:
            self._check_up()
            if (kind, name) in self.objects:
                raise StoreConflictError('It exists.', remedy=REMEDY)
            return self._put(kind, name, body)

    def update(self, kind, name, body, version):
        """Replaces the object if it has the version; applies the next fault."""
        with self._lock:
            self._check_up()
            fault = self.faults.popleft() if self.faults else ''
            if fault == 'unavailable':
                raise StoreUnavailableError('Down.', remedy=REMEDY)
            if fault == 'conflict':
                raise StoreConflictError('Another version.', remedy=REMEDY)
            if fault == 'delayed':
                self.delayed_writes.append((kind, name, body, version))
                self.write_delayed.set()
            if fault in {'lost_before', 'delayed'}:
                raise StoreAnswerLostError('Lost.', remedy=REMEDY)
            stored = self._update(kind, name, body, version)
            if fault == 'lost_after':
                raise StoreAnswerLostError('Lost.', remedy=REMEDY)
            return stored

    def watch(self, kind, version, timeout_s, prefix='') -> Iterator[Any]:
        """Returns an empty stream."""
        return iter(())

    def apply_delayed(self) -> None:
        """Executes delayed writes; drops those whose version has changed."""
        with self._lock:
            for write in self.delayed_writes:
                with contextlib.suppress(StoreConflictError):
                    self._update(*write)
            self.delayed_writes.clear()

    def _update(self, kind, name, body, version):
        stored = self.objects.get((kind, name))
        if stored is None:
            raise StoreNotFoundError('No object.', remedy=REMEDY)
        if stored.version != version:
            raise StoreConflictError('Another version.', remedy=REMEDY)
        return self._put(kind, name, body)

    def _put(self, kind, name, body):
        self._serial += 1
        self.writes += 1
        stored = FakeObject(kind, name, str(self._serial), dict(body))
        self.objects[kind, name] = stored
        return stored

    def _check_reads(self) -> None:
        self._check_up()
        if self.reads_blocked:
            raise StoreUnavailableError('Down.', remedy=REMEDY)

    def _check_up(self) -> None:
        if self.down:
            raise StoreUnavailableError('Down.', remedy=REMEDY)

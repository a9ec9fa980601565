"""Data types of the platform's object API and the protocol of its clients."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, Protocol

ADDED = 'ADDED'
MODIFIED = 'MODIFIED'
DELETED = 'DELETED'
BOOKMARK = 'BOOKMARK'


class StoredObject(NamedTuple):
    """An object as stored by the platform."""

    kind: str
    name: str
    version: str  # opaque resource version
    body: Mapping[str, Any]


class ObjectList(NamedTuple):
    """The objects of a kind, and the version to watch from."""

    items: tuple[StoredObject, ...]
    version: str  # watch from here


class WatchEvent(NamedTuple):
    """A change of one object, or a bookmark, which only carries a version."""

    type: str  # ADDED, MODIFIED, DELETED, BOOKMARK
    object: StoredObject


class ObjectStore(Protocol):
    """Reads, conditionally writes and watches the platform's objects."""

    def read(self, kind: str, name: str) -> StoredObject:
        """Returns the object; raises StoreNotFoundError if there is none."""

    def list(self, kind: str, prefix: str = '') -> ObjectList:
        """Returns all objects of a kind whose names start with `prefix`."""

    def create(
        self,
        kind: str,
        name: str,
        body: Mapping[str, Any],
    ) -> StoredObject:
        """Creates the object; raises StoreConflictError if it exists."""

    def update(
        self,
        kind: str,
        name: str,
        body: Mapping[str, Any],
        version: str,
    ) -> StoredObject:
        """Replaces the object if it still has the given version."""

    def watch(
        self,
        kind: str,
        version: str,
        timeout_s: float,
        prefix: str = '',
    ) -> Iterator[WatchEvent]:
        """Yields the changes after `version` for `timeout_s` seconds."""

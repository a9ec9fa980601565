"""Reads the documents of stored objects, each by itself.

Another writer may have left entries that cannot be read: they are left out, and
the others count.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
import structlog

from cactusledge.objects.store import StoredObject

EMPTY_SPEC = msgspec.Raw(b'{}')
MAX_TOLD = 256  # unreadable documents that are remembered
MAX_LOGGED = 200  # bytes of one

log = structlog.get_logger('platform')


class Metadata(msgspec.Struct):
    """Name and version of an object."""

    name: str
    revision: int


class Document(msgspec.Struct):
    """An object; its fields are decoded by themselves."""

    metadata: Metadata
    spec: msgspec.Raw = EMPTY_SPEC


class DocumentReader:
    """Reads documents of lists and watches; tells each unreadable one once."""

    def __init__(self) -> None:
        """Starts with none told."""
        self._told: set[int] = set()  # hashes of the documents

    def read(self, kind: str, content: msgspec.Raw) -> StoredObject | None:
        """Returns the object, None if it has no usable name or version."""
        try:
            return stored_object_of(
                kind, msgspec.json.decode(content, type=Document)
            )
        except msgspec.MsgspecError as exc:
            self._tell(kind, bytes(content), exc)
            return None

    def read_all(
        self, kind: str, contents: Iterable[msgspec.Raw]
    ) -> list[StoredObject]:
        """Returns the objects that can be read."""
        read = (self.read(kind, content) for content in contents)
        return [stored for stored in read if stored is not None]

    def _tell(self, kind: str, content: bytes, exc: Exception) -> None:
        digest = hash(content)
        if digest in self._told:
            return
        if len(self._told) >= MAX_TOLD:
            self._told.clear()
        self._told.add(digest)
        log.warning(
            'platform: unreadable entry left out',
            kind=kind,
            error=str(exc),
            entry=content[:MAX_LOGGED],
        )


def stored_object_of(kind: str, document: Document) -> StoredObject:
    """Converts a document; fields that cannot be decoded are left out."""
    metadata = document.metadata
    return StoredObject(
        kind=kind,
        name=metadata.name,
        version=str(metadata.revision),
        body=decode_spec(document.spec),
    )


def decode_spec(spec: msgspec.Raw) -> Mapping[str, Any]:
    """Returns the fields of an object; none if they cannot be decoded."""
    try:
        return msgspec.json.decode(spec, type=dict[str, Any])
    except msgspec.MsgspecError:
        return {}

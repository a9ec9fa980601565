"""JSON documents and paths of the object API."""

from collections.abc import Mapping
from typing import Any, TypedDict
from urllib.parse import quote, urlencode

import msgspec

from cactusledge.objects.store import ObjectList, StoredObject, WatchEvent

API_ROOT = '/apis/cactusledge/v1'


class Metadata(TypedDict, total=False):
    """Name and version of an object."""

    name: str
    resourceVersion: str


class Document(TypedDict, total=False):
    """The JSON document of an object."""

    kind: str
    metadata: Metadata
    spec: Mapping[str, Any]


class ListDocument(TypedDict):
    """The response to a list request."""

    metadata: Metadata
    items: list[Document]


class EventDocument(TypedDict):
    """One line of a watch stream."""

    type: str
    object: Document


def object_path(kind: str, name: str) -> str:
    """Returns the path of one object."""
    return f'{kind_path(kind)}/{quote(name, safe="")}'


def kind_path(kind: str) -> str:
    """Returns the path of all objects of a kind."""
    return f'{API_ROOT}/{quote(kind, safe="")}'


def with_query(path: str, query: Mapping[str, str]) -> str:
    """Appends the non-empty query parameters to the path."""
    given = {key: value for key, value in query.items() if value}
    if not given:
        return path
    return f'{path}?{urlencode(given)}'


def to_document(stored: StoredObject) -> Document:
    """Converts an object to a document."""
    metadata = Metadata(name=stored.name)
    if stored.version:
        metadata['resourceVersion'] = stored.version
    return Document(kind=stored.kind, metadata=metadata, spec=stored.body)


def from_document(document: Document) -> StoredObject:
    """Converts a document to an object."""
    metadata = document['metadata']
    return StoredObject(
        kind=document['kind'],
        name=metadata.get('name', ''),
        version=metadata.get('resourceVersion', ''),
        body=document.get('spec', {}),
    )


def encode_object(stored: StoredObject) -> bytes:
    """Encodes an object as JSON."""
    return msgspec.json.encode(to_document(stored))


def decode_object(data: bytes) -> StoredObject:
    """Decodes an object from JSON."""
    return from_document(msgspec.json.decode(data, type=Document))


def encode_list(listed: ObjectList) -> bytes:
    """Encodes a list response as JSON."""
    return msgspec.json.encode(
        ListDocument(
            metadata=Metadata(resourceVersion=listed.version),
            items=[to_document(stored) for stored in listed.items],
        ),
    )


def decode_list(data: bytes) -> ObjectList:
    """Decodes a list response from JSON."""
    document = msgspec.json.decode(data, type=ListDocument)
    return ObjectList(
        items=tuple(from_document(found) for found in document['items']),
        version=document['metadata'].get('resourceVersion', ''),
    )


def encode_event(event: WatchEvent) -> bytes:
    """Encodes an event as one line of a watch stream."""
    document = EventDocument(type=event.type, object=to_document(event.object))
    line = bytearray(msgspec.json.encode(document))
    line.extend(b'\n')
    return bytes(line)


def decode_event(line: bytes) -> WatchEvent:
    """Decodes one line of a watch stream."""
    document = msgspec.json.decode(line, type=EventDocument)
    return WatchEvent(document['type'], from_document(document['object']))

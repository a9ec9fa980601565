"""Client for the platform's objects; implements `objects.store.ObjectStore`."""

from collections.abc import Iterator, Mapping
from functools import cached_property
from importlib import import_module
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from cactusledge.errors import StoreAnswerLostError, StoreUnavailableError
from cactusledge.models import Address
from cactusledge.objects.replies import Reply
from cactusledge.objects.statuses import (
    UNKNOWN_OUTCOME,
    as_unavailable,
    check_status,
    store_error,
)
from cactusledge.objects.store import (
    ADDED,
    BOOKMARK,
    DELETED,
    ObjectList,
    StoredObject,
    WatchEvent,
)
from cactusledge.objects.tolerant_json import decode_nested
from cactusledge.platform.stored_documents import (
    Document,
    DocumentReader,
    stored_object_of,
)

if TYPE_CHECKING:
    from cactusledge.objects.exchange import Exchange

API_ROOT = '/api/objects'
REQUEST_TIMEOUT_S = 1.5
WATCH_MARGIN_S = 1.0  # at most, for the response after the full wait

Decoded = TypeVar('Decoded')


class Page(msgspec.Struct):
    """One page of a list."""

    items: list[msgspec.Raw]
    as_of: int
    has_more: bool = False


class Event(msgspec.Struct):
    """A change of one object."""

    object: msgspec.Raw
    deleted: bool = False


class Changes(msgspec.Struct):
    """The response to a watch."""

    events: list[Event]
    as_of: int


class PlatformObjects:
    """Reads, writes and watches the platform's objects; thread-safe."""

    def __init__(self, address: Address) -> None:
        """Stores the address; connections are opened by requests."""
        self._address = address
        self._documents = DocumentReader()

    def close(self) -> None:
        """Closes the idle connections."""
        self._exchange.close()

    def read(self, kind: str, name: str) -> StoredObject:
        """Returns the object; raises StoreNotFoundError if there is none."""
        return self._decode(kind, self._get(object_path(kind, name)))

    def list(self, kind: str, prefix: str = '') -> ObjectList:
        """Returns all objects of a kind whose names start with `prefix`."""
        page = self._fetch_page(kind, {})
        version = str(page.as_of)
        read = self._documents.read_all(kind, page.items)
        items = read
        while page.has_more and read:
            page = self._fetch_page(kind, {'after': read[-1].name})
            read = self._documents.read_all(kind, page.items)
            items += read
        matching = (
            stored for stored in items if stored.name.startswith(prefix)
        )
        return ObjectList(tuple(matching), version)

    def create(
        self, kind: str, name: str, body: Mapping[str, Any]
    ) -> StoredObject:
        """Creates the object; raises StoreConflictError if it exists."""
        document = {'metadata': {'name': name}, 'spec': body}
        return self._write('POST', object_path(kind), kind, document)

    def update(
        self, kind: str, name: str, body: Mapping[str, Any], version: str
    ) -> StoredObject:
        """Replaces the object if it still has the given version."""
        metadata = {'name': name, 'revision': int(version)}
        document = {'metadata': metadata, 'spec': body}
        return self._write('PUT', object_path(kind, name), kind, document)

    def put_status(
        self, kind: str, name: str, status: Mapping[str, Any]
    ) -> StoredObject:
        """Replaces the status of an object that the operator created."""
        document = {'metadata': {'name': name}, 'status': status}
        path = f'{object_path(kind, name)}/status'
        return self._write('PUT', path, kind, document)

    def watch(
        self,
        kind: str,
        version: str,
        timeout_s: float,
        prefix: str = '',
    ) -> Iterator[WatchEvent]:
        """Yields the changes after `version` from a single long poll.

        The platform responds at the first change, or after `timeout_s` without
        one. The last event is always a bookmark, so that the next watch knows
        its version.
        """
        query = {'watch': version, 'wait_ms': str(int(timeout_s * 1000))}
        margin_s = min(WATCH_MARGIN_S, timeout_s / 2)
        exchange = new_exchange(self._address, timeout_s + margin_s)
        try:
            reply = self._request(
                exchange, f'{object_path(kind)}?{urlencode(query)}'
            )
        finally:
            exchange.close()
        changes = decode(reply, Changes)
        for event in changes.events:
            stored = self._documents.read(kind, event.object)
            if stored is not None and stored.name.startswith(prefix):
                yield WatchEvent(DELETED if event.deleted else ADDED, stored)
        bookmark = StoredObject(kind, '', str(changes.as_of), {})
        yield WatchEvent(BOOKMARK, bookmark)

    @cached_property
    def _exchange(self) -> 'Exchange':
        return new_exchange(self._address, REQUEST_TIMEOUT_S)

    def _fetch_page(self, kind: str, query: Mapping[str, str]) -> Page:
        path = object_path(kind)
        if query:
            path = f'{path}?{urlencode(query)}'
        return decode(self._get(path), Page)

    def _get(self, path: str) -> Reply:
        return self._request(self._exchange, path)

    def _request(self, exchange: 'Exchange', path: str) -> Reply:
        try:
            reply = exchange.send('GET', path)
            check_status(path, reply)
        except StoreAnswerLostError as exc:
            raise as_unavailable(exc) from exc
        return reply

    def _write(
        self, method: str, path: str, kind: str, document: Mapping[str, Any]
    ) -> StoredObject:
        content = msgspec.json.encode(document)
        reply = self._exchange.send(method, path, content)
        check_status(path, reply)
        try:
            return stored_object_of(kind, decode_nested(reply.body, Document))
        except msgspec.MsgspecError as exc:
            raise store_error(UNKNOWN_OUTCOME, path, None) from exc

    def _decode(self, kind: str, reply: Reply) -> StoredObject:
        return stored_object_of(kind, decode(reply, Document))


def new_exchange(address: Address, timeout_s: float) -> 'Exchange':
    """Returns a client of one address.

    The first one imports the HTTP library: in the thread of a watcher, so that
    a process opens its ports meanwhile.
    """
    module = import_module('cactusledge.objects.exchange')
    exchange: Exchange = module.Exchange((address,), timeout_s)
    return exchange


def object_path(kind: str, name: str = '') -> str:
    """Returns the path of one object, or of the kind without a name."""
    path = f'{API_ROOT}/{quote(kind, safe="")}'
    return f'{path}/{quote(name, safe="")}' if name else path


def decode(reply: Reply, struct: type[Decoded]) -> Decoded:
    """Decodes a JSON response; an invalid one counts as unavailable."""
    try:
        return decode_nested(reply.body, struct)
    except msgspec.MsgspecError as exc:
        raise StoreUnavailableError(
            'The platform sent an invalid JSON document.',
            remedy='Try again later.',
        ) from exc

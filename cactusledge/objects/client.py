"""HTTP client for the platform's object API."""

from collections.abc import Iterator, Mapping, Sequence
from contextlib import closing
from typing import Any

import msgspec
from urllib3.exceptions import HTTPError

from cactusledge.errors import (
    StoreAnswerLostError,
    StoreUnavailableError,
)
from cactusledge.models import Address
from cactusledge.objects import wire
from cactusledge.objects.errors import StoreRefusedError, StoreSilentError
from cactusledge.objects.exchange import (
    Exchange,
    new_pool,
    request_timeout,
)
from cactusledge.objects.replies import Reply
from cactusledge.objects.statuses import (
    UNKNOWN_OUTCOME,
    as_unavailable,
    check_status,
    store_error,
)
from cactusledge.objects.store import ObjectList, StoredObject, WatchEvent

REQUEST_TIMEOUT_S = 2.0
WATCH_SILENCE_S = 5.0  # maximum wait for an event or a bookmark


class HttpObjectStore:
    """Thread-safe HTTP client for the platform's object API.

    A write is sent at most once. A read without a complete response is retried
    once on a new connection, because reads have no side effects; a second
    failure raises StoreUnavailableError.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        timeout_s: float = REQUEST_TIMEOUT_S,
        silence_s: float = WATCH_SILENCE_S,
    ) -> None:
        """Stores the addresses; connections are opened by requests."""
        self._exchange = Exchange(addresses, timeout_s)
        self._timeout_s = timeout_s
        self._silence_s = silence_s

    def close(self) -> None:
        """Closes the idle connections; no request may be sent afterwards."""
        self._exchange.close()

    def read(self, kind: str, name: str) -> StoredObject:
        """Returns the object; raises StoreNotFoundError if there is none."""
        path = wire.object_path(kind, name)
        return wire.decode_object(self._get(path).body)

    def list(self, kind: str, prefix: str = '') -> ObjectList:
        """Returns all objects of a kind whose names start with `prefix`."""
        path = wire.with_query(wire.kind_path(kind), {'prefix': prefix})
        return wire.decode_list(self._get(path).body)

    def create(
        self,
        kind: str,
        name: str,
        body: Mapping[str, Any],
    ) -> StoredObject:
        """Creates the object; raises StoreConflictError if it exists."""
        stored = StoredObject(kind, name, '', body)
        return self._write('POST', wire.kind_path(kind), stored)

    def update(
        self,
        kind: str,
        name: str,
        body: Mapping[str, Any],
        version: str,
    ) -> StoredObject:
        """Replaces the object if it still has the given version."""
        if not version:
            raise StoreRefusedError(
                f'The update of {kind}/{name} names no version.',
                remedy='Read the object and pass its version.',
            )
        stored = StoredObject(kind, name, version, body)
        return self._write('PUT', wire.object_path(kind, name), stored)

    def watch(
        self,
        kind: str,
        version: str,
        timeout_s: float,
        prefix: str = '',
    ) -> Iterator[WatchEvent]:
        """Yields the changes after `version` for `timeout_s` seconds.

        Raises:
            StoreVersionGoneError: The version is no longer in the history;
                list the objects again.
            StoreSilentError: The stream could not be opened, broke, or sent
                neither an event nor a bookmark in time.
            StoreUnavailableError: The platform could not serve the watch.
        """
        query = {
            'watch': '1',
            'resourceVersion': version,
            'timeoutSeconds': f'{timeout_s:g}',
            'prefix': prefix,
        }
        path = wire.with_query(wire.kind_path(kind), query)
        try:
            yield from self._stream(path)
        except StoreAnswerLostError as exc:
            raise as_unavailable(exc) from exc
        except (HTTPError, OSError, msgspec.MsgspecError) as exc:
            raise StoreSilentError(
                f'The watch {path} broke or timed out ({type(exc).__name__}).',
                remedy='List again and watch on a new connection.',
            ) from exc

    def _stream(self, path: str) -> Iterator[WatchEvent]:
        with new_pool(self._exchange.address) as pool:
            resp = pool.request(
                'GET',
                path,
                preload_content=False,
                timeout=request_timeout(self._silence_s),
                retries=False,
            )
            with closing(resp):
                check_status(path, Reply(resp.status, b'', None))
                yield from decode_event_lines(resp.stream())

    def _get(self, path: str) -> Reply:
        try:
            reply = self._send_read(path)
            check_status(path, reply)
        except StoreAnswerLostError as exc:
            raise as_unavailable(exc) from exc
        return reply

    def _send_read(self, path: str) -> Reply:
        """Returns the response; retries once if no complete one arrived."""
        try:
            return self._exchange.send('GET', path)
        except (StoreAnswerLostError, StoreUnavailableError):
            return self._exchange.send('GET', path)

    def _write(
        self, method: str, path: str, stored: StoredObject
    ) -> StoredObject:
        reply = self._exchange.send(method, path, wire.encode_object(stored))
        check_status(f'{stored.kind}/{stored.name}', reply)
        try:
            return wire.decode_object(reply.body)
        except msgspec.MsgspecError as exc:
            raise store_error(UNKNOWN_OUTCOME, path, None) from exc


def decode_event_lines(parts: Iterator[bytes]) -> Iterator[WatchEvent]:
    """Yields the events in a stream of JSON lines."""
    partial_line = b''
    for part in parts:
        *lines, partial_line = (partial_line + part).split(b'\n')
        yield from (wire.decode_event(line) for line in lines if line)

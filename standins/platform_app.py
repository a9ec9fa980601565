"""WSGI application of the platform stand-in."""

import math
import socket
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import msgspec

from cactusledge.objects import wire
from cactusledge.objects.store import StoredObject
from standins.platform_faults import Faults, WriteFaults, decode_faults
from standins.platform_limits import Limits, request_budget
from standins.platform_table import (
    Counters,
    GoneError,
    LostError,
    MissingError,
    ObjectTable,
)
from standins.platform_watch import WatchQuery, WatchStream

CONNECTION_KEY = 'standins.connection'
Environ = Mapping[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

ERROR_STATUS: Mapping[type[Exception], HTTPStatus] = MappingProxyType({
    MissingError: HTTPStatus.NOT_FOUND,
    LostError: HTTPStatus.CONFLICT,
    GoneError: HTTPStatus.GONE,
    msgspec.MsgspecError: HTTPStatus.BAD_REQUEST,
    KeyError: HTTPStatus.BAD_REQUEST,
})
API_ERRORS = tuple(ERROR_STATUS)


class Request(NamedTuple):
    """A parsed request."""

    method: str
    path: tuple[str, ...]  # kind, or kind and name
    query: Mapping[str, str]
    body: bytes
    connection: socket.socket

    @property
    def is_watch(self) -> bool:
        """Whether the request opens a watch."""
        return self.method == 'GET' and self.query.get('watch') == '1'


class Response(NamedTuple):
    """An answer; `body` may be a stream of parts."""

    status: HTTPStatus
    body: Iterable[bytes]
    headers: tuple[tuple[str, str], ...] = ()


class PlatformApp:
    """Answers the requests of the object API, with the faults set."""

    def __init__(self, limits: Limits) -> None:
        """Starts with no objects."""
        self.table = ObjectTable(limits.history_events)
        self.faults = Faults()
        self.counters = Counters()
        self.stopping = threading.Event()
        self._limits = limits
        self._reads = request_budget(limits.reads_per_s)
        self._writes = request_budget(limits.writes_per_s)
        self._stale = self.table

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answers one request, as WSGI calls it."""
        response = self._route(environ)
        status = response.status
        headers = [('Content-Type', 'application/json'), *response.headers]
        if isinstance(response.body, list):
            length = sum(len(part) for part in response.body)
            headers.append(('Content-Length', str(length)))
        start_response(f'{status.value} {status.phrase}', headers)
        return response.body

    def set_faults(self, data: bytes) -> None:
        """Sets the switches given as JSON; all others are reset."""
        settings = decode_faults(data)
        self._stale = self.table.snapshot()
        self.faults.replace(settings)

    def _route(self, environ: Environ) -> Response:
        req = parse_request(environ)
        try:
            return self._dispatch(req)
        except API_ERRORS as exc:
            return failure(status_of(exc))

    def _dispatch(self, req: Request) -> Response:
        if req.path == ('faults',):
            self.set_faults(req.body)
            return answer(self.faults.settings)
        if req.path == ('records',):
            return answer(self.counters.records())
        return self._handle(req)

    def _handle(self, req: Request) -> Response:
        budget = self._reads if req.method == 'GET' else self._writes
        self.counters.count(group_of(req), req.path[0])
        if self.faults.settings.get('down'):
            return failure(HTTPStatus.SERVICE_UNAVAILABLE)
        wait_s = budget.take_or_wait_s() if budget else 0
        if wait_s:
            return failure(HTTPStatus.TOO_MANY_REQUESTS, wait_s)
        if len(req.body) > self._limits.object_bytes:
            return failure(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self._delay()
        if req.is_watch:
            return self._watch(req)
        if req.method == 'GET':
            return self._get(req)
        return self._write(req, self.faults.next_write())

    def _delay(self) -> None:
        settings = self.faults.settings
        changed = self.faults.changed
        self.stopping.wait(settings.get('slow_ms', 0) / 1000)
        while settings.get('hang') and not self.stopping.is_set():
            if changed.wait(self._limits.poll_s):
                break

    def _get(self, req: Request) -> Response:
        if len(req.path) > 1:
            return answer_object(self.table.read(*req.path))
        stale = self.faults.settings.get('stale_list')
        table = self._stale if stale else self.table
        listed = table.list(req.path[0], req.query.get('prefix', ''))
        return Response(HTTPStatus.OK, [wire.encode_list(listed)])

    def _write(self, req: Request, faults: WriteFaults) -> Response:
        if faults.lose_before:
            return drop(req)
        if faults.late_s:
            timer = threading.Timer(faults.late_s, self._land, [req])
            timer.daemon = True
            timer.start()
            return drop(req)
        response = self._land(req)
        if faults.cut_after:
            return cut(req, response)
        return drop(req) if faults.lose_after else response

    def _land(self, req: Request) -> Response:
        try:
            stored = self._apply(req)
        except API_ERRORS as exc:
            return failure(status_of(exc))
        return answer_object(stored)

    def _apply(self, req: Request) -> StoredObject:
        if req.method == 'DELETE':
            return self.table.delete(*req.path)
        kind = req.path[0]
        sent = wire.decode_object(req.body)
        if req.method == 'POST':
            return self.table.create(kind, sent.name, sent.body)
        return self.table.update(kind, req.path[1], sent.body, sent.version)

    def _watch(self, req: Request) -> Response:
        query = WatchQuery(
            kind=req.path[0],
            prefix=req.query.get('prefix', ''),
            version=req.query['resourceVersion'],
            timeout_s=float(req.query['timeoutSeconds']),
            bookmark_s=self._limits.bookmark_s,
        )
        self.table.events_after(query.version)  # raises if it is too old
        stream = WatchStream(self.table, self.faults, self.stopping)
        return Response(HTTPStatus.OK, stream.lines(query))


def parse_request(environ: Environ) -> Request:
    """Returns the request of a WSGI environment."""
    length = int(environ.get('CONTENT_LENGTH') or 0)
    path = environ['PATH_INFO'].removeprefix(wire.API_ROOT)
    query = parse_qs(environ['QUERY_STRING'])
    return Request(
        method=environ['REQUEST_METHOD'],
        path=tuple(part for part in path.split('/') if part),
        query={key: found[-1] for key, found in query.items()},
        body=environ['wsgi.input'].read(length) if length else b'',
        connection=environ[CONNECTION_KEY],
    )


def group_of(req: Request) -> str:
    """Returns the counter that the request belongs to."""
    if req.is_watch:
        return 'watches'
    return 'reads' if req.method == 'GET' else 'writes'


def status_of(exc: Exception) -> HTTPStatus:
    """Returns the HTTP status that the error stands for."""
    return next(
        status
        for error, status in ERROR_STATUS.items()
        if isinstance(exc, error)
    )


def answer(document: Any) -> Response:
    """Returns a success with a JSON document."""
    return Response(HTTPStatus.OK, [msgspec.json.encode(document)])


def answer_object(stored: StoredObject) -> Response:
    """Returns a success with an object."""
    return Response(HTTPStatus.OK, [wire.encode_object(stored)])


def failure(status: HTTPStatus, wait_s: float = 0) -> Response:
    """Returns an error answer."""
    headers = (('Retry-After', str(math.ceil(wait_s))),) if wait_s else ()
    return Response(status, [b'{}'], headers)


def drop(req: Request) -> Response:
    """Closes the connection, so that no answer reaches the client."""
    req.connection.shutdown(socket.SHUT_RDWR)
    return failure(HTTPStatus.OK)


def cut(req: Request, response: Response) -> Response:
    """Sends half of the answer and closes the connection."""
    content = b''.join(response.body)
    length = str(len(content))
    return Response(
        response.status,
        send_half(req, content),
        (('Content-Length', length),),
    )


def send_half(req: Request, content: bytes) -> Iterator[bytes]:
    """Yields half of the content, then closes the connection."""
    yield content[: len(content) // 2]
    req.connection.shutdown(socket.SHUT_RDWR)

"""Small HTTP server on cheroot whose connections can be made to fail."""

import json
import os
import re
import socket
import struct
import threading
import time
import weakref
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote, urlsplit

from cheroot.server import HTTPConnection, HTTPServer

from standins.service_faults import (
    Fault,
    FaultKind,
    FaultSwitches,
    parse_faults,
)

IDLE_LIMIT_S = 60
SELECT_INTERVAL_S = 0.05
STOP_LIMIT_S = 0.2
PEEK_BYTES = 256
CONTROL_PATHS = ('/faults', '/records')
NOT_RUN_HEADERS = (('X-Not-Run', 'true'),)
REASONS: Mapping[int, str] = {
    200: 'OK',
    404: 'Not Found',
    409: 'Conflict',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}
RESET_ON_CLOSE = struct.pack('ii', 1, 0)  # SO_LINGER: on, zero seconds


class Request(NamedTuple):
    """A request as its handler sees it; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    fault: Fault | None = None

    def document(self) -> dict[str, Any]:
        """Returns the JSON object of the body."""
        return json.loads(self.body or b'{}')  # type: ignore[no-any-return]


class Reply(NamedTuple):
    """The answer to a request; an iterator makes it a chunked stream."""

    status: int
    body: bytes | Iterator[bytes]
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = 'application/json'


class ConnectionResetFault(Exception):  # ruff: ignore[error-suffix-on-exception-name]
    """The connection is reset now."""


class ConnectionSilentFault(Exception):  # ruff: ignore[error-suffix-on-exception-name]
    """Nothing more is sent on the connection, which stays open."""


Handler = Callable[[Request], Reply]


class Route(NamedTuple):
    """What answers a method and a path; the path's groups are arguments."""

    method: str
    path: str  # a regular expression
    action: Callable[..., Reply]


class Router:
    """Hands requests to the first route that fits."""

    def __init__(self, *routes: Route) -> None:
        """Keeps the routes in their order."""
        self._routes = [
            (route.method, re.compile(route.path), route.action)
            for route in routes
        ]

    def __call__(self, request: Request) -> Reply:
        """Returns the reply of the route, or 404."""
        for method, pattern, action in self._routes:
            match = pattern.fullmatch(request.path)
            if match and method == request.method:
                return action(request, *match.groups())
        return json_reply(404, {'error': 'no such path'}, NOT_RUN_HEADERS)


def json_reply(
    status: int,
    document: Any,
    headers: tuple[tuple[str, str], ...] = (),
) -> Reply:
    """Returns a reply with a JSON body."""
    return Reply(status, json.dumps(document).encode(), headers)


class _Connection(HTTPConnection):
    """A connection that can go silent or be reset."""

    silent = False
    reset = False

    def communicate(self) -> bool:
        """Serves the next request unless a fault prevents it."""
        if self.silent:
            self.server.parked.append(self)
            return False
        if self._meets_reset():
            self.reset_now()
            return False
        return bool(super().communicate())  # type: ignore[no-untyped-call]

    def close(self) -> None:
        """Closes the socket, except of a silent connection."""
        held = self.silent or self.reset
        if not held and self.socket.fileno() >= 0:
            super().close()

    def reset_now(self) -> None:
        """Closes the socket so that the peer sees a reset."""
        self.reset = True
        self.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            RESET_ON_CLOSE,
        )
        os.close(self.socket.detach())

    def _meets_reset(self) -> bool:
        switches: FaultSwitches = self.server.switches
        if not switches.active(FaultKind.RESET_BEFORE_READING):
            return False
        head = self.socket.recv(PEEK_BYTES, socket.MSG_PEEK).split()
        path = head[1].decode() if len(head) > 1 else '/'
        fault = switches.find(path)
        if path.startswith(CONTROL_PATHS) or fault is None:
            return False
        hit = fault.kind is FaultKind.RESET_BEFORE_READING
        if hit:
            switches.take(path)
        return hit


class _Gateway:
    """Hands one request to the handler and writes its reply."""

    def __init__(self, req: Any) -> None:
        self.req = req

    def respond(self) -> None:
        """Answers the request."""
        try:
            self._respond()
        except ConnectionResetFault:
            self._abandon()
            self.req.conn.reset_now()
        except ConnectionSilentFault:
            self._abandon()
            self.req.conn.silent = True
            self.req.server.parked.append(self.req.conn)

    def _respond(self) -> None:
        reply = self.req.server.answer(self._request())
        self._check_silent()
        self._write_head(reply)
        chunks = [reply.body] if isinstance(reply.body, bytes) else reply.body
        for chunk in chunks:
            self._check_silent()
            self.req.write(chunk)

    def _write_head(self, reply: Reply) -> None:
        headers = [('Content-Type', reply.content_type), *reply.headers]
        if isinstance(reply.body, bytes):
            headers.append(('Content-Length', str(len(reply.body))))
        reason = REASONS.get(reply.status, 'Other')
        self.req.status = f'{reply.status} {reason}'.encode()
        self.req.outheaders.extend(
            (name.encode(), text.encode()) for name, text in headers
        )
        self.req.ensure_headers_sent()

    def _request(self) -> Request:
        parts = urlsplit(self.req.uri.decode())
        length = int(self.req.inheaders.get(b'Content-Length', 0))
        return Request(
            method=self.req.method.decode(),
            path=unquote(parts.path),
            query=dict(parse_qsl(parts.query)),
            headers={
                name.decode().lower(): text.decode()
                for name, text in self.req.inheaders.items()
            },
            body=self.req.rfile.read(length) if length else b'',
        )

    def _check_silent(self) -> None:
        if self.req.conn.silent:
            raise ConnectionSilentFault

    def _abandon(self) -> None:
        self.req.sent_headers = True
        self.req.chunked_write = False
        self.req.close_connection = True


class FaultyServer:
    """Serves a handler on an address, with fault switches.

    `PUT /faults` sets the switches; it and `/records` never meet a fault.
    """

    def __init__(
        self,
        handler: Handler,
        listen: tuple[str, int],
        threads: int,
    ) -> None:
        """Keeps the handler; `start` begins to listen."""
        self.switches = FaultSwitches()
        self._handler = handler
        self._http: Any = HTTPServer(listen, _Gateway, minthreads=threads)
        self._open: weakref.WeakSet[_Connection] = weakref.WeakSet()
        self._refusing = False
        self._lock = threading.Lock()
        self._prepare()

    @property
    def port(self) -> int:
        """The TCP port that it listens on."""
        return int(self._http.bind_addr[1])

    def start(self) -> None:
        """Listens and serves in a thread of its own."""
        self._http.prepare()
        threading.Thread(target=self._http.serve, daemon=True).start()

    def stop(self) -> None:
        """Stops and closes all connections."""
        self._http.stop()
        for conn in list(self._open):
            conn.silent = False
            conn.close()
        self._http.parked.clear()

    def set_faults(self, faults: Iterable[Fault]) -> None:
        """Switches the given faults on and all others off."""
        chosen = tuple(faults)
        self.switches.replace(chosen)
        kinds = {fault.kind for fault in chosen}
        if FaultKind.SILENCE_OPEN in kinds:
            self.silence_open()
        self._set_refusing(FaultKind.REFUSE in kinds)

    def silence_open(self) -> None:
        """Makes the connections that are open now silent for good."""
        for conn in list(self._open):
            conn.silent = True

    def answer(self, request: Request) -> Reply:
        """Returns the reply to a request, faults included."""
        if request.path == '/faults':
            self.set_faults(parse_faults(request.document()))
            return json_reply(200, {})
        if request.path.startswith(CONTROL_PATHS):
            return self._handler(request)
        fault = self.switches.take(request.path)
        early = _before_effect(fault)
        if early is not None:
            return early
        reply = self._handler(request._replace(fault=fault))
        return _after_effect(fault, reply)

    def _prepare(self) -> None:
        self._http.ConnectionClass = self._new_connection
        self._http.timeout = IDLE_LIMIT_S
        self._http.expiration_interval = SELECT_INTERVAL_S
        self._http.shutdown_timeout = STOP_LIMIT_S
        self._http.request_queue_size = socket.SOMAXCONN
        self._http.error_log = _ignore_log
        self._http.parked = []
        self._http.switches = self.switches
        self._http.answer = self.answer

    def _new_connection(self, *args: Any) -> _Connection:
        conn = _Connection(*args)
        self._open.add(conn)
        return conn

    def _set_refusing(self, refusing: bool) -> None:
        with self._lock:
            if refusing != self._refusing:
                self._refusing = refusing
                _SWITCH_LISTENER[refusing](self._http)


def _ignore_log(*_args: Any, **_kwargs: Any) -> None:
    """Drops cheroot's messages about broken connections."""


def _stop_listening(http: Any) -> None:
    http.bind_addr = http.socket.getsockname()
    selector = http._connections._selector  # ruff: ignore[private-member-access]
    selector.unregister(http.socket.fileno())
    http.socket.close()


def _listen_again(http: Any) -> None:
    listener = http.prepare_socket(
        http.bind_addr,
        socket.AF_INET,
        socket.SOCK_STREAM,
        0,
        http.nodelay,
        None,
    )
    listener.bind(http.bind_addr)
    listener.listen(http.request_queue_size)
    http.socket = listener
    selector = http._connections._selector  # ruff: ignore[private-member-access]
    selector.register(listener.fileno(), 1, data=http)


_SWITCH_LISTENER: Mapping[bool, Callable[[Any], None]] = {
    True: _stop_listening,
    False: _listen_again,
}


def _delay(fault: Fault) -> None:
    time.sleep(fault.parameter)


def _silence(_fault: Fault, _reply: Reply | None = None) -> Reply:
    raise ConnectionSilentFault


def _before_effect(fault: Fault | None) -> Reply | None:
    if fault is None:
        return None
    action = _BEFORE.get(fault.kind)
    return action(fault) if action else None


def _after_effect(fault: Fault | None, reply: Reply) -> Reply:
    action = _AFTER.get(fault.kind) if fault else None
    return action(reply) if action else reply


def _refuse_not_run(_fault: Fault) -> Reply:
    return json_reply(503, {'error': 'not run'}, NOT_RUN_HEADERS)


def _reset(_reply: Reply) -> Reply:
    raise ConnectionResetFault


def _silence_after(_reply: Reply) -> Reply:
    raise ConnectionSilentFault


def _fail(_reply: Reply) -> Reply:
    return json_reply(500, {'error': 'failed after its effect'})


def _halve(reply: Reply) -> Reply:
    if isinstance(reply.body, bytes):
        length = ('Content-Length', str(len(reply.body)))
        half = reply.body[: len(reply.body) // 2]
        return reply._replace(body=_cut(half), headers=(length,))
    return reply._replace(body=_cut(next(reply.body)[:-3]))


def _cut(half: bytes) -> Iterator[bytes]:
    yield half
    raise ConnectionResetFault


_BEFORE: Mapping[FaultKind, Callable[[Fault], Reply | None]] = {
    FaultKind.SLOW: _delay,
    FaultKind.HANG: _silence,
    FaultKind.ERROR_NOT_RUN: _refuse_not_run,
}
_AFTER: Mapping[FaultKind, Callable[[Reply], Reply]] = {
    FaultKind.RESET_AFTER_EFFECT: _reset,
    FaultKind.HANG_AFTER_EFFECT: _silence_after,
    FaultKind.ERROR_AFTER_EFFECT: _fail,
    FaultKind.HALF_ANSWER: _halve,
}

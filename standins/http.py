"""Small HTTP server on cheroot whose connections can be made to fail."""

import json
import os
import re
import socket
import struct
from collections.abc import Callable, Iterator, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote, urlsplit

from cheroot.server import HTTPConnection

from standins.service_faults import (
    CONTROL_PATHS,
    Fault,
    FaultKind,
    FaultSwitches,
)

PEEK_BYTES = 256
NOT_RUN_HEADERS = (('X-Not-Run', 'true'),)
LEAVING_HEADERS = (*NOT_RUN_HEADERS, ('X-Leaving', 'true'))
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


class ConnectionClosedFault(Exception):  # ruff: ignore[error-suffix-on-exception-name]
    """The connection is closed now, though the answer is not whole."""


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
        return json_reply(
            HTTPStatus.NOT_FOUND, {'error': 'no such path'}, NOT_RUN_HEADERS
        )


def json_reply(
    status: int,
    document: Any,
    headers: tuple[tuple[str, str], ...] = (),
) -> Reply:
    """Returns a reply with a JSON body."""
    return Reply(status, json.dumps(document).encode(), headers)


class Connection(HTTPConnection):
    """A connection that can go silent or be reset."""

    def __init__(self, *args: Any) -> None:
        """Starts without a fault."""
        super().__init__(*args)
        self.silent = False
        self.was_reset = False

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
        held = self.silent or self.was_reset
        if not held and self.socket.fileno() >= 0:
            super().close()

    def reset_now(self) -> None:
        """Closes the socket so that the peer sees a reset."""
        self.was_reset = True
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


class Gateway:
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
        except ConnectionClosedFault:
            self._abandon()
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
        status = HTTPStatus(reply.status)
        self.req.status = f'{status.value} {status.phrase}'.encode()
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

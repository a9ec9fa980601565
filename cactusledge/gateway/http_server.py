"""Server side of HTTP/1.1 on asyncio; `httptools` parses."""

import asyncio
import http
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import httptools
import structlog

from cactusledge.gateway.messages import Headers, Limits, Request
from cactusledge.records.transport import set_liveness

LAST_CHUNK = b'0\r\n\r\n'
CLOSE_LINE = b'Connection: close\r\n'
REASONS = {status.value: status.phrase for status in http.HTTPStatus}
IDLE_SLACK = 1.25  # callers reuse connections up to 0.8 of the idle timeout

log = structlog.get_logger('gateway')


class Server(Protocol):
    """What a connection needs to know of its server."""

    limits: Limits
    is_closing: bool  # answers carry `Connection: close`
    connections: set['ServerConnection']

    def serve(
        self, request: Request, conn: 'ServerConnection'
    ) -> Coroutine[Any, Any, None]:
        """Answers one request on the connection."""


class ServerConnection(asyncio.Protocol):
    """One connection of a caller; serves its requests one by one."""

    def __init__(self, server: Server) -> None:
        """Keeps the server; the parser starts with the connection."""
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._size = 0
        self._waiting: deque[Request] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_reading = False  # part of a request has arrived
        self._keeps_alive = True
        self.has_head = False  # an answer has begun

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes the connection."""
        self._transport = transport  # type: ignore[assignment]
        set_liveness(transport.get_extra_info('socket'))
        self._server.connections.add(self)
        self._wait(self._server.limits.idle_timeout_ms * IDLE_SLACK)

    def data_received(self, data: bytes) -> None:
        """Parses; a request that is whole is served."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(http.HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError as exc:
            log.info('gateway: request not readable', error=str(exc))
            self._reject(http.HTTPStatus.BAD_REQUEST)

    def eof_received(self) -> bool:
        """Takes the end of the stream as the caller's leaving."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels what is under way for the caller."""
        self._transport = None
        self._stop_timer()
        self._server.connections.discard(self)
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._target = b''
        self._headers = []
        self._body = []
        self._size = 0
        self._is_reading = True
        if self._task is None:
            self._wait(self._server.limits.header_timeout_ms)

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes one header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Answers an expectation of the caller."""
        for name, value in self._headers:
            if name.lower() == b'expect' and value.lower() == b'100-continue':
                self._write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        self._size += len(body)
        if self._size <= self._server.limits.body_bytes:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Hands the request on, after those before it."""
        self._is_reading = False
        if self._size > self._server.limits.body_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        request = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            b''.join(self._body),
            self._loop.time(),
        )
        self._keeps_alive = self._parser.should_keep_alive()
        if self._task is None:
            self._start(request)
        else:
            self._waiting.append(request)

    # answers

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way or partly read."""
        return self._task is None and not self._is_reading

    def answer(
        self, status: int, headers: bytes, body: bytes, *, close: bool = False
    ) -> None:
        """Writes a whole answer; `headers` are lines."""
        self._keeps_alive = (
            self._keeps_alive and not close and not self._server.is_closing
        )
        self.has_head = True
        length = f'Content-Length: {len(body)}\r\n'.encode()
        self._write(
            b''.join((
                self._status_line(status),
                headers,
                length,
                b'' if self._keeps_alive else CLOSE_LINE,
                b'\r\n',
                body,
            )),
        )

    def begin_stream(self, status: int, headers: bytes) -> None:
        """Writes the head of an answer in chunks."""
        if self._server.is_closing:
            self._keeps_alive = False
        self.has_head = True
        self._write(
            b''.join((
                self._status_line(status),
                headers,
                b'Transfer-Encoding: chunked\r\n',
                b'' if self._keeps_alive else CLOSE_LINE,
                b'\r\n',
            )),
        )

    def write_chunk(self, body: bytes) -> None:
        """Writes one chunk at once."""
        self._write(b'%x\r\n%b\r\n' % (len(body), body))

    def end_stream(self) -> None:
        """Writes the end of an answer in chunks."""
        self._write(LAST_CHUNK)

    def break_off(self) -> None:
        """Closes the connection so that the answer shows as incomplete."""
        self._keeps_alive = False
        self._waiting.clear()
        if self._transport is not None:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is under way."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def _status_line(self, status: int) -> bytes:
        reason = REASONS.get(status, 'Unknown')
        return f'HTTP/1.1 {status} {reason}\r\n'.encode()

    def _write(self, content: bytes) -> None:
        if self._transport is not None:
            self._transport.write(content)

    def _start(self, request: Request) -> None:
        self._stop_timer()
        self.has_head = False
        task = self._loop.create_task(self._server.serve(request, self))
        self._task = task
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            log.error('gateway: request failed', error=repr(task.exception()))
            self._keeps_alive = False
        if self._transport is None:
            return
        if not self._keeps_alive:
            self._transport.close()
        elif self._waiting:
            self._start(self._waiting.popleft())
        else:
            self._wait(self._server.limits.idle_timeout_ms * IDLE_SLACK)

    def _reject(self, status: int) -> None:
        """Answers what can not be served and closes the connection."""
        if self._task is None:
            self.answer(status, b'', b'', close=True)
        if self._transport is not None and self._task is None:
            self._transport.close()
        self._keeps_alive = False

    def _wait(self, timeout_ms: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(timeout_ms / 1000, self._expire)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        """Ends a connection that stayed idle, or sent half a request."""
        if self._is_reading:
            self._reject(http.HTTPStatus.REQUEST_TIMEOUT)
        elif self._transport is not None:
            self._transport.close()

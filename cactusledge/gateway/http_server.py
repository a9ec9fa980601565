"""HTTP/1.1 server connection from a caller, on asyncio."""

import asyncio
import http
from collections import deque
from collections.abc import Coroutine
from typing import Any, NamedTuple, Protocol

import httptools
import structlog

from cactusledge.gateway.backpressure import PacedWriter
from cactusledge.gateway.messages import Limits, Request
from cactusledge.gateway.request_parser import ParserTarget, RequestParser
from cactusledge.gateway.responder import Responder
from cactusledge.gateway.timer import Timer
from cactusledge.records.frames import set_keepalive

# Callers reuse connections up to 0.8 of the idle timeout.
IDLE_TIMEOUT_FACTOR = 1.25

log = structlog.get_logger('gateway')


class Activity(NamedTuple):
    """What is in progress on a connection."""

    is_serving: bool  # a request
    is_reading: bool  # a request has arrived in part
    is_sending: bool  # a response has not gone out in full


class Server(Protocol):
    """What a connection needs from its server."""

    @property
    def limits(self) -> Limits:
        """The limits on requests."""

    @property
    def is_closing(self) -> bool:
        """Whether responses carry `Connection: close`."""

    @property
    def connections(self) -> set['ServerConnection']:
        """The open connections."""

    def serve(
        self, request: Request, conn: Responder
    ) -> Coroutine[Any, Any, None]:
        """Serves one request on the connection."""


class ServerConnection(PacedWriter, ParserTarget):
    """Serves the requests of one connection in order, one at a time."""

    def __init__(self, server: Server) -> None:
        """Creates the parser and the responder of the connection."""
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = RequestParser(self, server.limits.body_bytes)
        self._responder = Responder()
        super().__init__(self._responder.flow)
        self._transport: asyncio.Transport | None = None
        self._is_new = True  # no request has begun to arrive
        self._pipelined: deque[Request] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer = Timer(self._expire)
        self._is_ending = False  # no further request is served
        self._unsent = 0  # bytes, when the timer last expired

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts its idle timer.

        The kernel does not bound how long a caller takes nothing of its answer;
        the timer does.
        """
        set_keepalive(transport.get_extra_info('socket'))
        self._transport = transport  # type: ignore[assignment]
        self._responder.attach(transport)  # type: ignore[arg-type]
        self._server.connections.add(self)
        self._timer.start(idle_ms(self._server.limits))

    def data_received(self, data: bytes) -> None:
        """Parses the data; an unparsable request is answered with 400.

        What comes after the last response is dropped: left unread, it would
        reset the connection at its close.
        """
        if self._is_ending:
            return
        try:
            self._parser.feed(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError) as exc:
            log.info('gateway: cannot parse request', error=str(exc))
            self.on_rejected(http.HTTPStatus.BAD_REQUEST)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress and drops the pipelined ones."""
        self._transport = None
        self._responder.detach()
        self._timer.stop()
        self._server.connections.discard(self)
        self._pipelined.clear()
        if self._task is not None:
            self._task.cancel()

    def on_begin(self) -> None:
        """Bounds the time until the request is complete."""
        self._is_new = False
        if self._task is None:
            self._timer.start(self._server.limits.header_timeout_ms)

    def on_expect_continue(self) -> None:
        """Sends `100 Continue` unless a request is in progress."""
        if self._task is None:
            self._responder.send_continue()

    def on_request(self, request: Request, *, keeps_alive: bool) -> None:
        """Serves a request, after any that are still in progress."""
        if not keeps_alive:
            self._responder.keeps_alive = False
        if self._task is None:
            self._start(request)
        else:
            self._pipelined.append(request)

    def on_rejected(self, status: int) -> None:
        """Responds with an error status and closes the connection."""
        self._responder.keeps_alive = False
        if self._task is None:
            self._responder.answer(status, b'', b'')
            self._responder.close()

    @property
    def activity(self) -> Activity:
        """What is in progress."""
        return Activity(
            self._task is not None,
            self._parser.is_reading,
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0,
        )

    def close_after_response(self) -> None:
        """Closes the connection, after the request in progress if any.

        A request that has arrived in part may still be completed, and the
        first one of a new connection may be on its way.
        """
        self._responder.keeps_alive = False
        is_awaited = self._is_new or self._parser.is_reading
        if self._task is None and not is_awaited:
            self._responder.close()

    def cut(self) -> None:
        """Cancels the request in progress, once it has begun.

        One that is cancelled before its first step would not be answered.
        """
        if self._task is not None:
            self._loop.call_soon(self._task.cancel)

    def _start(self, request: Request) -> None:
        self._timer.stop()
        self._responder.begin(is_last=self._server.is_closing)
        task = self._loop.create_task(
            self._server.serve(request, self._responder)
        )
        self._task = task
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            log.error('gateway: request failed', exc_info=task.exception())
            self._responder.keeps_alive = False
        if not self._responder.keeps_alive:
            self._is_ending = True
            self._responder.close()
        elif self._pipelined:
            self._start(self._pipelined.popleft())
            return
        if self._transport is not None:
            self._timer.start(idle_ms(self._server.limits))

    def _expire(self) -> None:
        """Closes an idle connection; responds 408 to a partial request.

        What is not sent yet is waited for as long as the caller takes any.
        """
        transport = self._transport
        if self._parser.is_reading and not self._is_ending:
            self.on_rejected(http.HTTPStatus.REQUEST_TIMEOUT)
        elif transport is not None:
            unsent = transport.get_write_buffer_size()
            is_stalled = unsent > 0 and unsent == self._unsent
            self._unsent = unsent
            self._timer.start(idle_ms(self._server.limits))
            if is_stalled:
                transport.abort()
            else:
                self._responder.close()


def idle_ms(limits: Limits) -> float:
    """Returns how long a connection may be idle."""
    return limits.idle_timeout_ms * IDLE_TIMEOUT_FACTOR

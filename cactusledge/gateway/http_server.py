"""HTTP/1.1 server connection from a caller, on asyncio."""

import asyncio
from collections.abc import Coroutine
from typing import Any, NamedTuple, Protocol

import structlog

from cactusledge.gateway.client_bounds import Bound, BoundMetError
from cactusledge.gateway.client_connection import (
    ClientConnection,
    ClientServer,
    idle_ms,
)
from cactusledge.gateway.connection_slots import Stage
from cactusledge.gateway.messages import Request
from cactusledge.gateway.request_input import RequestInput
from cactusledge.gateway.request_parser import Arrived
from cactusledge.gateway.responder import Responder

log = structlog.get_logger('gateway')


class Activity(NamedTuple):
    """What is in progress on a connection."""

    is_serving: bool  # a request
    is_reading: bool  # a request has arrived in part
    is_sending: bool  # a response has not gone out in full


class Server(ClientServer, Protocol):
    """What a connection needs from its server."""

    def serve(
        self, request: Request, conn: Responder
    ) -> Coroutine[Any, Any, None]:
        """Serves one request on the connection."""


class ServerConnection(ClientConnection):
    """Serves the requests of one connection in order, one at a time."""

    def __init__(self, server: Server) -> None:
        """Starts before the first request."""
        requests = RequestInput(
            lambda: server.limits,
            server.bounds.memory.admits,
            self._begin_reading,
            self._expect_continue,
        )
        super().__init__(server, requests)
        self._serve = server.serve
        self._task: asyncio.Task[None] | None = None

    @property
    def is_serving(self) -> bool:
        """Whether a request is being served."""
        return self._task is not None

    @property
    def activity(self) -> Activity:
        """What is in progress."""
        return Activity(
            self.is_serving, self._requests.is_reading, self._link.unsent > 0
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress and drops those behind it."""
        super().connection_lost(exc)
        if self._task is not None:
            self._task.cancel()

    def advance(self) -> None:
        """Serves the next request once the last response is taken.

        The next one is begun only then: what is not taken would pile up. While
        requests wait nothing more is read.
        """
        if self._is_ending:
            return
        if not (self.is_serving or self._responder.flow.is_paused):
            self._begin_next()
        if not self._is_ending:
            self._link.set_reading(reads=not self._requests.is_full)

    def refuse_half_read(self) -> None:
        """Refuses a request that has arrived in part, as the process stops."""
        if not self.is_serving:
            self.refuse(BoundMetError(Bound.STOP))

    def close_after_response(self) -> None:
        """Closes the connection, after the request in progress if any.

        A request that has arrived in part may still be completed, and the
        first one of a new connection may be on its way.
        """
        self._responder.keeps_alive = False
        is_awaited = self._is_new or self._requests.is_reading
        if not (self.is_serving or is_awaited or self._link.is_lingering):
            self._responder.close()

    def cut(self) -> None:
        """Cancels the request in progress, once it has begun.

        One that is cancelled before its first step would not be answered.
        """
        if self._task is not None:
            self._loop.call_soon(self._task.cancel)

    def _begin_reading(self) -> None:
        """Bounds the time until the request is complete."""
        self._is_new = False
        if not self.is_serving:
            self._await(Stage.READING, self._server.limits.header_timeout_ms)

    def _expect_continue(self) -> None:
        """Sends `100 Continue` unless a request is in progress."""
        if not self.is_serving:
            self._responder.send_continue()

    def _begin_next(self) -> None:
        arrived = self._requests.take()
        if arrived is not None:
            self._start(arrived)
        elif self._requests.refusal is not None:
            self.refuse(self._requests.refusal)

    def _start(self, arrived: Arrived) -> None:
        if not self._server.bounds.memory.admits(arrived.held):
            self.refuse(BoundMetError(Bound.MEMORY))
            return
        self._timer.stop()
        self._server.bounds.connections.move(self, Stage.SERVING)
        self._server.bounds.memory.begin_serving(arrived.held)
        self._holdings.serving = arrived.held
        self._responder.begin(is_last=self._server.is_closing)
        if not arrived.keeps_alive:
            self._responder.keeps_alive = False
        task = self._loop.create_task(
            self._serve(arrived.request, self._responder)
        )
        self._task = task
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._task = None
        self._server.bounds.memory.end_serving(self._holdings.serving)
        self._holdings.serving = 0
        if not task.cancelled() and task.exception() is not None:
            log.error('gateway: request failed', exc_info=task.exception())
            self._responder.keeps_alive = False
        if self._link.transport is None:
            return
        self._await_client()
        self._charge()
        if not self._is_ending:
            self.advance()

    def _await_client(self) -> None:
        """Waits for the client to take the response, or to send more."""
        limits = self._server.limits
        if self._responder.keeps_alive:
            is_reading = self._requests.is_reading
            stage = Stage.READING if is_reading else Stage.IDLE
            timeout_ms = limits.header_timeout_ms
            self._await(stage, timeout_ms if is_reading else idle_ms(limits))
        else:
            self._is_ending = True
            self._await(Stage.SERVING, idle_ms(limits))
            self._responder.close()

"""A client's connection: what it sends and takes, within bounds."""

import asyncio
from typing import Protocol

from cactusledge.gateway.backpressure import PacedWriter
from cactusledge.gateway.client_bounds import (
    Bound,
    BoundMetError,
    ClientBounds,
)
from cactusledge.gateway.client_link import (
    LINGER_MS,
    ClientHoldings,
    ClientLink,
)
from cactusledge.gateway.clock import Timer
from cactusledge.gateway.connection_slots import Stage
from cactusledge.gateway.messages import Limits
from cactusledge.gateway.request_input import RequestInput
from cactusledge.gateway.responder import Responder
from cactusledge.records.frames import set_keepalive

# Callers reuse connections up to 0.8 of the idle timeout.
IDLE_TIMEOUT_FACTOR = 1.25


class ClientServer(Protocol):
    """The limits on clients, and their connections."""

    @property
    def limits(self) -> Limits:
        """The limits on requests."""

    @property
    def is_closing(self) -> bool:
        """Whether responses carry `Connection: close`."""

    @property
    def bounds(self) -> ClientBounds:
        """What bounds the clients."""


class ClientConnection(PacedWriter):
    """Reads requests and refuses what exceeds a bound."""

    def __init__(self, server: ClientServer, requests: RequestInput) -> None:
        """Stores the input; creates the responder of the connection."""
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._responder = Responder()
        super().__init__(self._responder.flow)
        self._link = ClientLink()
        self._requests = requests
        self._holdings = ClientHoldings(
            self._requests, self._link, self._responder.flow, self._give_back
        )
        self._timer = Timer(self._expire)
        self._is_new = True  # no request has begun to arrive
        self._is_ending = False  # no further request is served

    @property
    def is_serving(self) -> bool:
        """Whether a request is being served."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts its idle timer.

        The kernel does not bound how long a caller takes nothing of its answer;
        the timer does.
        """
        set_keepalive(transport.get_extra_info('socket'))
        self._link.transport = transport  # type: ignore[assignment]
        self._responder.attach(transport)  # type: ignore[arg-type]
        self._holdings.since_s = self._loop.time()
        self._timer.start(idle_ms(self._server.limits))
        self._server.bounds.connections.add(self)
        self._charge()

    def data_received(self, data: bytes) -> None:
        """Takes data; what comes after the last response is dropped."""
        if self._is_ending:
            self._link.discard(len(data), self._server.limits.body_bytes)
            return
        self._requests.feed(data)
        self._charge()
        self.advance()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops all that was held."""
        self._link.transport = None
        self._responder.detach()
        self._timer.stop()
        self._server.bounds.connections.discard(self)
        self._server.bounds.memory.release(self._holdings)

    def pause_writing(self) -> None:
        """Notes that the caller does not take the response."""
        super().pause_writing()
        self._holdings.since_s = self._loop.time()
        self._charge()

    def resume_writing(self) -> None:
        """Goes on with the response, or with the next request."""
        super().resume_writing()
        self._charge()
        self.advance()

    def advance(self) -> None:
        """Begins what comes next, if nothing is in progress."""
        raise NotImplementedError

    def refuse(self, refusal: BoundMetError) -> None:
        """Responds with an error; ends once the client has read it."""
        self._server.bounds.note(refusal.bound)
        self._is_ending = True
        self._server.bounds.connections.move(self, Stage.ENDING)
        self._requests.refuse(refusal.bound)
        self._responder.begin(is_last=True)
        self._responder.answer(refusal.status, refusal.headers, b'')
        self._link.linger()
        self._timer.start(LINGER_MS)
        self._charge()

    def give_way(self) -> None:
        """Closes the connection, as its descriptor is needed."""
        self._server.bounds.note(Bound.CONNECTIONS)
        self._link.abort()

    def _await(self, stage: Stage, timeout_ms: float) -> None:
        """Waits for the client, as long as the timer runs."""
        self._holdings.since_s = self._loop.time()
        self._server.bounds.connections.move(self, stage)
        self._timer.start(timeout_ms)

    def _charge(self) -> None:
        """Notes what the connection holds."""
        if self._link.transport is not None:
            self._server.bounds.memory.charge(self._holdings, self._loop.time())

    def _give_back(self) -> None:
        """Drops what it holds, as memory is short."""
        if self._responder.flow.is_paused or self._is_ending:
            self._server.bounds.note(Bound.MEMORY)
            self._requests.refuse(Bound.MEMORY)
            self._link.abort()
        elif self.is_serving:
            self._requests.refuse(Bound.MEMORY)
        elif self._requests.is_reading:
            self.refuse(BoundMetError(Bound.MEMORY))

    def _expire(self) -> None:
        """Closes an idle connection; responds 408 to a partial request.

        What is not sent yet is waited for as long as the caller takes any.
        """
        if self._link.is_lingering:
            self._link.abort()
        elif self._requests.is_reading and not self._is_ending:
            self.refuse(BoundMetError(Bound.TIME))
        elif self._link.is_stalled():
            self._link.abort()
        else:
            self._timer.start(idle_ms(self._server.limits))
            self._responder.close()


def idle_ms(limits: Limits) -> float:
    """Returns how long a connection may be idle."""
    return limits.idle_timeout_ms * IDLE_TIMEOUT_FACTOR

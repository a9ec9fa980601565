"""Serves messages from other instances over TCP, on asyncio."""

import asyncio
from collections.abc import Awaitable, Callable

from cactusledge.models import Address
from cactusledge.records.frames import (
    FrameProtocol,
    encode_frame,
    is_too_large,
)
from cactusledge.records.messages import Body, Envelope, Failed, Ping, Pong

BACKLOG = 256  # connections waiting to be accepted

Handler = Callable[[Body], Awaitable[Body]]


class ServerProtocol(FrameProtocol):
    """Serves the connection of one peer."""

    def __init__(
        self, handler: Handler, connections: set['ServerProtocol']
    ) -> None:
        """Stores the handler; each request runs in its own task."""
        super().__init__()
        self._handler = handler
        self._connections = connections
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds the connection to the open ones."""
        super().connection_made(transport)
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from the open ones."""
        self._connections.discard(self)

    def on_message(self, envelope: Envelope) -> None:
        """Handles the request in a new task."""
        task = asyncio.ensure_future(self._serve(envelope))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, envelope: Envelope) -> None:
        if isinstance(envelope.body, Ping):
            self._send(envelope.number, Pong())
            return
        try:
            reply = await self._handler(envelope.body)
        except Exception as exc:
            reply = Failed(f'{type(exc).__name__}: {exc}')
        self._send(envelope.number, reply)

    def _send(self, number: int, body: Body) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        frame = encode_frame(number, body)
        if is_too_large(frame):
            reason = f'a reply of {len(frame)} bytes is too large'
            frame = encode_frame(number, Failed(reason))
        self.transport.write(frame)


class MessageServer:
    """Listens for connections of peers."""

    def __init__(self, handler: Handler) -> None:
        """Stores the handler for all connections."""
        self._handler = handler
        self._connections: set[ServerProtocol] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Starts listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol, address.host, address.port, backlog=BACKLOG
        )

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for protocol in tuple(self._connections):
            protocol.close()

    def _make_protocol(self) -> ServerProtocol:
        return ServerProtocol(self._handler, self._connections)

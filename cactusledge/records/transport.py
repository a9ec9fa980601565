"""Framed messages between instances over TCP, on asyncio."""

import asyncio
import contextlib
import itertools
import socket
import struct
from collections.abc import Awaitable, Callable

import msgspec
import structlog

from cactusledge.models import Address
from cactusledge.records.entries import ENCODER
from cactusledge.records.messages import (
    ENVELOPE_DECODER,
    Body,
    Envelope,
    Failed,
    Ping,
    Pong,
)

LENGTH = struct.Struct('>I')
LARGEST_FRAME_BYTES = 1 << 24
BACKLOG = 256  # connections waiting to be accepted
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2500
CONNECT_TIMEOUT_S = 0.6
RECONNECT_S = 0.3
HEARTBEAT_S = 0.15
USELESS_TRIES = 3
SILENT_STEPS = 4  # heartbeats without a sign of life

log = structlog.get_logger('records')

Handler = Callable[[Body], Awaitable[Body]]


def set_liveness(sock: socket.socket) -> None:
    """Lets the kernel end a connection whose other side has gone silent."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def encode_frame(number: int, body: Body) -> bytes:
    """Returns the bytes of one message."""
    content = ENCODER.encode(Envelope(number, body))
    return LENGTH.pack(len(content)) + content


class FrameProtocol(asyncio.Protocol):
    """Cuts the stream into frames and hands each one on."""

    def __init__(self) -> None:
        """Starts without a connection."""
        self.transport: asyncio.Transport | None = None
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the connection and sets its liveness probes."""
        self.transport = transport  # type: ignore[assignment]
        set_liveness(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Hands on each frame that is whole."""
        self._buffer += data
        position = 0
        while True:
            end = self._frame_end(position)
            if end is None:
                break
            start = position + LENGTH.size
            self._take(bytes(self._buffer[start:end]))
            position = end
        if position:
            self._buffer = self._buffer[position:]

    def on_message(self, envelope: Envelope) -> None:
        """Takes a message; subclasses say what becomes of it."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self.transport is not None:
            self.transport.close()

    def _frame_end(self, position: int) -> int | None:
        start = position + LENGTH.size
        if len(self._buffer) < start:
            return None
        length = LENGTH.unpack_from(self._buffer, position)[0]
        if length > LARGEST_FRAME_BYTES:
            self.close()
            return None
        end = start + int(length)
        return end if end <= len(self._buffer) else None

    def _take(self, content: bytes) -> None:
        try:
            envelope = ENVELOPE_DECODER.decode(content)
        except msgspec.MsgspecError:
            self.close()
            return
        self.on_message(envelope)


class ServerProtocol(FrameProtocol):
    """Serves one connection of a peer."""

    def __init__(
        self, handler: Handler, open_connections: set['ServerProtocol']
    ) -> None:
        """Keeps the handler; each request runs in a task of its own."""
        super().__init__()
        self._handler = handler
        self._open = open_connections
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes the connection."""
        super().connection_made(transport)
        self._open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        self._open.discard(self)

    def on_message(self, envelope: Envelope) -> None:
        """Starts the request."""
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
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_frame(number, body))


class ClientProtocol(FrameProtocol):
    """The caller's side of one connection."""

    def __init__(self) -> None:
        """Starts without requests."""
        super().__init__()
        self.pending: dict[int, asyncio.Future[Body]] = {}
        self.silent_steps = 0  # heartbeats since anything was received

    def data_received(self, data: bytes) -> None:
        """Takes any bytes as a sign of life."""
        self.silent_steps = 0
        super().data_received(data)

    def on_message(self, envelope: Envelope) -> None:
        """Hands the reply to its request; a late one is dropped."""
        fut = self.pending.pop(envelope.number, None)
        if fut is not None and not fut.done():
            fut.set_result(envelope.body)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the requests without a reply."""
        self.transport = None
        for fut in self.pending.values():
            if not fut.done():
                fut.set_exception(ConnectionError('connection lost'))
        self.pending.clear()


class Peer:
    """Connection to another instance, made anew whenever it is lost."""

    _numbers = itertools.count(1)

    def __init__(self, name: str, address: Address) -> None:
        """Keeps the address; `start` connects."""
        self.name = name
        self.address = address
        self._protocol: ClientProtocol | None = None
        self._task: asyncio.Task[None] | None = None
        self._failed_tries = 0  # to connect, in a row

    @property
    def is_useless(self) -> bool:
        """Whether several tries to connect have failed in a row."""
        return self._failed_tries >= USELESS_TRIES

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open, as far as is known."""
        protocol = self._protocol
        return protocol is not None and protocol.transport is not None

    def start(self) -> None:
        """Connects, and again after each loss."""
        if self._task is None:
            self._task = asyncio.ensure_future(self._keep_connected())

    def stop(self) -> None:
        """Closes the connection for good."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self.drop()

    def drop(self) -> None:
        """Gives the connection up; the next one is made at once."""
        protocol = self._protocol
        if protocol is not None and protocol.transport is not None:
            protocol.transport.abort()

    @classmethod
    def prepare(cls, body: Body) -> tuple[int, bytes]:
        """Returns a request's number and bytes, to send to several peers."""
        number = next(cls._numbers)
        return number, encode_frame(number, body)

    def send(self, number: int, content: bytes) -> asyncio.Future[Body]:
        """Sends a prepared request; the future fails with the connection."""
        fut: asyncio.Future[Body] = asyncio.get_running_loop().create_future()
        protocol = self._protocol
        if protocol is None or protocol.transport is None:
            fut.set_exception(ConnectionError(f'{self.name} not connected'))
            return fut
        protocol.pending[number] = fut
        protocol.transport.write(content)
        return fut

    async def call(self, body: Body, timeout_s: float) -> Body:
        """Returns the reply.

        Raises:
            ConnectionError: There is no connection, or it was lost.
            TimeoutError: No reply came in time.
        """
        number, content = self.prepare(body)
        async with asyncio.timeout(timeout_s):
            return await self.send(number, content)

    async def _keep_connected(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._failed_tries += 1
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    opened = await loop.create_connection(
                        ClientProtocol, self.address.host, self.address.port
                    )
                    self._protocol = opened[1]
                    self._failed_tries = 0
            await self._beat()
            await asyncio.sleep(RECONNECT_S)

    async def _beat(self) -> None:
        """Pings while the connection lasts; gives up a silent one.

        Steps are counted, not time: a process that was paused finds what has
        arrived meanwhile before it counts the next step.
        """
        protocol = self._protocol
        while protocol is not None and protocol.transport is not None:
            if protocol.silent_steps >= SILENT_STEPS:
                log.info('records: connection silent', peer=self.name)
                self.drop()
                return
            if protocol.silent_steps:
                protocol.transport.write(self.prepare(Ping())[1])
            protocol.silent_steps += 1
            await asyncio.sleep(HEARTBEAT_S)


class MessageServer:
    """Listens for peers."""

    def __init__(self, handler: Handler) -> None:
        """Keeps the handler of all connections."""
        self._handler = handler
        self._open: set[ServerProtocol] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Opens the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocol, address.host, address.port, backlog=BACKLOG
        )

    def stop(self) -> None:
        """Closes the port and all connections."""
        if self._server is not None:
            self._server.close()
        for protocol in tuple(self._open):
            protocol.close()

    def _protocol(self) -> ServerProtocol:
        return ServerProtocol(self._handler, self._open)

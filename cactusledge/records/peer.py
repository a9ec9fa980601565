"""A connection to another instance, with heartbeats and reconnects."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from functools import partial

import structlog

from cactusledge.models import Address
from cactusledge.records.frames import (
    FrameProtocol,
    encode_frame,
    is_too_large,
)
from cactusledge.records.messages import Body, Envelope, Ping

CONNECT_WAIT_S = 0.1  # time for `call_once` to connect
CONNECT_TIMEOUT_S = 0.3
RECONNECT_DELAY_S = 0.15
HEARTBEAT_INTERVAL_S = 0.15
IDLE_INTERVAL_S = 0.9  # between heartbeats of connections not watched
CHECK_TIMEOUT_S = 0.3
MAX_FAILED_CONNECTS = 3
MAX_SILENT_HEARTBEATS = 4  # without any bytes received
SUSPECT_HEARTBEATS = 2  # the same, after which a loss is likely

log = structlog.get_logger('records')


class ClientProtocol(FrameProtocol):
    """The client side of one connection; sends heartbeats while it is open.

    Heartbeats are counted, not time: a process that was paused handles the
    bytes received meanwhile before it counts the next heartbeat.
    """

    def __init__(self, peer: 'Peer') -> None:
        """Starts without pending requests."""
        super().__init__()
        self.pending: dict[int, asyncio.Future[Body]] = {}
        self.closed: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._peer = peer
        self.silent_heartbeats = 0  # since bytes were last received
        self._receipts = 0  # how often bytes were received
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the heartbeats."""
        super().connection_made(transport)
        self._beat()

    def data_received(self, data: bytes) -> None:
        """Handles received bytes, any of which show that the peer is alive."""
        self.silent_heartbeats = 0
        self._receipts += 1
        super().data_received(data)

    def on_message(self, envelope: Envelope) -> None:
        """Completes the reply's request; drops replies without a request."""
        fut = self.pending.pop(envelope.number, None)
        if fut is not None and not fut.done():
            fut.set_result(envelope.body)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the requests without a reply."""
        self.transport = None
        if self._timer is not None:
            self._timer.cancel()
        for fut in self.pending.values():
            if not fut.done():
                fut.set_exception(ConnectionError('connection lost'))
        self.pending.clear()
        if not self.closed.done():
            self.closed.set_result(None)
        self._peer.on_lost(self._peer)

    def check(self) -> None:
        """Pings the peer; aborts the connection if it stays silent."""
        if self.transport is not None:
            self.transport.write(Peer.prepare(Ping())[1])
            asyncio.get_running_loop().call_later(
                CHECK_TIMEOUT_S, self._abort_if_silent_since, self._receipts
            )

    def _beat(self) -> None:
        """Pings a silent peer; aborts the connection after several pings."""
        if self.transport is None:
            return
        if self.silent_heartbeats >= MAX_SILENT_HEARTBEATS:
            self._abort_silent()
            return
        if self.silent_heartbeats:
            self.transport.write(Peer.prepare(Ping())[1])
        self.silent_heartbeats += 1
        self._timer = asyncio.get_running_loop().call_later(
            self._peer.heartbeat_interval_s, self._beat
        )

    def _abort_if_silent_since(self, receipts: int) -> None:
        if self._receipts == receipts:
            self._abort_silent()

    def _abort_silent(self) -> None:
        if self.transport is not None:
            log.info(
                'records: no data from peer, connection aborted',
                peer=self._peer.name,
            )
            self.transport.abort()


class Peer:
    """A connection to another instance, reopened whenever it is lost."""

    _numbers = itertools.count(1)

    def __init__(self, name: str, address: Address) -> None:
        """Keeps the address; `start` connects."""
        self.name = name
        self.address = address
        self._protocol: ClientProtocol | None = None
        self._task: asyncio.Task[None] | None = None
        self._failed_connects = 0  # in a row
        self.is_watched = True  # its loss has to be noticed soon
        self.on_lost: Callable[[Peer], object] = ignore_loss

    @property
    def is_unreachable(self) -> bool:
        """Whether several attempts to connect have failed in a row."""
        return self._failed_connects >= MAX_FAILED_CONNECTS

    @property
    def heartbeat_interval_s(self) -> float:
        """How long the connection may be idle before a heartbeat."""
        return HEARTBEAT_INTERVAL_S if self.is_watched else IDLE_INTERVAL_S

    @property
    def is_silent(self) -> bool:
        """Whether the connection is lost, or is likely to be."""
        protocol = self._protocol
        if protocol is None or protocol.transport is None:
            return True
        return protocol.silent_heartbeats >= SUSPECT_HEARTBEATS

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open, as far as is known."""
        protocol = self._protocol
        return protocol is not None and protocol.transport is not None

    def start(self) -> None:
        """Starts to connect, and reconnects after each loss."""
        if self._task is None:
            self._task = asyncio.ensure_future(self._keep_connected())

    def stop(self) -> None:
        """Closes the connection for good."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self.drop()

    def drop(self) -> None:
        """Aborts the connection; unless stopped, the peer reconnects."""
        protocol = self._protocol
        if protocol is not None and protocol.transport is not None:
            protocol.transport.abort()

    def check(self) -> None:
        """Aborts the connection unless the peer replies within a short time."""
        if self._protocol is not None:
            self._protocol.check()

    @classmethod
    def prepare(cls, body: Body) -> tuple[int, bytes]:
        """Returns a request's number and frame, to send to several peers."""
        number = next(cls._numbers)
        return number, encode_frame(number, body)

    def send(self, number: int, content: bytes) -> asyncio.Future[Body]:
        """Sends a prepared request; the future fails if the connection does.

        It fails at once if the request is too large to be received.
        """
        fut: asyncio.Future[Body] = asyncio.get_running_loop().create_future()
        protocol = self._protocol
        if protocol is None or protocol.transport is None:
            fut.set_exception(ConnectionError(f'no connection to {self.name}'))
            return fut
        if is_too_large(content):
            fut.set_exception(too_large_error(content))
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

    async def connect(self, timeout_s: float) -> None:
        """Opens the connection once; raises OSError or TimeoutError."""
        async with asyncio.timeout(timeout_s):
            opened = await asyncio.get_running_loop().create_connection(
                partial(ClientProtocol, self),
                self.address.host,
                self.address.port,
            )
        self._protocol = opened[1]

    async def _keep_connected(self) -> None:
        while True:
            self._failed_connects += 1
            with contextlib.suppress(OSError, TimeoutError):
                await self.connect(CONNECT_TIMEOUT_S)
                self._failed_connects = 0
            if self._protocol is not None:
                await self._protocol.closed
            await asyncio.sleep(RECONNECT_DELAY_S)


def too_large_error(content: bytes) -> ConnectionError:
    """Returns the error of a request that is too large to be received."""
    return ConnectionError(f'a request of {len(content)} bytes is too large')


def ignore_loss(peer: Peer) -> None:
    """The default for `Peer.on_lost`."""


async def call_once(address: Address, body: Body, timeout_s: float) -> Body:
    """Returns the reply of an instance over a connection for this call only.

    Raises:
        ConnectionError: The connection was not open in time, or was lost.
        TimeoutError: No reply came in time.
    """
    peer = Peer(str(address), address)
    try:
        await peer.connect(CONNECT_WAIT_S)
    except OSError as exc:  # also a TimeoutError
        raise ConnectionError(f'no connection to {address}') from exc
    try:
        return await peer.call(body, timeout_s)
    finally:
        peer.stop()

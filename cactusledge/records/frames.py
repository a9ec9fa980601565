"""Length-prefixed frames for messages between instances, over TCP."""

import asyncio
import socket
import struct

import msgspec

from cactusledge.records.entries import ENCODER
from cactusledge.records.messages import ENVELOPE_DECODER, Body, Envelope

LENGTH = struct.Struct('>I')
MAX_FRAME_BYTES = 1 << 24
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2500


def set_socket_options(sock: socket.socket) -> None:
    """Has the kernel close connections whose peer is silent or takes nothing.

    Also disables Nagle.
    """
    set_keepalive(sock)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )


def set_keepalive(sock: socket.socket) -> None:
    """Has the kernel close connections to silent peers, and disables Nagle."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def encode_frame(number: int, body: Body) -> bytes:
    """Returns a message as the bytes of one frame, which may be too large."""
    content = ENCODER.encode(Envelope(number, body))
    return LENGTH.pack(len(content)) + content


def is_too_large(frame: bytes) -> bool:
    """Returns whether the receiver of a frame would close the connection."""
    return len(frame) > LENGTH.size + MAX_FRAME_BYTES


class FrameProtocol(asyncio.Protocol):
    """Splits the stream into frames and decodes each one."""

    def __init__(self) -> None:
        """Starts without a connection."""
        self.transport: asyncio.Transport | None = None
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the keepalive options."""
        self.transport = transport  # type: ignore[assignment]
        set_socket_options(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Decodes each frame that has arrived in full."""
        self._buffer += data
        position = 0
        while True:
            end = self._frame_end(position)
            if end is None:
                break
            start = position + LENGTH.size
            self._decode_frame(bytes(self._buffer[start:end]))
            position = end
        if position:
            self._buffer = self._buffer[position:]

    def on_message(self, envelope: Envelope) -> None:
        """Handles a received message; subclasses implement it."""
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
        if length > MAX_FRAME_BYTES:
            self.close()
            return None
        end = start + int(length)
        return end if end <= len(self._buffer) else None

    def _decode_frame(self, content: bytes) -> None:
        try:
            envelope = ENVELOPE_DECODER.decode(content)
        except msgspec.MsgspecError:
            self.close()
            return
        self.on_message(envelope)

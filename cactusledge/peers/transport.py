"""Sockets and framing of connections between instances."""

import socket
import struct
import time
from typing import Any

from thrift.protocol import TCompactProtocol, TProtocol
from thrift.Thrift import TApplicationException
from thrift.transport import TSocket, TTransport
from typing_extensions import override

from cactusledge.models import Address
from cactusledge.peers.errors import PeerMessageTooLargeError

MIB = 1024 * 1024  # bytes
MAX_MESSAGE_BYTES = 16 * MIB  # noqa: WPS432 - the unit is named
SEND_ERRORS = (OSError, TTransport.TTransportException)
RECEIVE_ERRORS = (
    *SEND_ERRORS,
    EOFError,
    MemoryError,
    TypeError,
    ValueError,
    struct.error,
    TProtocol.TProtocolException,
    TApplicationException,
)


class DeadlineSocket(TSocket.TSocket):  # type: ignore[misc]
    """A socket whose reads and writes share one deadline."""

    def __init__(self, address: Address, timeout_s: float) -> None:
        """Sets the first deadline; connects on `open`."""
        super().__init__(address.host, address.port)
        self._deadline_s = time.monotonic() + timeout_s

    def set_deadline(self, timeout_s: float) -> None:
        """Sets the deadline of the next call."""
        self._deadline_s = time.monotonic() + timeout_s

    def open(self) -> None:
        """Connects; raises OSError if that fails."""
        self.handle = socket.create_connection(
            (self.host, self.port),
            self._remaining_s(),
        )
        self.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def is_reusable(self) -> bool:
        """Returns whether the connection is open and has no unread bytes."""
        self.handle.settimeout(0)
        try:
            self.handle.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def read(self, sz: int) -> bytes:
        """Returns up to `sz` bytes."""
        self.handle.settimeout(self._remaining_s())
        return super().read(sz)  # type: ignore[no-any-return]

    def write(self, buff: bytes) -> None:
        """Sends all bytes."""
        self.handle.settimeout(self._remaining_s())
        super().write(buff)

    def _remaining_s(self) -> float:
        remaining_s = self._deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TTransport.TTransportException(
                type=TTransport.TTransportException.TIMED_OUT,
                message='deadline exceeded',
            )
        return remaining_s


class SizeLimitedTransport(TTransport.TFramedTransport):  # type: ignore[misc]
    """Framed transport that rejects too large a message before sending."""

    def __init__(self, transport: Any, max_bytes: int) -> None:
        super().__init__(transport, max_bytes)
        self._max_bytes = max_bytes
        self._written_bytes = 0

    def write(self, buf: bytes) -> None:
        """Adds bytes to the frame."""
        self._written_bytes += len(buf)
        if self._written_bytes > self._max_bytes:
            raise PeerMessageTooLargeError(
                f'The message exceeds the limit of {self._max_bytes} bytes.',
                remedy='Split it into smaller messages.',
            )
        super().write(buf)

    def flush(self) -> None:
        """Sends the frame."""
        self._written_bytes = 0
        super().flush()


_CompactProtocol: Any = TCompactProtocol.TCompactProtocolAccelerated


class SequenceCheckedProtocol(_CompactProtocol):  # type: ignore[misc]
    """Client protocol that rejects the answer to another message."""

    expected_seqid = 0

    @override
    def readMessageBegin(self) -> tuple[str, int, int]:
        """Reads an answer's header; raises if its sequence number differs."""
        name, kind, seqid = super().readMessageBegin()
        if seqid != self.expected_seqid:
            raise TProtocol.TProtocolException(
                message=f'expected answer {self.expected_seqid}, got {seqid}',
            )
        return name, kind, seqid


def new_protocol(transport: Any) -> Any:
    """Returns the compact protocol, accelerated if the C module is there."""
    return _CompactProtocol(transport)

"""Writes the responses of one caller's connection."""

import asyncio
import http
from collections.abc import Mapping
from types import MappingProxyType

from cactusledge.gateway.backpressure import Backpressure
from cactusledge.gateway.unframed_end import UnframedEnd

LAST_CHUNK = b'0\r\n\r\n'
CLOSE_HEADER = b'Connection: close\r\n'
CHUNKED_HEADER = b'Transfer-Encoding: chunked\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
PHRASES: Mapping[int, str] = MappingProxyType({
    status.value: status.phrase for status in http.HTTPStatus
})


class Responder:
    """Writes responses; does nothing once the connection is lost.

    A response without a framing ends with its connection. Until it is ended as
    whole and written, any close of its connection is a reset, also that of a
    killed process, so that the caller does not take a part for the whole.
    """

    def __init__(self) -> None:
        """Starts without a connection."""
        self.has_head = False  # head of the current response is written
        self.has_framing = True  # of the current response
        self.keeps_alive = True
        self._unframed = UnframedEnd()
        self.flow = Backpressure(self._unframed.close_if_written)
        self._is_chunked = False
        self._transport: asyncio.Transport | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection is not known to be lost."""
        return self._transport is not None

    def attach(self, transport: asyncio.Transport) -> None:
        """Attaches the connection's transport."""
        self._transport = transport

    def detach(self) -> None:
        """Detaches the transport of a lost connection."""
        self._transport = None

    def close(self) -> None:
        """Closes the connection after pending data is written."""
        if self._transport is not None and not self._unframed.is_pending:
            self._transport.close()

    def begin(self, *, is_last: bool) -> None:
        """Prepares the next response; the last one closes the connection."""
        self.has_head = False
        self.has_framing = True
        if is_last:
            self.keeps_alive = False

    def send_continue(self) -> None:
        """Sends `100 Continue`, so that the caller sends the body."""
        self._write(CONTINUE)

    def answer(self, status: int, headers: bytes, body: bytes) -> None:
        """Writes a complete response; `headers` are encoded header lines."""
        framing = length_header(len(body))
        self._write_head(status, headers, framing, body)

    def begin_stream(
        self,
        status: int,
        headers: bytes,
        *,
        has_framing: bool = True,
        length: int | None = None,
    ) -> None:
        """Writes the head of a response whose body follows in parts.

        It is sent with its length, else in chunks, or without a framing and as
        the last one of its connection.
        """
        self.has_framing = has_framing
        self._is_chunked = has_framing and length is None
        if not has_framing:
            self.keeps_alive = False
            self._unframed.begin(self._transport)
        framing = CHUNKED_HEADER if self._is_chunked else b''
        if length is not None:
            framing = length_header(length)
        self._write_head(status, headers, framing, b'')

    def write_part(self, body: bytes) -> None:
        """Writes a part of a stream immediately."""
        if self._is_chunked:
            body = b'%x\r\n%b\r\n' % (len(body), body)
        self._write(body)

    def end_stream(self) -> None:
        """Ends a stream as whole."""
        if self._is_chunked:
            self._write(LAST_CHUNK)
        elif not self.has_framing:
            self._unframed.end()

    def close_incomplete(self) -> None:
        """Closes the connection so that the response shows as truncated.

        What a caller does not take is not waited for.
        """
        self.keeps_alive = False
        if self.has_framing and not self.flow.is_paused:
            self.close()
        elif self._transport is not None:
            self._transport.abort()

    def _write_head(
        self, status: int, headers: bytes, framing: bytes, body: bytes
    ) -> None:
        self.has_head = True
        phrase = PHRASES.get(status, '')
        self._write(
            b''.join((
                f'HTTP/1.1 {status} {phrase}\r\n'.encode(),
                headers,
                framing,
                b'' if self.keeps_alive else CLOSE_HEADER,
                b'\r\n',
                body,
            )),
        )

    def _write(self, content: bytes) -> None:
        if self._transport is not None:
            self._transport.write(content)


def length_header(length: int) -> bytes:
    """Returns the header line of a length in bytes."""
    return f'Content-Length: {length}\r\n'.encode()

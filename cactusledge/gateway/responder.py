"""Writes the responses of one caller's connection."""

import asyncio
import http
from collections.abc import Mapping
from types import MappingProxyType

LAST_CHUNK = b'0\r\n\r\n'
CLOSE_HEADER = b'Connection: close\r\n'
CHUNKED_HEADER = b'Transfer-Encoding: chunked\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
PHRASES: Mapping[int, str] = MappingProxyType({
    status.value: status.phrase for status in http.HTTPStatus
})


class Responder:
    """Writes responses; does nothing once the connection is lost."""

    def __init__(self) -> None:
        """Starts without a connection."""
        self.has_head = False  # head of the current response is written
        self.keeps_alive = True
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
        if self._transport is not None:
            self._transport.close()

    def begin(self, *, is_last: bool) -> None:
        """Prepares the next response; the last one closes the connection."""
        self.has_head = False
        if is_last:
            self.keeps_alive = False

    def send_continue(self) -> None:
        """Sends `100 Continue`, so that the caller sends the body."""
        self._write(CONTINUE)

    def answer(self, status: int, headers: bytes, body: bytes) -> None:
        """Writes a complete response; `headers` are encoded header lines."""
        framing = f'Content-Length: {len(body)}\r\n'.encode()
        self._write_head(status, headers, framing, body)

    def begin_stream(self, status: int, headers: bytes) -> None:
        """Writes the head of a chunked response."""
        self._write_head(status, headers, CHUNKED_HEADER, b'')

    def write_chunk(self, body: bytes) -> None:
        """Writes one chunk immediately."""
        self._write(b'%x\r\n%b\r\n' % (len(body), body))

    def end_stream(self) -> None:
        """Writes the last chunk of a chunked response."""
        self._write(LAST_CHUNK)

    def close_incomplete(self) -> None:
        """Closes the connection so that the response shows as truncated."""
        self.keeps_alive = False
        self.close()

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

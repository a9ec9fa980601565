"""A response whose head, chunk headers and trailers may not go on for ever.

The standard library bounds each line and the headers of one head, but reads
interim answers and trailers for as long as they come.
"""

import io
import socket
from http.client import HTTPException, HTTPResponse
from typing import Any

MAX_FRAMING_BYTES = 262_144  # in lines, without a byte of the body between


class FramingTooLongError(HTTPException):
    """A head or trailers did not end within the bound."""


class FramingReader(io.BufferedReader):
    """Bounds the lines that are read in a row; the body is read as it is."""

    def __init__(self, raw: io.RawIOBase) -> None:
        """Takes the socket's file."""
        super().__init__(raw)
        self._framing = 0  # bytes since the last read of the body

    def readline(self, size: int | None = -1, /) -> bytes:
        """Returns a line; raises FramingTooLongError beyond the bound."""
        line = super().readline(size)
        self._framing += len(line)
        if self._framing > MAX_FRAMING_BYTES:
            raise FramingTooLongError('the head or the trailers do not end')
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Returns bytes of the body."""
        return self._progress(super().read(size))

    def read1(self, size: int = -1, /) -> bytes:
        """Returns bytes of the body, from a single read at most."""
        return self._progress(super().read1(size))

    def _progress(self, body: bytes) -> bytes:
        if body:
            self._framing = 0
        return body


class BoundedResponse(HTTPResponse):
    """A response that raises an error if its framing does not end."""

    def __init__(self, sock: socket.socket, *args: Any, **options: Any) -> None:
        """Reads the socket through a `FramingReader`."""
        super().__init__(sock, *args, **options)
        self.fp.close()
        self.fp = FramingReader(sock.makefile('rb', buffering=0))

"""A cheroot server that clients outside its limits cannot exhaust."""

import select
import socket
from contextlib import ExitStack
from typing import Any

from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPRequest

DROPPED_BYTES = 16384  # of a body that is not read, at once
CHUNK_LINE_BYTES = 4096  # a chunk's size with its extensions


class BoundedLines:
    """A request's stream whose lines are no longer than a chunk's may be."""

    def __init__(self, rfile: Any) -> None:
        """Stores the stream."""
        self._rfile = rfile

    def read(self, size: int) -> bytes:
        """Reads bytes, fewer only at the end of the stream."""
        content: bytes = self._rfile.read(size)
        return content

    def readline(self) -> bytes:
        """Reads a line.

        Raises:
            ValueError: It does not end within `CHUNK_LINE_BYTES`.
        """
        line: bytes = self._rfile.readline(CHUNK_LINE_BYTES)
        if len(line) == CHUNK_LINE_BYTES and not line.endswith(b'\n'):
            raise ValueError('A line of a chunked body is too long.')
        return line


class BoundedRequest(HTTPRequest):
    """A request whose chunked body has short lines."""

    def respond(self) -> None:
        """Serves the request."""
        with ExitStack() as stack:
            stack.callback(setattr, self.conn, 'rfile', self.conn.rfile)
            if self.chunked_read:
                self.conn.rfile = BoundedLines(self.conn.rfile)
            super().respond()

    def send_headers(self) -> None:
        """Sends the head of the response, once the body has been taken.

        What is left of it is dropped in parts, as it would be read at once.
        """
        while getattr(self.rfile, 'remaining', 0):
            if not self.rfile.read(DROPPED_BYTES):
                break
        super().send_headers()


class BoundedConnection(HTTPConnection):
    """A connection of such requests."""

    RequestHandlerClass = BoundedRequest


class BoundedServer(wsgi.Server):
    """A server whose threads do not wait for a request to begin.

    New connections wait without a thread until something has arrived. If too
    many wait, the one that has waited for longest is closed.
    """

    ConnectionClass = BoundedConnection
    max_waiting = 0  # new connections without a request

    def __init__(self, *args: Any, **options: Any) -> None:
        """Passes the arguments on to cheroot."""
        super().__init__(*args, **options)
        self._waiting: dict[HTTPConnection, None] = {}

    def process_conn(self, conn: HTTPConnection) -> None:
        """Serves a connection, or waits; called by one thread alone."""
        self._waiting.pop(conn, None)
        if has_data(conn.socket):
            super().process_conn(conn)
            return
        self._waiting[conn] = None
        if len(self._waiting) > self.max_waiting:
            longest = next(iter(self._waiting))
            self._waiting.pop(longest)
            end_input(longest.socket)
        self.put_conn(conn)


def has_data(sock: socket.socket) -> bool:
    """Returns whether bytes, or the end, have arrived."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def end_input(sock: socket.socket) -> None:
    """Has the connection end as if its client had closed it."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return  # its client has closed it

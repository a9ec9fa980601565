"""Connections to endpoints that notice a path that is gone."""

import socket
import time
from typing import Any

from urllib3 import HTTPResponse
from urllib3.connection import HTTPConnection

MAX_IDLE_S = 5
KEEPALIVE_IDLE_S = 5  # of silence the kernel probes the other end
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 5000

# The kernel breaks a connection whose other end acknowledges nothing. Ends
# that acknowledge and never answer are found by the limits on silence.
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)


class EndpointConnection(HTTPConnection):
    """A connection that is not used again after a time without use.

    Attributes:
        last_socket: The socket, also after the other end announced to close
            it, when its answer is still to be read.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Takes the arguments of a urllib3 connection."""
        super().__init__(*args, **options)
        self._last_used_s = time.monotonic()
        self.last_socket: socket.socket | None = None

    def connect(self) -> None:
        """Opens the connection."""
        super().connect()
        self.last_socket = self.sock

    @property
    def is_connected(self) -> bool:
        """Whether it may be used: open, without unread data, not idle long."""
        idle_s = time.monotonic() - self._last_used_s
        return idle_s < MAX_IDLE_S and super().is_connected

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Returns the response, of which the head came."""
        response = super().getresponse()
        self._last_used_s = time.monotonic()
        return response

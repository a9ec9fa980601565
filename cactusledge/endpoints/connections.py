"""Connections to endpoints that detect a lost network path."""

import socket
import time
from typing import Any

from urllib3 import HTTPResponse
from urllib3.connection import HTTPConnection

from cactusledge.endpoints.bounded_response import BoundedResponse

MAX_IDLE_S = 5
KEEPALIVE_IDLE_S = 5  # idle time before the kernel sends the first probe
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 5000

# The kernel closes a connection whose peer acknowledges nothing. Peers that
# acknowledge data but never answer are detected by the read timeouts.
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)


class EndpointConnection(HTTPConnection):
    """A connection that is not reused after `MAX_IDLE_S` of idle time.

    Attributes:
        last_socket: The socket; kept when the peer has announced that it
            will close the connection and its answer is still unread.
    """

    response_class = BoundedResponse

    def __init__(self, *args: Any, **options: Any) -> None:
        """Accepts the arguments of a urllib3 connection."""
        super().__init__(*args, **options)
        self._last_used_s = time.monotonic()
        self.last_socket: socket.socket | None = None

    def connect(self) -> None:
        """Opens the connection and keeps its socket."""
        super().connect()
        self.last_socket = self.sock

    @property
    def is_connected(self) -> bool:
        """Whether it is open, has no unread data and was used recently."""
        idle_s = time.monotonic() - self._last_used_s
        return idle_s < MAX_IDLE_S and super().is_connected

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Returns the response once its headers have been received."""
        response = super().getresponse()
        self._last_used_s = time.monotonic()
        return response

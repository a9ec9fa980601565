"""Tells the balancer whether this instance takes new connections."""

import http
from collections.abc import Callable, Mapping
from types import MappingProxyType

from cactusledge.gateway.http_server import ServerConnection
from cactusledge.gateway.messages import Limits, Request
from cactusledge.gateway.responder import Responder

STATUSES: Mapping[bool, int] = MappingProxyType({
    True: http.HTTPStatus.OK,
    False: http.HTTPStatus.SERVICE_UNAVAILABLE,
})


class Readiness:
    """Answers the balancer's questions; implements `http_server.Server`."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Keeps whom to ask."""
        self._is_ready = is_ready
        self.limits = Limits()
        self.is_closing = False
        self.connections: set[ServerConnection] = set()

    async def serve(self, request: Request, conn: Responder) -> None:
        """Answers whether this instance takes new connections."""
        conn.answer(STATUSES[self._is_ready()], b'', b'')

"""Small pages for the balancer and for operators: readiness and metrics."""

import asyncio
import http
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from cactusledge.gateway.http_server import ServerConnection
from cactusledge.gateway.messages import Limits, Request
from cactusledge.gateway.responder import Responder
from cactusledge.models import Address
from cactusledge.telemetry.metrics import CONTENT_TYPE, Metrics

TEXT = f'Content-Type: {CONTENT_TYPE}\r\n'.encode()
STATUSES: Mapping[bool, int] = MappingProxyType({
    True: http.HTTPStatus.OK,
    False: http.HTTPStatus.SERVICE_UNAVAILABLE,
})


class Page(NamedTuple):
    """What is answered to any request."""

    status: int
    headers: bytes = b''
    body: bytes = b''


class PageServer:
    """Answers each request with a page; implements `http_server.Server`."""

    def __init__(self, page: Callable[[], Page]) -> None:
        """Keeps what makes the page."""
        self._page = page
        self.limits = Limits()
        self.is_closing = False
        self.connections: set[ServerConnection] = set()

    async def serve(self, request: Request, conn: Responder) -> None:
        """Answers one request."""
        conn.answer(*self._page())


async def open_page(
    address: Address, page: Callable[[], Page]
) -> asyncio.Server:
    """Serves a page at an address."""
    server = PageServer(page)
    return await asyncio.get_running_loop().create_server(
        lambda: ServerConnection(server), address.host, address.port
    )


def readiness_page(is_ready: Callable[[], bool]) -> Callable[[], Page]:
    """Returns the page that the balancer asks for."""
    return lambda: Page(STATUSES[is_ready()])


def metrics_page(metrics: Metrics) -> Callable[[], Page]:
    """Returns the page that operators collect."""
    return lambda: Page(http.HTTPStatus.OK, TEXT, metrics.render())

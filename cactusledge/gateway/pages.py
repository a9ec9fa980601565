"""HTTP pages for readiness checks and for metrics collection."""

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
    """The response to any request."""

    status: int
    headers: bytes = b''
    body: bytes = b''


class PageServer:
    """Responds to every request with one page; an `http_server.Server`."""

    def __init__(self, page: Callable[[], Page]) -> None:
        """Stores the function that renders the page."""
        self._page = page
        self.limits = Limits()
        self.is_closing = False
        self.connections: set[ServerConnection] = set()

    async def serve(self, request: Request, conn: Responder) -> None:
        """Responds with the page."""
        conn.answer(*self._page())


async def open_page(
    address: Address, page: Callable[[], Page]
) -> asyncio.Server:
    """Starts a server for a page at an address."""
    server = PageServer(page)
    return await asyncio.get_running_loop().create_server(
        lambda: ServerConnection(server), address.host, address.port
    )


def readiness_page(is_ready: Callable[[], bool]) -> Callable[[], Page]:
    """Returns the page for the balancer: 200 if ready, else 503."""
    return lambda: Page(STATUSES[is_ready()])


def metrics_page(metrics: Metrics) -> Callable[[], Page]:
    """Returns the page for the metrics collector."""
    return lambda: Page(http.HTTPStatus.OK, TEXT, metrics.render())

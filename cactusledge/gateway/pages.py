"""HTTP pages for readiness checks and for metrics collection."""

import asyncio
import http
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from cactusledge.gateway.buffer_space import BufferSpace
from cactusledge.gateway.client_bounds import (
    ClientBounds,
    caller_bounds,
)
from cactusledge.gateway.http_server import ServerConnection
from cactusledge.gateway.messages import Limits, Request
from cactusledge.gateway.responder import Responder
from cactusledge.models import Address
from cactusledge.telemetry.metrics import CONTENT_TYPE, Metrics

BODY_BYTES = 65536  # of a request, which no page reads
LONE_PAGE_BYTES = 4194304  # held for all clients
LONE_PAGE_CONNECTIONS = 64
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


RenderPage = Callable[[], Awaitable[Page]]


def lone_page_bounds(metrics: Metrics) -> ClientBounds:
    """Returns the bounds of a page of a process that has no callers."""
    bounds = caller_bounds(metrics, BufferSpace(LONE_PAGE_BYTES))
    return bounds.for_port(LONE_PAGE_CONNECTIONS)


class PageServer:
    """Responds to every request with one page; an `http_server.Server`."""

    def __init__(self, page: RenderPage, bounds: ClientBounds) -> None:
        """Stores the function that renders the page."""
        self._page = page
        self.limits = Limits(body_bytes=BODY_BYTES)
        self.is_closing = False
        self.bounds = bounds

    async def serve(self, request: Request, conn: Responder) -> None:
        """Responds with the page."""
        conn.answer(*await self._page())


async def open_page(
    address: Address, page: RenderPage, bounds: ClientBounds
) -> asyncio.Server:
    """Starts a server for a page at an address."""
    server = PageServer(page, bounds)
    return await asyncio.get_running_loop().create_server(
        lambda: ServerConnection(server), address.host, address.port
    )


class ReadinessPage:
    """The page for the balancer: 200 if ready, else 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Stores the function that decides."""
        self._is_ready = is_ready

    async def render(self) -> Page:
        """Returns the page."""
        return Page(STATUSES[self._is_ready()])


class MetricsPage:
    """The page for the metrics collector."""

    def __init__(self, metrics: Metrics) -> None:
        """Stores the metrics to show."""
        self._metrics = metrics

    async def render(self) -> Page:
        """Returns the page.

        The library that renders it is loaded in a thread, so that requests
        proceed meanwhile.
        """
        await asyncio.to_thread(self._metrics.load)
        return Page(http.HTTPStatus.OK, TEXT, self._metrics.render())


def readiness_page(is_ready: Callable[[], bool]) -> RenderPage:
    """Returns what renders the page for the balancer."""
    return ReadinessPage(is_ready).render


def metrics_page(metrics: Metrics) -> RenderPage:
    """Returns what renders the page for the metrics collector."""
    return MetricsPage(metrics).render

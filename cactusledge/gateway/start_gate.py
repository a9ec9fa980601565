"""Holds the requests that come while a gateway still starts."""

import asyncio
from collections.abc import Callable

import structlog

from cactusledge.gateway.admission import cut
from cactusledge.gateway.client_bounds import ClientBounds
from cactusledge.gateway.connection_slots import ConnectionSlots
from cactusledge.gateway.context import Progress
from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.http_server import ServerConnection
from cactusledge.gateway.messages import (
    CallInfo,
    Limits,
    Repeatability,
    Request,
)
from cactusledge.gateway.responder import Responder
from cactusledge.gateway.start_hold import WINDOW_S, hold_s

CHECK_INTERVAL_S = 0.02
MS = 1000

log = structlog.get_logger('gateway')


class StartGate:
    """Passes requests to the gateway; an `http_server.Server`.

    A request waits until the configuration and the endpoints are known and, if
    it is a turn, until the record stores are in reach: within the bounds of
    `start_hold`, after which the gateway refuses it.
    """

    def __init__(
        self, gateway: Gateway, has_quorum: Callable[[], bool]
    ) -> None:
        """Stores the gateway; nothing is held before `run`."""
        self._gateway = gateway
        self._has_quorum = has_quorum
        self._opened_s: float | None = None  # None: nothing is held
        self._listed = asyncio.Event()
        self._in_reach = asyncio.Event()
        self._held = 0  # requests since the start

    @property
    def limits(self) -> Limits:
        """The limits on requests."""
        return self._gateway.limits

    @property
    def is_closing(self) -> bool:
        """Whether responses carry `Connection: close`."""
        return self._gateway.is_closing

    @property
    def connections(self) -> ConnectionSlots[ServerConnection]:
        """The open connections."""
        return self._gateway.connections

    @property
    def bounds(self) -> ClientBounds:
        """What bounds the clients."""
        return self._gateway.bounds

    async def run(self) -> None:
        """Returns once the start is complete, or its window is over."""
        loop = asyncio.get_running_loop()
        opened_s = loop.time()
        self._opened_s = opened_s
        while not self._release_ready() and loop.time() < opened_s + WINDOW_S:
            await asyncio.sleep(CHECK_INTERVAL_S)
        log.info(
            'gateway: start over',
            is_listed=self._listed.is_set(),
            has_quorum=self._in_reach.is_set(),
            held=self._held,
            ms=round((loop.time() - opened_s) * MS),
        )
        self.release()

    def release(self) -> None:
        """Passes on what is held, and holds nothing any more."""
        self._opened_s = None
        self._listed.set()
        self._in_reach.set()

    async def serve(self, request: Request, conn: Responder) -> None:
        """Serves one request, once the gateway can or its time is up."""
        opened_s = self._opened_s
        if opened_s is not None:
            await self._hold_or_cut(request, conn, opened_s)
        await self._gateway.serve(request, conn)

    def _release_ready(self) -> bool:
        """Releases requests that lack nothing; returns whether none is held."""
        gateway = self._gateway
        if gateway.table is not None and len(gateway.fleet.replicas):
            self._listed.set()
        if self._has_quorum():
            self._in_reach.set()
        return self._listed.is_set() and self._in_reach.is_set()

    async def _hold_or_cut(
        self, request: Request, conn: Responder, opened_s: float
    ) -> None:
        try:
            await self._hold(request, opened_s)
        except asyncio.CancelledError:
            if conn.is_open:
                cut(conn, Progress())
            raise

    async def _hold(self, request: Request, opened_s: float) -> None:
        info = self._gateway.fleet.dialect.read_call(request)
        limit_ms = info.deadline_ms
        now_s = asyncio.get_running_loop().time()
        wait_s = hold_s(
            now_s - opened_s,
            now_s - request.received_s,
            None if limit_ms is None else limit_ms / MS,
        )
        if not wait_s:
            return
        self._held += not self._release_ready()
        try:
            async with asyncio.timeout(wait_s):
                await self._lacks_nothing(info)
        except TimeoutError:
            return  # the gateway says what is missing

    async def _lacks_nothing(self, info: CallInfo) -> None:
        await self._listed.wait()
        table = self._gateway.table
        route = table.find(info.host, info.path) if table else None
        if route and route.repeatability is Repeatability.STREAM:
            await self._in_reach.wait()

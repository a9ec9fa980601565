"""The gateway process: its components, startup and graceful shutdown."""

import asyncio
import gc
import signal

import structlog

from cactusledge.gateway.background import BackgroundTasks, log_failure
from cactusledge.gateway.buffer_space import bounds_of
from cactusledge.gateway.client_bounds import caller_bounds
from cactusledge.gateway.context import Fleet
from cactusledge.gateway.draining import Drain
from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.heartbeat import Heartbeat
from cactusledge.gateway.http_server import ServerConnection
from cactusledge.gateway.new_fleet import Place, new_fleet
from cactusledge.gateway.pages import (
    metrics_page,
    open_page,
    readiness_page,
)
from cactusledge.gateway.parts import GatewayParts, start_watchers
from cactusledge.gateway.start_gate import StartGate
from cactusledge.objects.watcher import Watcher
from cactusledge.records.client import RecordClient
from cactusledge.records.grant_source import StoreGrants

BACKLOG = 512
LOAD_METRICS_AFTER_S = 5.0  # when callers that waited for the start are served

log = structlog.get_logger('gateway')


class GatewayApplication:
    """Owns all components; `run` returns when the process can exit."""

    def __init__(self, parts: GatewayParts) -> None:
        """Creates the components; no socket is opened yet."""
        self._parts = parts
        self.records = RecordClient(parts.instance, parts.data_centre)
        self._bounds = bounds_of(parts.machine)
        self.fleet = new_fleet(
            parts.dialect,
            Place(parts.instance, parts.data_centre),
            StoreGrants(self.records.peers),
            parts.drain_s,
            parts.cross_ms_per_mb,
            self._bounds.new_space(),
        )
        self.gateway = Gateway(
            self.fleet,
            self.records,
            caller_bounds(
                self.fleet.metrics, self.fleet.pool.space, self._bounds
            ),
        )
        self._gate = StartGate(self.gateway, lambda: self.records.has_quorum)
        self._background = BackgroundTasks(parts, self.gateway, self.records)
        self._watchers: list[Watcher] = []
        self._servers: list[asyncio.Server] = []
        self._heartbeat = Heartbeat()
        self._stop_requested = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether this instance can serve turns and calls.

        A suspicion is enough not to be ready: the balancer leaves an instance
        only after two refusals, and the sooner the first comes, the fewer
        callers of a cut-off data centre are refused.
        """
        now_s = asyncio.get_running_loop().time()
        return (
            self.gateway.table is not None
            and self.records.is_in_reach
            and can_send(self.fleet)
            and self.gateway.admission.stopping.rules(now_s).is_ready
        )

    async def run(self) -> None:
        """Serves until SIGTERM, then drains within the grace period."""
        self._watch_signals()
        if await self._start():
            maintenance = asyncio.ensure_future(self._background.run())
            maintenance.add_done_callback(log_failure)
            await self._stop_requested.wait()
            await self._drain().run()
            maintenance.cancel()
        self._close()

    def request_stop(self) -> None:
        """Begins the stop, unless it has begun."""
        arrival_s = self._heartbeat.arrival_s()
        stopping = self.gateway.admission.stopping
        if not stopping.begin(arrival_s, self._parts.grace_s):
            log.info('gateway: stopping already')
        self._gate.release()
        self._stop_requested.set()

    def _watch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, _note_reload)

    async def _start(self) -> bool:
        """Opens the ports; returns whether callers may come.

        A stop requested before that leaves nothing to drain.
        """
        self._beats = asyncio.ensure_future(self._heartbeat.run())
        clients = self.gateway.bounds
        pages = (
            (self._parts.readiness, readiness_page(lambda: self.is_ready)),
            (self._parts.metrics, metrics_page(self.fleet.metrics)),
        )
        self._servers = [
            await open_page(
                address, page, clients.for_port(self._bounds.page_clients)
            )
            for address, page in pages
        ]
        await self._background.start()
        if self._stop_requested.is_set():
            log.info('gateway: stopped before it took callers')
            return False
        await self._listen()
        # Their threads load the platform's client: requests are held meanwhile.
        self._watchers = start_watchers(self._parts, self.gateway)
        self._start_over = asyncio.ensure_future(self._finish_start())
        self._start_over.add_done_callback(log_failure)
        log.info('gateway: started', instance=self._parts.instance)
        return True

    async def _finish_start(self) -> None:
        """Keeps what the start has loaded out of garbage collections."""
        await self._gate.run()
        gc.freeze()
        gc.enable()
        await asyncio.sleep(LOAD_METRICS_AFTER_S)
        await asyncio.to_thread(self.fleet.metrics.load)

    async def _listen(self) -> None:
        self._callers = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self._gate),
            self._parts.callers.host,
            self._parts.callers.port,
            backlog=BACKLOG,
        )
        self._servers.append(self._callers)

    def _drain(self) -> Drain:
        return Drain(self.gateway, self.records.settling, self._callers.close)

    def _close(self) -> None:
        for server in self._servers:
            server.close()
        self._beats.cancel()
        self._background.stop()
        self.records.stop()
        self.fleet.pool.close()


def _note_reload() -> None:
    """Logs a SIGHUP: changed instance settings need a restart to apply."""
    log.info('gateway: settings changed, in force at the next start')


def can_send(fleet: Fleet) -> bool:
    """Returns whether endpoints are in reach, if only of another gateway."""
    now_s = asyncio.get_running_loop().time()
    if fleet.reach.is_stranded(now_s):
        return fleet.forwarder.targets.choose(()) is not None
    return len(fleet.replicas) > 0

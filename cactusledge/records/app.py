"""The process of a record store: its components, start and stop."""

import asyncio
import gc
import signal

import structlog

from cactusledge.gateway.pages import (
    lone_page_bounds,
    metrics_page,
    open_page,
)
from cactusledge.records.adopted_group import read_group, read_table
from cactusledge.records.draining import StoreDrain
from cactusledge.records.entries import Member
from cactusledge.records.group_follower import GroupFollower
from cactusledge.records.group_manager import GroupManager
from cactusledge.records.group_objects import GROUP_KIND, GroupObjects
from cactusledge.records.load_sharing import LoadSharing
from cactusledge.records.log import RecordLog
from cactusledge.records.message_server import MessageServer
from cactusledge.records.retirement import RetirementFollower
from cactusledge.records.store import RecordStore
from cactusledge.records.store_gauges import StoreGauges
from cactusledge.records.store_setup import StoreSetup
from cactusledge.records.store_watches import StoreWatches
from cactusledge.telemetry.metrics import Metrics

log = structlog.get_logger('records')


class StoreApplication:
    """Owns the components; `run` returns once the process may exit."""

    def __init__(self, setup: StoreSetup) -> None:
        """Loads the data folder and creates the components."""
        self._setup = setup
        record_log = RecordLog(
            setup.folder,
            is_first_start=setup.is_first_start,
            limits=setup.limits,
        )
        self.store = RecordStore(setup.instance, record_log)
        self.group_manager = GroupManager(
            self.store,
            GroupObjects(setup.objects),
            Member(str(setup.address), setup.data_centre),
            copies=setup.copies,
        )
        self._metrics = Metrics()
        self._server = MessageServer(self.store.handle)
        self._tasks: list[asyncio.Future[None]] = []

    async def run(self) -> None:
        """Serves until SIGTERM."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGHUP, _log_reload)
        known = read_group(self._setup.folder)
        if known is not None:
            self.group_manager.adopt_group(known)
        self.store.known_groups = read_table(self._setup.folder).groups
        await self._server.start(self._setup.address)
        await open_page(
            self._setup.metrics,
            metrics_page(self._metrics),
            lone_page_bounds(self._metrics),
        )
        self._start_watches(loop)
        sharing = LoadSharing(self.store, self.group_manager.peers)
        for work in (
            self.group_manager.run(),
            sharing.run(),
            StoreGauges(self.store, self.group_manager, self._metrics).run(),
        ):
            self._tasks.append(asyncio.ensure_future(work))
        gc.freeze()
        gc.enable()
        log.info(
            'records: started',
            instance=self._setup.instance,
            entries=self.store.log.head,
            **self.store.log.identity._asdict(),
        )
        await stop.wait()
        self._stop()

    def start_retirement(self) -> None:
        """Starts draining this store, unless that has started already."""
        if not self.group_manager.is_retiring:
            log.info('records: draining')
            self.group_manager.is_retiring = True
            self._tasks.append(asyncio.ensure_future(self._drain()))

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        report = self._setup.retirement.report
        await loop.run_in_executor(None, lambda: report(is_done=False))
        await StoreDrain(self.store, self.group_manager).run()
        log.info('records: drained', entries=self.store.log.head)
        await loop.run_in_executor(None, lambda: report(is_done=True))

    def _start_watches(self, loop: asyncio.AbstractEventLoop) -> None:
        groups = GroupFollower(self.group_manager.adopt_table)
        watches = StoreWatches(self._setup.objects, loop)
        watches.follow(GROUP_KIND, groups)
        watches.follow(
            self._setup.retirement.kind,
            RetirementFollower(self._setup.retirement, self.start_retirement),
        )
        watches.tell(self._setup.gateway_kinds, self.store.gateways)

    def _stop(self) -> None:
        log.info('records: stopping')
        for task in self._tasks:
            task.cancel()
        self._server.stop()
        self.store.log.stop()


def _log_reload() -> None:
    """Logs a SIGHUP; changed settings apply from the next start."""
    log.info('records: settings changed, applied at the next start')

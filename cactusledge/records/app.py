"""The process of a record store: its components, start and stop."""

import asyncio
import gc
import signal
from pathlib import Path
from typing import NamedTuple

import structlog

from cactusledge.gateway.pages import (
    lone_page_bounds,
    metrics_page,
    open_page,
)
from cactusledge.models import Address
from cactusledge.objects.store import ObjectStore
from cactusledge.records.adopted_group import read_group, read_table
from cactusledge.records.draining import StoreDrain
from cactusledge.records.entries import Member
from cactusledge.records.group_follower import GroupFollower
from cactusledge.records.group_manager import GroupManager
from cactusledge.records.group_objects import GROUP_KIND, GroupObjects
from cactusledge.records.load_sharing import LoadSharing
from cactusledge.records.log import RecordLog
from cactusledge.records.message_server import MessageServer
from cactusledge.records.retirement import RetirementFollower, RetirementRequest
from cactusledge.records.store import RecordStore
from cactusledge.records.store_watches import GatewayKinds, StoreWatches
from cactusledge.telemetry.metrics import Metrics

GAUGE_INTERVAL_S = 1.0
LOAD_METRICS_AFTER_S = 5.0  # when callers that waited for the start are served

log = structlog.get_logger('records')


class StoreParts(NamedTuple):
    """What a platform adapter provides to run a store."""

    instance: str
    data_centre: str
    address: Address
    folder: Path
    is_first_start: bool  # of the whole system: empty disks are as expected
    copies: int  # disks holding each text: one more than may be lost
    objects: ObjectStore
    retirement: RetirementRequest
    metrics: Address
    gateway_kinds: GatewayKinds


class StoreApplication:
    """Owns the components; `run` returns once the process may exit."""

    def __init__(self, parts: StoreParts) -> None:
        """Loads the data folder and creates the components."""
        self._parts = parts
        record_log = RecordLog(
            parts.folder, is_first_start=parts.is_first_start
        )
        self.store = RecordStore(parts.instance, record_log)
        self.group_manager = GroupManager(
            self.store,
            GroupObjects(parts.objects),
            Member(str(parts.address), parts.data_centre),
            copies=parts.copies,
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
        known = read_group(self._parts.folder)
        if known is not None:
            self.group_manager.adopt_group(known)
        self.store.known_groups = read_table(self._parts.folder).groups
        await self._server.start(self._parts.address)
        await open_page(
            self._parts.metrics,
            metrics_page(self._metrics),
            lone_page_bounds(self._metrics),
        )
        self._start_watches(loop)
        sharing = LoadSharing(self.store, self.group_manager.peers)
        for work in (
            self.group_manager.run(),
            sharing.run(),
            self._update_gauges(),
        ):
            self._tasks.append(asyncio.ensure_future(work))
        gc.freeze()
        gc.enable()
        log.info(
            'records: started',
            instance=self._parts.instance,
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
        report = self._parts.retirement.report
        await loop.run_in_executor(None, lambda: report(is_done=False))
        await StoreDrain(self.store, self.group_manager).run()
        log.info('records: drained', entries=self.store.log.head)
        await loop.run_in_executor(None, lambda: report(is_done=True))

    async def _update_gauges(self) -> None:
        """Updates the gauges until cancelled."""
        await asyncio.sleep(LOAD_METRICS_AFTER_S)
        await asyncio.to_thread(self._metrics.load)
        while True:
            identity = self.store.log.identity
            group = self.store.group
            self._metrics.put(
                'records_entries', len(self.store.log.index.entries)
            )
            self._metrics.put('records_witness', identity.is_witness)
            self._metrics.put(
                'records_unconfirmed_texts',
                self.group_manager.text_offers.unconfirmed,
            )
            self._metrics.put(
                'records_generation', group.generation, shard=str(group.shard)
            )
            condition = self.group_manager.losses.condition
            if condition is not None:
                self._metrics.put(
                    'records_losses_borne',
                    condition.losses_borne,
                    shard=str(group.shard),
                )
            await asyncio.sleep(GAUGE_INTERVAL_S)

    def _start_watches(self, loop: asyncio.AbstractEventLoop) -> None:
        groups = GroupFollower(self.group_manager.adopt_table)
        watches = StoreWatches(self._parts.objects, loop)
        watches.follow(GROUP_KIND, groups)
        watches.follow(
            self._parts.retirement.kind,
            RetirementFollower(self._parts.retirement, self.start_retirement),
        )
        watches.tell(self._parts.gateway_kinds, self.store.gateways)

    def _stop(self) -> None:
        log.info('records: stopping')
        for task in self._tasks:
            task.cancel()
        self._server.stop()
        self.store.log.stop()


def _log_reload() -> None:
    """Logs a SIGHUP; changed settings apply from the next start."""
    log.info('records: settings changed, applied at the next start')

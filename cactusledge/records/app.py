"""The process of a record store: its components, start and stop."""

import asyncio
import gc
import signal
from functools import partial
from pathlib import Path
from typing import NamedTuple, Protocol

import structlog

from cactusledge.gateway.pages import metrics_page, open_page
from cactusledge.models import Address
from cactusledge.objects.feeds import Feed, Follower, Listing
from cactusledge.objects.store import ObjectStore, StoredObject
from cactusledge.objects.watch_session import WatchTarget
from cactusledge.objects.watcher import Watcher
from cactusledge.records.adopted_group import read_group, read_table
from cactusledge.records.draining import StoreDrain
from cactusledge.records.entries import Member
from cactusledge.records.group_follower import GroupFollower
from cactusledge.records.group_manager import GroupManager
from cactusledge.records.group_objects import GROUP_KIND, GroupObjects
from cactusledge.records.load_sharing import LoadSharing
from cactusledge.records.log import RecordLog
from cactusledge.records.message_server import MessageServer
from cactusledge.records.platform_changes import ChangeSink
from cactusledge.records.store import RecordStore
from cactusledge.telemetry.metrics import Metrics

WATCH_TIMEOUT_S = 30.0  # the longest that the platform allows
# Of what gateways watch too: an unanswered watch is noticed after one and a
# half times this, well before gateways must know of a change.
CHANGE_WATCH_TIMEOUT_S = 1.0
CHANGE_PAUSE_S = 0.25
GAUGE_INTERVAL_S = 1.0
LOAD_METRICS_AFTER_S = 5.0  # when callers that waited for the start are served

log = structlog.get_logger('records')


class RetirementRequest(Protocol):
    """The operator's request to drain this store."""

    kind: str

    def is_requested(self, stored: StoredObject) -> bool:
        """Returns whether an object requests to drain this store."""

    def report(self, *, is_done: bool) -> None:
        """Reports progress to the operator; blocks, raises StoreError."""


class StoreParts(NamedTuple):
    """What a platform adapter provides to run a store."""

    instance: str
    data_centre: str
    address: Address
    folder: Path
    is_first_start: bool
    copies: int  # disks holding each text: one more than may be lost
    objects: ObjectStore
    retirement: RetirementRequest
    metrics: Address
    gateway_kinds: tuple[str, ...]  # of the objects that gateways watch


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
            is_first_start=parts.is_first_start,
            copies=parts.copies,
        )
        self._metrics = Metrics()
        self._server = MessageServer(self.store.handle)
        self._watchers: list[Watcher] = []
        self._tasks: list[asyncio.Future[None]] = []

    @property
    def retirement(self) -> RetirementRequest:
        """The operator's request to drain this store."""
        return self._parts.retirement

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
        await open_page(self._parts.metrics, metrics_page(self._metrics))
        self._start_watchers(loop)
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
            self._metrics.put('records_entries', len(self.store.log.entries))
            self._metrics.put('records_witness', identity.is_witness)
            self._metrics.put(
                'records_generation', group.generation, shard=str(group.shard)
            )
            await asyncio.sleep(GAUGE_INTERVAL_S)

    def _start_watchers(self, loop: asyncio.AbstractEventLoop) -> None:
        followers: dict[str, Follower] = {
            GROUP_KIND: GroupFollower(self.group_manager.adopt_table),
            self._parts.retirement.kind: RetirementFollower(self),
        }
        for kind, follower in followers.items():
            target = WatchTarget(kind, timeout_s=WATCH_TIMEOUT_S)
            watcher = Watcher(self._parts.objects, target, Feed(loop, follower))
            watcher.start()
            self._watchers.append(watcher)
        for kind in self._parts.gateway_kinds:
            self._watch_changes(loop, kind)

    def _watch_changes(
        self, loop: asyncio.AbstractEventLoop, kind: str
    ) -> None:
        """Starts to note the changes of objects that gateways watch."""
        target = WatchTarget(
            kind, timeout_s=CHANGE_WATCH_TIMEOUT_S, pause_s=CHANGE_PAUSE_S
        )
        note = partial(self.store.gateways.changes.note, kind)
        sink = ChangeSink(loop, note, self._replace_watches)
        Watcher(self._parts.objects, target, sink).start()

    def _replace_watches(self) -> None:
        """Replaces the watches that the platform may not have noticed."""
        for watcher in self._watchers:
            watcher.replace()

    def _stop(self) -> None:
        log.info('records: stopping')
        for task in self._tasks:
            task.cancel()
        self._server.stop()
        self.store.log.stop()


class RetirementFollower:
    """Starts draining the store when the operator requests it."""

    def __init__(self, app: StoreApplication) -> None:
        """Stores the application to drain."""
        self._app = app

    def handle_list(self, listing: Listing) -> None:
        """Checks each object of a complete list."""
        for stored in listing.listed.items:
            self.handle_object(stored)

    def handle_object(self, stored: StoredObject) -> None:
        """Starts draining if the object requests it."""
        if self._app.retirement.is_requested(stored):
            self._app.start_retirement()

    def handle_removal(self, name: str) -> None:
        """Logs the removal; a drain that has started continues."""
        log.info('records: drain request removed', instance=name)


def _log_reload() -> None:
    """Logs a SIGHUP; changed settings apply from the next start."""
    log.info('records: settings changed, applied at the next start')

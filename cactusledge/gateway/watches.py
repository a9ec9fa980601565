"""The gateway's watches of the platform, and which of them to replace.

The stores name the newest change that they know of each kind of objects. A
watch that does not bring it will not bring anything any more.
"""

import time
from collections.abc import Mapping

import structlog

from cactusledge.gateway.clock import next_tick
from cactusledge.objects.watch_session import WatchProgress, waited_s
from cactusledge.objects.watcher import Watcher
from cactusledge.telemetry.metrics import Metrics

CHECK_INTERVAL_S = 0.1
OVERDUE_S = 0.3  # in which an open watch brings what stores know

log = structlog.get_logger('gateway')


class OverdueWatch:
    """Tells whether a watch lacks a change for too long; pure."""

    def __init__(self) -> None:
        """Starts without known changes."""
        self.newest = 0  # version of the newest known change
        self._lacks_since_s: float | None = None

    def hear(self, version: int) -> None:
        """Takes note of a change that a store knows of."""
        self.newest = max(self.newest, version)

    def is_overdue(self, progress: WatchProgress, now_s: float) -> bool:
        """Returns whether an open watch should have brought more by now."""
        sent_s = progress.waits_since_s
        if sent_s is None or int(progress.version) >= self.newest:
            self._lacks_since_s = None
            return False
        if self._lacks_since_s is None:
            self._lacks_since_s = now_s
        return now_s - max(sent_s, self._lacks_since_s) >= OVERDUE_S


class Watches:
    """The watchers of a gateway by the kind of objects.

    Implements `records.load_exchange.ChangeTracker`.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Starts without watchers; they are added when they start."""
        self._metrics = metrics
        self._watchers: dict[str, Watcher] = {}
        self._overdue: dict[str, OverdueWatch] = {}

    def add(self, watcher: Watcher) -> None:
        """Adds a watcher, which has its kind for itself."""
        self._watchers[watcher.kind] = watcher
        self._overdue[watcher.kind] = OverdueWatch()

    def add_reported(self, changes: Mapping[str, int]) -> None:
        """Takes note of the newest changes that the stores know of."""
        for kind, version in changes.items():
            overdue = self._overdue.get(kind)
            if overdue is not None:
                overdue.hear(version)

    async def run(self) -> None:
        """Replaces overdue watches until cancelled."""
        while True:
            self.step(time.monotonic())
            await next_tick(CHECK_INTERVAL_S)

    def step(self, now_s: float) -> None:
        """Replaces the watches that are overdue."""
        for kind, watcher in self._watchers.items():
            progress = watcher.progress
            overdue = self._overdue[kind]
            if overdue.is_overdue(progress, now_s):
                log.warning(
                    'gateway: watch replaced',
                    kind=kind,
                    version=progress.version,
                    newest=overdue.newest,
                    waited_s=waited_s(progress, now_s),
                )
                self._metrics.add('gateway_watch_replacements_total', kind=kind)
                watcher.replace()

    def update_gauges(self) -> None:
        """Sets the gauges of what the watchers have seen."""
        now_s = time.monotonic()
        for kind, watcher in self._watchers.items():
            progress = watcher.progress
            self._metrics.put(
                'gateway_watch_version', int(progress.version or 0), kind=kind
            )
            self._metrics.put(
                'gateway_watch_wait_seconds',
                waited_s(progress, now_s),
                kind=kind,
            )

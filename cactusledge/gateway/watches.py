"""The gateway's watches of the platform: how far each has come."""

import time

from cactusledge.objects.watcher import Watcher, waited_s
from cactusledge.telemetry.metrics import Metrics


class Watches:
    """The watchers of a gateway by the kind of objects."""

    def __init__(self) -> None:
        """Starts without watchers; they are added when they start."""
        self._by_kind: dict[str, Watcher] = {}

    def add(self, kind: str, watcher: Watcher) -> None:
        """Adds the watcher of a kind."""
        self._by_kind[kind] = watcher

    def update_gauges(self, metrics: Metrics) -> None:
        """Sets the gauges of what the watchers have seen."""
        now_s = time.monotonic()
        for kind, watcher in self._by_kind.items():
            progress = watcher.progress
            metrics.put(
                'gateway_watch_version', int(progress.version or 0), kind=kind
            )
            metrics.put(
                'gateway_watch_wait_seconds',
                waited_s(progress, now_s),
                kind=kind,
            )

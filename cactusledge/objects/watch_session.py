"""One thread that lists the objects of a kind and streams their changes."""

import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol, TypeVar

import structlog

from cactusledge.errors import StoreError
from cactusledge.objects.hedged_list import HedgedList, unexpected
from cactusledge.objects.outage import backoff_s
from cactusledge.objects.store import (
    BOOKMARK,
    ObjectList,
    ObjectStore,
    WatchEvent,
)

WATCH_TIMEOUT_S = 60.0
MAX_WAIT_S = 0.4  # before the objects are listed again

log = structlog.get_logger('platform')
Received = TypeVar('Received')


class WatchSink(Protocol):
    """Receives a watcher's lists and events, in the watcher's thread."""

    def on_snapshot(self, listed: ObjectList) -> None:
        """Handles a complete list; it may be older than earlier events."""

    def on_event(self, event: WatchEvent) -> None:
        """Handles a change of one object."""

    def on_failure(self, exc: StoreError) -> None:
        """Handles a failed list or watch; the watcher retries."""


class WatchTarget(NamedTuple):
    """The objects to watch, and how."""

    kind: str
    prefix: str = ''
    timeout_s: float = WATCH_TIMEOUT_S
    pause_s: float = 0  # after changes, so that further ones arrive together


class WatchProgress(NamedTuple):
    """What a watcher has seen, and whether it waits for the platform."""

    version: str = ''  # of the platform's objects, '' before the first list
    waits_since_s: float | None = None  # monotonic; None between two watches


class WatchSession:
    """Runs list-then-watch in its own thread until it is ended.

    Lists again if the version is too old, or if a watch breaks or is silent.
    """

    def __init__(
        self, store: ObjectStore, target: WatchTarget, sink: WatchSink
    ) -> None:
        """Prepares the thread; `start` runs it."""
        self.progress = WatchProgress()
        self._store = store
        self._target = target
        self._sink = sink
        self._ended = threading.Event()
        self._lock = (
            threading.Lock()
        )  # so that nothing is passed on after `end`
        self._failures = 0
        self._thread = threading.Thread(
            target=self._run,
            name=f'watch-{target.kind}',
            daemon=True,
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def end(self) -> None:
        """Passes nothing more to the sink; the thread ends with its watch."""
        with self._lock:
            self._ended.set()

    def join(self, timeout_s: float) -> None:
        """Waits up to `timeout_s` for the thread to end."""
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._ended.is_set():
            try:
                self._list_and_watch()
            except StoreError as exc:
                self._handle_failure(exc)
            except Exception as exc:
                log.exception(
                    'platform: watcher failed', kind=self._target.kind
                )
                self._handle_failure(unexpected(exc))

    def _list_and_watch(self) -> None:
        """Lists once, then watches until it is ended; raises on a failure."""
        target = self._target
        listed = HedgedList(self._store, target.kind, target.prefix).fetch()
        self._pass_on(self._sink.on_snapshot, listed)
        version = listed.version
        self.progress = WatchProgress(version)
        while not self._ended.is_set():
            version = self._watch_from(version)

    def _watch_from(self, version: str) -> str:
        """Runs one watch; returns the version at which the next one starts."""
        target = self._target
        has_changes = False
        self.progress = WatchProgress(version, time.monotonic())
        events = self._store.watch(
            target.kind,
            version,
            target.timeout_s,
            target.prefix,
        )
        for event in events:
            version = event.object.version
            self.progress = self.progress._replace(version=version)
            self._failures = 0
            if event.type != BOOKMARK:
                self._pass_on(self._sink.on_event, event)
                has_changes = True
            if self._ended.is_set():
                break
        self.progress = WatchProgress(version)
        if has_changes:
            self._ended.wait(target.pause_s)
        return version

    def _handle_failure(self, exc: StoreError) -> None:
        self._failures += 1
        progress = self.progress
        log.info(
            'platform: list or watch failed, listing again',
            kind=self._target.kind,
            error=str(exc),
            version=progress.version,
            waited_s=waited_s(progress, time.monotonic()),
        )
        self.progress = WatchProgress(progress.version)
        self._pass_on(self._sink.on_failure, exc)
        wait_s = backoff_s(self._failures, random.random())
        self._ended.wait(min(wait_s, MAX_WAIT_S))

    def _pass_on(
        self, take: Callable[[Received], None], received: Received
    ) -> None:
        with self._lock:
            if not self._ended.is_set():
                take(received)


def waited_s(progress: WatchProgress, now_s: float) -> float:
    """Returns how long the watch that is open has waited, 0 without one."""
    since_s = progress.waits_since_s
    return 0 if since_s is None else round(now_s - since_s, 2)

"""Follows the objects of one kind: lists them, then watches for changes."""

import random
import threading
from typing import NamedTuple, Protocol

import structlog

from cactusledge.errors import StoreError
from cactusledge.objects.outage import backoff_s
from cactusledge.objects.store import (
    BOOKMARK,
    ObjectList,
    ObjectStore,
    WatchEvent,
)

WATCH_TIMEOUT_S = 60.0

log = structlog.get_logger('platform')


class WatchSink(Protocol):
    """Receives what a watcher learns, in the watcher's thread."""

    def on_snapshot(self, listed: ObjectList) -> None:
        """Takes all objects; they may be older than events seen before."""

    def on_event(self, event: WatchEvent) -> None:
        """Takes a change of one object."""

    def on_failure(self, exc: StoreError) -> None:
        """Takes note that the platform could not be followed."""


class WatchTarget(NamedTuple):
    """What to follow."""

    kind: str
    prefix: str = ''
    timeout_s: float = WATCH_TIMEOUT_S
    pause_s: float = 0  # after changes, so that the next ones come together


class Watcher:
    """Runs list-then-watch in its own thread until it is stopped.

    Lists again when the version is too old, the watch goes silent or breaks.
    """

    def __init__(
        self,
        store: ObjectStore,
        target: WatchTarget,
        sink: WatchSink,
    ) -> None:
        """Keeps what to follow; `start` begins."""
        self._store = store
        self._target = target
        self._sink = sink
        self._stop = threading.Event()
        self._failures = 0
        self._thread = threading.Thread(
            target=self._run,
            name=f'watch-{target.kind}',
            daemon=True,
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self, timeout_s: float = 0) -> None:
        """Stops after the next event, bookmark or timeout."""
        self._stop.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self._list_and_watch()
            except StoreError as exc:
                self._handle_failure(exc)

    def _list_and_watch(self) -> None:
        """Lists once, then watches until an error or the stop."""
        target = self._target
        listed = self._store.list(target.kind, target.prefix)
        self._sink.on_snapshot(listed)
        version = listed.version
        while not self._stop.is_set():
            version = self._watch_from(version)

    def _watch_from(self, version: str) -> str:
        """Returns the version to watch from after one watch has ended."""
        target = self._target
        has_changes = False
        events = self._store.watch(
            target.kind,
            version,
            target.timeout_s,
            target.prefix,
        )
        for event in events:
            version = event.object.version
            self._failures = 0
            if event.type != BOOKMARK:
                self._sink.on_event(event)
                has_changes = True
            if self._stop.is_set():
                break
        if has_changes:
            self._stop.wait(target.pause_s)
        return version

    def _handle_failure(self, exc: StoreError) -> None:
        self._failures += 1
        log.info(
            'platform: watch ended, listing again',
            kind=self._target.kind,
            error=str(exc),
        )
        self._sink.on_failure(exc)
        self._stop.wait(backoff_s(self._failures, random.random()))

"""Keeps the newest published configuration in force on an instance.

A configuration arrives by a watch, by reading the head now and then, or from
a peer. Whatever the way, only a higher generation takes effect.
"""

import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from cactusledge.errors import CactusledgeError
from cactusledge.settings.configuration import Configuration
from cactusledge.settings.head import Head, decide_apply
from cactusledge.settings.parts import Part
from cactusledge.settings.published import (
    HEAD_KIND,
    HEAD_NAME,
    Published,
    StoredHead,
    parse_head,
    read_definitions,
    read_head,
)
from cactusledge.settings.snapshot import decode_snapshot, encode_snapshot
from cactusledge.telemetry.logs import get_logger

if TYPE_CHECKING:
    from cactusledge.platform.store import ObjectStore, WatchEvent

WATCH_TIMEOUT_S = 30.0
RETRY_PAUSE_S = 1.0
STOP_WAIT_S = 2.0

OnChange = Callable[[Configuration], None]

log = get_logger('config')


class Pace(NamedTuple):
    """How often the follower asks the platform."""

    watch_timeout_s: float = WATCH_TIMEOUT_S
    silence_limit_s: float = 5.0  # without news, the head is read
    retry_pause_s: float = RETRY_PAUSE_S


class InForce(NamedTuple):
    """The configuration in force and the bytes to offer to peers."""

    configuration: Configuration
    encoded: bytes


class ConfigFollower:
    """Follows the published configuration; never goes back."""

    def __init__(
        self,
        store: 'ObjectStore',
        *,
        pace: Pace = Pace(),
        watches: Callable[[], bool] = lambda: True,
    ) -> None:
        """Prepares to follow.

        Args:
            store: The platform's object API.
            pace: How often to ask it.
            watches: Tells whether this instance is the one of its data
                centre that watches; the others hear of changes from peers
                and read the head when they hear nothing.
        """
        self._store = store
        self._pace = pace
        self._watches = watches
        self._callbacks: list[OnChange] = []
        self._in_force = InForce(Configuration(), b'')
        self._cache: dict[str, Part] = {}
        self._apply_lock = threading.Lock()
        self._fetch_lock = threading.Lock()
        self._stopping = threading.Event()
        self._heard_at = time.monotonic()
        self._threads: tuple[threading.Thread, ...] = ()

    def current(self) -> Configuration:
        """Returns the configuration in force, generation 0 for none yet."""
        return self._in_force.configuration

    def snapshot(self) -> tuple[int, bytes]:
        """Returns the generation in force and the bytes to offer to peers."""
        in_force = self._in_force
        return in_force.configuration.generation, in_force.encoded

    def on_change(self, callback: OnChange) -> None:
        """Has `callback` called after each change, with the new one."""
        self._callbacks.append(callback)

    def offer(self, generation: int, encoded: bytes) -> bool:
        """Takes a configuration from a peer; returns whether it applies."""
        if not decide_apply(self.current().generation, generation):
            return False
        configuration = decode_snapshot(encoded)
        return self._apply(InForce(configuration, encoded), 'a peer')

    def refresh(self) -> bool:
        """Reads the head; returns whether a newer configuration applies."""
        stored = read_head(self._store)
        self._heard()
        return self._learn(stored, 'the platform')

    def start(self) -> None:
        """Starts to follow in the background."""
        self._threads = (
            threading.Thread(target=self._watch_loop, daemon=True),
            threading.Thread(target=self._poll_loop, daemon=True),
        )
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops to follow; a silent watch is not waited for."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(STOP_WAIT_S)

    def _learn(self, stored: StoredHead, source: str) -> bool:
        head = stored.head
        if head is None:
            return False
        if not decide_apply(self.current().generation, head.generation):
            return False
        with self._fetch_lock:
            definitions = read_definitions(self._store, head, self._cache)
            self._forget_old_parts(head)
        configuration = Published(stored, definitions).configuration()
        encoded = encode_snapshot(definitions, head.generation, head.digest)
        return self._apply(InForce(configuration, encoded), source)

    def _forget_old_parts(self, head: Head) -> None:
        for name in self._cache.keys() - frozenset(head.parts):
            self._cache.pop(name)

    def _apply(self, offered: InForce, source: str) -> bool:
        generation = offered.configuration.generation
        with self._apply_lock:
            if not decide_apply(self.current().generation, generation):
                return False
            self._in_force = offered
            log.info('Applied.', generation=generation, source=source)
            for callback in self._callbacks:
                callback(offered.configuration)
        return True

    def _watch_loop(self) -> None:
        while not self._stopping.is_set():
            if self._watches():
                self._try(self._watch)
            self._stopping.wait(self._pace.retry_pause_s)

    def _watch(self) -> None:
        """Reads the head, then follows its changes until the watch ends."""
        stored = read_head(self._store)
        self._heard()
        self._learn(stored, 'the platform')
        events = self._store.watch(
            HEAD_KIND,
            stored.version,
            self._pace.watch_timeout_s,
            HEAD_NAME,
        )
        for event in events:
            self._take(event)
            if self._stopping.is_set():
                return

    def _take(self, event: 'WatchEvent') -> None:
        self._heard()
        if event.object.name == HEAD_NAME and event.object.body:
            head = parse_head(event.object.body)
            self._learn(StoredHead(head, event.object.version), 'the watch')

    def _poll_loop(self) -> None:
        """Reads the head whenever nothing was heard for too long."""
        limit_s = self._pace.silence_limit_s
        while not self._stopping.is_set():
            waited_s = time.monotonic() - self._heard_at
            if waited_s >= limit_s:
                self._heard()
                self._try(self.refresh)
                waited_s = 0.0
            self._stopping.wait(limit_s - waited_s)

    def _heard(self) -> None:
        self._heard_at = time.monotonic()

    def _try(self, step: Callable[[], object]) -> None:
        """Runs one step; a failure is logged and tried again later."""
        try:
            step()
        except CactusledgeError as exc:
            log.warning('Not refreshed.', code=exc.code, reason=exc.message)
        except Exception:
            log.exception('Not refreshed.')

"""Follows published configurations by watch, by polling and from peers."""

import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from cactusledge.errors import CactusledgeError
from cactusledge.protocol.config_head import should_apply
from cactusledge.settings.configuration import Configuration
from cactusledge.settings.in_force import (
    ConfigInForce,
    ConfigSnapshot,
    OnChange,
)
from cactusledge.settings.published import (
    HEAD_KIND,
    HEAD_NAME,
    parse_head,
    read_head,
)
from cactusledge.telemetry.logs import get_logger

if TYPE_CHECKING:
    from cactusledge.objects.store import ObjectStore, StoredObject

STOP_TIMEOUT_S = 0.5
NEVER_S = float('-inf')
FROM_PLATFORM = 'platform'
FROM_WATCH = 'watch'

log = get_logger('config')


class FollowerTimings(NamedTuple):
    """Timings of the follower's requests to the platform."""

    watch_timeout_s: float = 30.0
    silence_timeout_s: float = 5.0  # then the head is polled
    retry_delay_s: float = 1.0


DEFAULT_TIMINGS = FollowerTimings()


def always_watcher() -> bool:
    """Returns True: the default, with which every instance watches."""
    return True


class ConfigFollower:
    """Keeps the newest configuration in force; never applies an older one."""

    def __init__(
        self,
        store: 'ObjectStore',
        *,
        timings: FollowerTimings = DEFAULT_TIMINGS,
        is_watcher: Callable[[], bool] = always_watcher,
    ) -> None:
        """Creates a stopped follower.

        Args:
            store: The platform's object API.
            timings: Time-outs and delays of its requests.
            is_watcher: Returns whether this instance is the one in its data
                centre that watches the head. The others learn of changes
                from peers, and poll the head after a silence.
        """
        self._store = store
        self._timings = timings
        self._is_watcher = is_watcher
        self._in_force = ConfigInForce(store)
        self._stopping = threading.Event()
        self._refresh_requested = threading.Event()
        self._last_contact_s = NEVER_S
        self._threads: tuple[threading.Thread, ...] = ()

    def current(self) -> Configuration:
        """Returns the configuration in force; generation 0 before the first."""
        return self._in_force.snapshot().configuration

    def snapshot(self) -> ConfigSnapshot:
        """Returns the configuration in force with its encoding for peers."""
        return self._in_force.snapshot()

    def on_change(self, callback: OnChange) -> None:
        """Registers a callback for each change, called in order of changes."""
        self._in_force.on_change(callback)

    def apply_encoded(self, generation: int, encoded: bytes) -> bool:
        """Applies a peer's configuration if newer; returns whether it did."""
        return self._in_force.apply_encoded(generation, encoded)

    def refresh(self) -> bool:
        """Reads the head; returns whether a newer configuration was applied."""
        head = read_head(self._store).head
        self._record_contact()
        return head is not None and self._in_force.apply_head(
            head, FROM_PLATFORM
        )

    def request_refresh_if_behind(self, generation: int) -> None:
        """Triggers a poll of the head if a peer runs a newer generation."""
        if should_apply(self.current().generation, generation):
            self._refresh_requested.set()

    def start(self) -> None:
        """Starts the watch and poll threads."""
        self._threads = tuple(
            threading.Thread(target=loop, name=name, daemon=True)
            for name, loop in (
                ('config-watch', self._watch_loop),
                ('config-poll', self._poll_loop),
            )
        )
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops the threads; waits only briefly for a watch that is silent."""
        self._stopping.set()
        self._refresh_requested.set()
        for thread in self._threads:
            thread.join(STOP_TIMEOUT_S)

    def _watch_loop(self) -> None:
        while not self._stopping.is_set():
            if self._is_watcher():
                run_step(self._watch)
            self._stopping.wait(self._timings.retry_delay_s)

    def _watch(self) -> None:
        """Applies the current head, then its changes until the watch ends."""
        heads = self._store.list(HEAD_KIND, HEAD_NAME)
        for found in heads.items:
            self._handle_object(found)
        events = self._store.watch(
            HEAD_KIND, heads.version, self._timings.watch_timeout_s, HEAD_NAME
        )
        for event in events:
            if self._stopping.is_set():
                return
            self._handle_object(event.object)

    def _handle_object(self, found: 'StoredObject') -> None:
        """Applies the head in an object; a bookmark carries none."""
        self._record_contact()
        if found.name == HEAD_NAME and found.body:
            self._in_force.apply_head(parse_head(found.body), FROM_WATCH)

    def _poll_loop(self) -> None:
        """Reads the head at start, on request, and after a silence."""
        limit_s = self._timings.silence_timeout_s
        while not self._stopping.is_set():
            silence_s = time.monotonic() - self._last_contact_s
            if self._refresh_requested.wait(max(0, limit_s - silence_s)):
                self._refresh_requested.clear()
            elif time.monotonic() - self._last_contact_s < limit_s:
                continue
            self._record_contact()
            run_step(self.refresh)

    def _record_contact(self) -> None:
        self._last_contact_s = time.monotonic()


def run_step(step: Callable[[], object]) -> None:
    """Runs one step and logs a failure; the calling loop tries again."""
    try:
        step()
    except CactusledgeError as exc:
        log.warning(
            'Configuration not refreshed.', code=exc.code, reason=exc.message
        )
    except Exception:
        log.exception('Configuration not refreshed.')

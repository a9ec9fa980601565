"""Holds the configuration in force; only a higher generation replaces it."""

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from cactusledge.protocol.config_head import Head, should_apply
from cactusledge.settings.configuration import Configuration
from cactusledge.settings.definitions import build_configuration
from cactusledge.settings.parts import Part
from cactusledge.settings.published import read_definitions
from cactusledge.settings.snapshot import decode_snapshot, encode_snapshot
from cactusledge.telemetry.logs import get_logger

if TYPE_CHECKING:
    from cactusledge.objects.store import ObjectStore

OnChange = Callable[[Configuration], None]

FROM_PEER = 'peer'

log = get_logger('config')


class ConfigSnapshot(NamedTuple):
    """A configuration and its encoding for peers."""

    configuration: Configuration = Configuration()
    encoded: bytes = b''


class ConfigInForce:
    """The configuration that this instance runs."""

    def __init__(self, store: 'ObjectStore') -> None:
        """Starts with an empty configuration of generation 0."""
        self._store = store
        self._snapshot = ConfigSnapshot()
        self._callbacks: list[OnChange] = []
        self._parts: dict[str, Part] = {}
        self._apply_lock = threading.Lock()
        self._fetch_lock = threading.Lock()

    def snapshot(self) -> ConfigSnapshot:
        """Returns the configuration in force and its encoding."""
        return self._snapshot

    def on_change(self, callback: OnChange) -> None:
        """Registers a callback for each change, called in order of changes.

        The callback must not apply a configuration itself: the lock is held.
        """
        self._callbacks.append(callback)

    def apply_encoded(self, generation: int, encoded: bytes) -> bool:
        """Applies a peer's configuration if newer; returns whether it did."""
        if not self._is_newer(generation):
            return False
        candidate = ConfigSnapshot(decode_snapshot(encoded), encoded)
        return self._apply(candidate, FROM_PEER)

    def apply_head(self, head: Head, source: str) -> bool:
        """Fetches and applies a newer head's parts; returns whether it did."""
        if not self._is_newer(head.generation):
            return False
        with self._fetch_lock:
            definitions = read_definitions(self._store, head, self._parts)
            self._evict_unused_parts(head)
        identity = (head.generation, head.digest)
        fetched = ConfigSnapshot(
            build_configuration(definitions, *identity),
            encode_snapshot(definitions, *identity),
        )
        return self._apply(fetched, source)

    def _is_newer(self, generation: int) -> bool:
        return should_apply(self._snapshot.configuration.generation, generation)

    def _evict_unused_parts(self, head: Head) -> None:
        for name in self._parts.keys() - frozenset(head.parts):
            self._parts.pop(name)

    def _apply(self, candidate: ConfigSnapshot, source: str) -> bool:
        generation = candidate.configuration.generation
        with self._apply_lock:
            if not self._is_newer(generation):
                return False
            self._snapshot = candidate
            log.info(
                'Configuration applied.', generation=generation, source=source
            )
            for callback in self._callbacks:
                _notify(callback, candidate.configuration)
        return True


def _notify(callback: OnChange, configuration: Configuration) -> None:
    try:
        callback(configuration)
    except Exception:  # a failing callback must not stop the others
        log.exception('A configuration callback failed.')

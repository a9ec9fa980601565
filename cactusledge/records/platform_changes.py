"""The newest changes of the platform's objects that stores have seen.

Gateways watch these objects themselves. What the stores have seen shows them
a watch that the platform will never answer, which endpoints have left while a
gateway was out of touch, and whether the platform was up meanwhile.
"""

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Protocol

from cactusledge.errors import StoreError
from cactusledge.objects.feeds import OUTAGE_THRESHOLD_S, REREGISTRATION_S
from cactusledge.objects.store import (
    DELETED,
    ObjectList,
    StoredObject,
    WatchEvent,
)

IsEnding = Callable[[StoredObject], bool]


class PlatformChanges:
    """The version of the newest change by the kind of objects; pure."""

    def __init__(self) -> None:
        """Starts without changes."""
        self.seen: dict[str, int] = {}  # by this store
        self.newest: dict[str, int] = {}  # by any store

    def note(self, kind: str, version: int) -> None:
        """Takes note of a change that this store has seen."""
        keep_newest(self.seen, kind, version)
        keep_newest(self.newest, kind, version)

    def share(self, changes: Mapping[str, int]) -> None:
        """Takes note of what another store has seen."""
        for kind, version in changes.items():
            keep_newest(self.newest, kind, version)


class ChangeListener(Protocol):
    """Takes what a store sees of a kind of objects, on the event loop."""

    def note_change(self, version: int) -> None:
        """Takes the version of a change."""

    def note_end(self, name: str, version: int) -> None:
        """Takes the last version of an object that was removed or is ending."""

    def note_up(self, since_s: float | None) -> None:
        """Takes since when the platform answers (monotonic), None if not."""

    def regain(self) -> None:
        """Is called when the platform answers after a failure."""


class ChangeSink:
    """A `WatchSink` that passes the changes of a kind to the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: ChangeListener,
        is_ending: IsEnding,
    ) -> None:
        """Stores the event loop and what is called on it.

        Args:
            loop: The event loop of the store.
            listener: Takes what is seen.
            is_ending: Tells whether an object that exists is of no more use.
        """
        self._loop = loop
        self._listener = listener
        self._is_ending = is_ending
        self._failing_since_s: float | None = None
        self._up_since_s: float | None = None
        self._versions: dict[str, int] = {}  # of the objects that exist

    def on_snapshot(self, listed: ObjectList) -> None:
        """Notes the newest change that a complete list shows."""
        found = {stored.name: int(stored.version) for stored in listed.items}
        gone = frozenset(self._versions.keys() - found.keys())
        # The list does not say when they went.
        newest = (int(listed.version),) if gone else ()
        self._pass_on(
            self._listener.note_change,
            max((*found.values(), *newest), default=0),
        )
        if self._was_away():
            self._up_since_s = None
            gone = frozenset()  # live ones may have expired
        for name in sorted(gone):
            self._pass_on(self._listener.note_end, name, self._versions[name])
        self._versions = found
        self._note_up()
        for stored in listed.items:
            self._check(stored)
        if self._failing_since_s is not None:
            self._failing_since_s = None
            self._pass_on(self._listener.regain)

    def on_event(self, event: WatchEvent) -> None:
        """Notes a change of one object."""
        stored = event.object
        version = int(stored.version)
        if event.type == DELETED:
            self._remove(stored.name, version)
        else:
            self._versions[stored.name] = version
            self._check(stored)
        self._pass_on(self._listener.note_change, version)

    def on_failure(self, exc: StoreError) -> None:
        """Takes note that the platform did not answer."""
        if self._failing_since_s is None:
            self._failing_since_s = time.monotonic()
            self._pass_on(self._listener.note_up, None)

    def _remove(self, name: str, version: int) -> None:
        """Tells of a removal, unless an outage may have caused it."""
        known = self._versions.pop(name, version)
        since_s = self._up_since_s or 0
        if time.monotonic() - since_s >= REREGISTRATION_S:
            self._pass_on(self._listener.note_end, name, known)

    def _note_up(self) -> None:
        """Tells since when the platform answers; an outage begins it anew."""
        if self._up_since_s is None:
            self._up_since_s = time.monotonic()
        self._pass_on(self._listener.note_up, self._up_since_s)

    def _check(self, stored: StoredObject) -> None:
        if self._is_ending(stored):
            self._pass_on(
                self._listener.note_end, stored.name, int(stored.version)
            )

    def _was_away(self) -> bool:
        """Returns whether this list is the first one after an outage."""
        since_s = self._failing_since_s
        if since_s is None:
            return False
        return time.monotonic() - since_s >= OUTAGE_THRESHOLD_S

    def _pass_on(self, take: Callable[..., None], *args: object) -> None:
        self._loop.call_soon_threadsafe(take, *args)


def keep_newest(versions: dict[str, int], kind: str, version: int) -> None:
    """Stores the version of a kind unless a newer one is known."""
    versions[kind] = max(versions.get(kind, 0), version)

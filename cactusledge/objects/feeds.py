"""Passes the events of watcher threads to the asyncio event loop."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

import structlog

from cactusledge.errors import StoreError, StoreVersionGoneError
from cactusledge.objects.store import (
    DELETED,
    ObjectList,
    StoredObject,
    WatchEvent,
)

# Live entries may expire while the platform has been failing for this long.
OUTAGE_THRESHOLD_S = 1.0
REREGISTRATION_S = 2.0  # after its return, for those that expired meanwhile

log = structlog.get_logger('platform')


class Listing(NamedTuple):
    """A complete list, and whether it is the first one after an outage."""

    listed: ObjectList
    after_outage: bool


class Follower(Protocol):
    """Handles the lists and changes of a watcher on the event loop."""

    def handle_list(self, listing: Listing) -> None:
        """Handles a complete list."""

    def handle_object(self, stored: StoredObject) -> None:
        """Handles a new or changed object."""

    def handle_removal(self, name: str) -> None:
        """Handles the removal of an object."""


def ignore(failing_since_s: float | None) -> None:
    """Takes no note of failures."""


class Feed:
    """A `WatchSink` that calls a follower on the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        follower: Follower,
        note_failing: Callable[[float | None], None] = ignore,
    ) -> None:
        """Stores the event loop and the follower.

        Args:
            loop: The event loop to call the follower on.
            follower: Handles the lists and events.
            note_failing: Is told since when the watch has failed (monotonic
                clock), None once it has listed again.
        """
        self._loop = loop
        self._follower = follower
        self._note_failing = note_failing
        self._failing_since_s: float | None = None

    def on_snapshot(self, listed: ObjectList) -> None:
        """Passes on a complete list and ends the current outage, if any."""
        since_s = self._failing_since_s
        self._failing_since_s = None
        away_s = time.monotonic() - since_s if since_s else 0
        if since_s:
            log.info('platform: regained', away_s=round(away_s, 2))
        listing = Listing(listed, away_s >= OUTAGE_THRESHOLD_S)
        self._call(self._follower.handle_list, listing)
        self._call(self._note_failing, None)

    def on_event(self, event: WatchEvent) -> None:
        """Passes on a change of one object."""
        if event.type == DELETED:
            self._call(self._follower.handle_removal, event.object.name)
        else:
            self._call(self._follower.handle_object, event.object)

    def on_failure(self, exc: StoreError) -> None:
        """Records when an outage began.

        A version that is too old is not an outage: the platform answered.
        """
        if isinstance(exc, StoreVersionGoneError):
            return
        if self._failing_since_s is None:
            self._failing_since_s = time.monotonic()
            log.warning('platform: lost', error=exc.message)
            self._call(self._note_failing, self._failing_since_s)

    def _call(self, take: Callable[..., None], *args: object) -> None:
        self._loop.call_soon_threadsafe(take, *args)

"""A record store's watches of the platform."""

import asyncio
from functools import partial

from cactusledge.objects.feeds import Feed, Follower
from cactusledge.objects.store import ObjectStore
from cactusledge.objects.watch_session import WatchTarget
from cactusledge.objects.watcher import Watcher
from cactusledge.records.platform_changes import ChangeSink, PlatformChanges

WATCH_TIMEOUT_S = 30.0  # the longest that the platform allows
# An unanswered watch is noticed after one and a half times this, in time for
# gateways whose watches are not answered either.
CHANGE_WATCH_TIMEOUT_S = 1.25
CHANGE_PAUSE_S = 0.25  # after changes, so that further ones arrive together


class StoreWatches:
    """Follows what a store acts on; notes changes of what gateways watch.

    The watches for changes are short. When one was not answered, the long ones
    are replaced too: the platform may not answer them either.
    """

    def __init__(
        self, objects: ObjectStore, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Stores the platform's objects and the event loop of the store."""
        self._objects = objects
        self._loop = loop
        self._following: list[Watcher] = []

    def follow(self, kind: str, follower: Follower) -> None:
        """Starts to pass the objects of a kind to a follower."""
        target = WatchTarget(kind, timeout_s=WATCH_TIMEOUT_S)
        watcher = Watcher(self._objects, target, Feed(self._loop, follower))
        self._following.append(watcher)
        watcher.start()

    def note_changes(self, kind: str, changes: PlatformChanges) -> None:
        """Starts to note the changes of a kind."""
        target = WatchTarget(
            kind, timeout_s=CHANGE_WATCH_TIMEOUT_S, pause_s=CHANGE_PAUSE_S
        )
        note = partial(changes.note, kind)
        sink = ChangeSink(self._loop, note, self._replace)
        Watcher(self._objects, target, sink).start()

    def _replace(self) -> None:
        for watcher in self._following:
            watcher.replace()

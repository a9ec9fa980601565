"""The newest changes of the platform's objects that stores have seen.

Gateways watch these objects themselves. What the stores have seen shows them
a watch that the platform will never answer.
"""

import asyncio
from collections.abc import Callable, Mapping

from cactusledge.errors import StoreError
from cactusledge.objects.store import DELETED, ObjectList, WatchEvent


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


class ChangeSink:
    """A `WatchSink` that notes the changes of a kind on the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        note: Callable[[int], None],
        on_regained: Callable[[], None],
    ) -> None:
        """Stores the event loop and what is called on it.

        Args:
            loop: The event loop of the store.
            note: Takes the version of a change.
            on_regained: Is called when the platform answers after a failure.
        """
        self._loop = loop
        self._note = note
        self._on_regained = on_regained
        self._has_failed = False
        self._names: frozenset[str] = frozenset()  # of the objects that exist

    def on_snapshot(self, listed: ObjectList) -> None:
        """Notes the newest change that a complete list shows."""
        names = frozenset(stored.name for stored in listed.items)
        versions = [int(stored.version) for stored in listed.items]
        if self._names - names:  # the list does not say when they went
            versions.append(int(listed.version))
        self._names = names
        self._loop.call_soon_threadsafe(self._note, max(versions, default=0))
        if self._has_failed:
            self._has_failed = False
            self._loop.call_soon_threadsafe(self._on_regained)

    def on_event(self, event: WatchEvent) -> None:
        """Notes a change of one object."""
        name = frozenset((event.object.name,))
        is_gone = event.type == DELETED
        self._names = self._names - name if is_gone else self._names | name
        self._loop.call_soon_threadsafe(self._note, int(event.object.version))

    def on_failure(self, exc: StoreError) -> None:
        """Takes note that the platform did not answer."""
        self._has_failed = True


def keep_newest(versions: dict[str, int], kind: str, version: int) -> None:
    """Stores the version of a kind unless a newer one is known."""
    versions[kind] = max(versions.get(kind, 0), version)

"""Watches the objects of one kind, with one session after the other."""

from cactusledge.objects.store import ObjectStore
from cactusledge.objects.watch_session import (
    WatchProgress,
    WatchSession,
    WatchSink,
    WatchTarget,
)


class Watcher:
    """Keeps one session of list-then-watch running until it is stopped.

    A watch without an answer looks like one without news. Whoever knows of
    changes that it should have brought replaces it.
    """

    def __init__(
        self, store: ObjectStore, target: WatchTarget, sink: WatchSink
    ) -> None:
        """Prepares the first session; `start` runs it."""
        self._store = store
        self._target = target
        self._sink = sink
        self._session = WatchSession(store, target, sink)

    @property
    def kind(self) -> str:
        """The kind of objects that it watches."""
        return self._target.kind

    @property
    def progress(self) -> WatchProgress:
        """What this watcher has seen so far."""
        return self._session.progress

    def start(self) -> None:
        """Starts the thread."""
        self._session.start()

    def replace(self) -> None:
        """Lists again in another thread, without waiting for the open watch.

        Whatever the open watch still receives is dropped.
        """
        self._session.end()
        self._session = WatchSession(self._store, self._target, self._sink)
        self._session.start()

    def stop(self, timeout_s: float = 0) -> None:
        """Stops after the next event, bookmark or time-out.

        Waits up to `timeout_s` for the thread to end.
        """
        self._session.end()
        self._session.join(timeout_s)

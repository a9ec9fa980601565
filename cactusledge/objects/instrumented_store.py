"""Records metrics of the requests to the platform's object API."""

import time
from collections.abc import Iterator, Mapping
from typing import Any, Protocol

from cactusledge.errors import StoreError
from cactusledge.objects.store import (
    ObjectList,
    ObjectStore,
    StoredObject,
    WatchEvent,
)

OK = 'ok'
REQUESTS = 'platform_requests_total'
SECONDS = 'platform_request_seconds'


class MetricRecorder(Protocol):
    """Records counters and histograms."""

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""

    def observe(self, name: str, measured: float, **labels: str) -> None:
        """Adds one measurement to a histogram."""


class InstrumentedStore:
    """Wraps an object store and records the count and duration of requests."""

    def __init__(self, store: ObjectStore, recorder: MetricRecorder) -> None:
        """Stores the wrapped store and the recorder."""
        self._store = store
        self._recorder = recorder

    def read(self, kind: str, name: str) -> StoredObject:
        """Returns the object."""
        with _RequestTimer(self._recorder, 'read'):
            return self._store.read(kind, name)

    def list(self, kind: str, prefix: str = '') -> ObjectList:
        """Returns all objects of a kind whose names start with `prefix`."""
        with _RequestTimer(self._recorder, 'list'):
            return self._store.list(kind, prefix)

    def create(
        self,
        kind: str,
        name: str,
        body: Mapping[str, Any],
    ) -> StoredObject:
        """Creates the object."""
        with _RequestTimer(self._recorder, 'create'):
            return self._store.create(kind, name, body)

    def update(
        self,
        kind: str,
        name: str,
        body: Mapping[str, Any],
        version: str,
    ) -> StoredObject:
        """Replaces the object if it still has the given version."""
        with _RequestTimer(self._recorder, 'update'):
            return self._store.update(kind, name, body, version)

    def watch(
        self,
        kind: str,
        version: str,
        timeout_s: float,
        prefix: str = '',
    ) -> Iterator[WatchEvent]:
        """Yields the changes after `version`; counts the watch once."""
        self._recorder.add(REQUESTS, operation='watch', result=OK)
        return self._store.watch(kind, version, timeout_s, prefix)


class _RequestTimer:
    """Records the duration and result of one request, failed or not."""

    def __init__(self, recorder: MetricRecorder, operation: str) -> None:
        self._recorder = recorder
        self._operation = operation
        self._started_s = time.monotonic()

    def __enter__(self) -> None:
        """Does nothing; the timer starts when it is created."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: object,
    ) -> None:
        """Counts the request by its result and records its duration."""
        code = str(exc.code) if isinstance(exc, StoreError) else 'error'
        result = OK if exc is None else code
        self._recorder.add(REQUESTS, operation=self._operation, result=result)
        spent_s = time.monotonic() - self._started_s
        self._recorder.observe(SECONDS, spent_s, operation=self._operation)

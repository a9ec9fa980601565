"""Load reports and cache releases of engines, independent of calls."""

import time
from collections.abc import Callable
from concurrent.futures import Executor
from typing import NamedTuple

from cactusledge.endpoints.directory import EndpointDirectory
from cactusledge.endpoints.engine import EngineClient
from cactusledge.errors import CactusledgeError
from cactusledge.models import Endpoint
from cactusledge.routing.client import DispatcherClient
from cactusledge.routing.types import CacheRelease, EngineReport, GroupKey
from cactusledge.telemetry.logs import get_logger

REPORT_TIMEOUT_S = 1.0
RELEASE_TIMEOUT_S = 5.0

log = get_logger('engines')


class MaintenanceDependencies(NamedTuple):
    """Dependencies of `EngineMaintenance`."""

    workers: Executor
    engines: EngineClient
    directory: EndpointDirectory
    queues: DispatcherClient
    is_owner: Callable[[GroupKey], bool]
    key_of: Callable[[str], GroupKey | None]


class EngineMaintenance:
    """Polls engines for load reports and releases programs' caches.

    All requests to engines run in worker threads.
    """

    def __init__(self, parts: MaintenanceDependencies) -> None:
        self._parts = parts
        self._pending_reports: set[str] = set()

    def tick(self) -> None:
        """Requests load reports from the engines of the owned groups.

        Skips engines whose previous request has not completed.
        """
        for endpoint in self._parts.directory.all():
            key = self._parts.key_of(endpoint.name)
            is_due = endpoint.name not in self._pending_reports
            if key and is_due and self._parts.is_owner(key):
                self._pending_reports.add(endpoint.name)
                self._parts.workers.submit(self._report, key, endpoint)

    def handle_release(self, effect: CacheRelease) -> None:
        """Starts the cache release that a scheduler requested."""
        self.release(effect.engine, effect.program_id)

    def release(self, engine: str, program_id: str) -> None:
        """Starts the release of a program's cache at an engine."""
        endpoint = self._parts.directory.find(engine)
        if endpoint is not None:
            self._parts.workers.submit(self._release, endpoint, program_id)

    def _report(self, key: GroupKey, endpoint: Endpoint) -> None:
        deadline_s = time.monotonic() + REPORT_TIMEOUT_S
        try:
            load = self._parts.engines.load_report(
                endpoint,
                deadline_s=deadline_s,
            )
        except CactusledgeError as exc:
            log.info('Cannot read the engine load report.', reason=exc.message)
        else:
            report = EngineReport(
                engine=endpoint.name,
                timestamp_s=time.time() - load.lag_s,
                running=load.running,
                waiting=load.waiting,
                kv_used_tokens=load.memory_tokens,
            )
            self._parts.queues.report(key, report)
        finally:
            self._pending_reports.discard(endpoint.name)

    def _release(self, endpoint: Endpoint, program_id: str) -> None:
        deadline_s = time.monotonic() + RELEASE_TIMEOUT_S
        try:
            self._parts.engines.release_cache(
                endpoint,
                program_id,
                deadline_s=deadline_s,
            )
        except CactusledgeError as exc:
            log.info(
                'Cannot release the cache at the engine.', reason=exc.message
            )

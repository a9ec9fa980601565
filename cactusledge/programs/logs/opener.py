"""Takes logs over and starts their writers and drivers."""

import itertools
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from functools import partial
from typing import Any, NamedTuple, Protocol

from cactusledge.objects.store import ObjectStore
from cactusledge.programs.calls.tasks import DriverContext, DriverWork
from cactusledge.programs.driver import LogDriver
from cactusledge.programs.journal.options import WriterOptions
from cactusledge.programs.journal.takeover import TakeoverOptions, take_over
from cactusledge.programs.journal.writer import JournalWriter
from cactusledge.programs.logs.owned import OwnedLog
from cactusledge.protocol.errors import FencedError
from cactusledge.protocol.records import ProgramRecord
from cactusledge.settings.configuration import Configuration
from cactusledge.settings.sections import JournalSection
from cactusledge.telemetry.logs import get_logger
from cactusledge.telemetry.metrics import Metrics

log = get_logger('logs')

CLOSE_TIMEOUT_S = 10.0
# Share of `max_waiting_bytes` up to which programs and calls are accepted; the
# rest is reserved for the outcomes of running calls.
ADMISSION_SHARE = 0.75


class HeldRecords(Protocol):
    """Copies of not yet durable records in other instances' memory."""

    def fetch(self, log: str) -> Sequence[ProgramRecord]:
        """Returns the records of a log held here and by the live peers."""

    def hold(
        self,
        log: str,
        records: Sequence[ProgramRecord],
        number: int,
    ) -> bool:
        """Copies records to a peer; returns whether a peer accepted them."""

    def is_holding(self, log: str) -> bool:
        """Returns whether a peer may hold records of a log."""

    def drop(self, log: str, up_to: int) -> None:
        """Drops copies of durable records in batches up to `up_to`."""


class WriterSink:
    """Adapts a journal writer to the record sink of its log's driver."""

    def __init__(
        self,
        writer: JournalWriter,
        max_waiting_bytes: int,
        on_lost: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        """Wraps the writer.

        Args:
            writer: The log's writer.
            max_waiting_bytes: Limit of bytes that are not yet durable.
            on_lost: Called once if the writer is fenced.
            metrics: Where appends and fencing are counted.
        """
        self._metrics = metrics
        self._writer = writer
        self._admission_limit_bytes = max_waiting_bytes * ADMISSION_SHARE
        self._on_lost = on_lost
        self._lost = threading.Event()

    def append(self, records: Sequence[ProgramRecord]) -> Any:
        """Returns a future that resolves once the records are durable."""
        started_s = time.monotonic()
        try:
            return self._writer.append(records, partial(self._done, started_s))
        except FencedError as exc:
            self._done(started_s, exc)
            raise

    def is_up(self) -> bool:
        """Returns whether the platform answered the latest request."""
        return self._writer.platform_up()

    def has_room(self) -> bool:
        """Returns whether further programs and calls may be recorded."""
        return self._writer.waiting_bytes() < self._admission_limit_bytes

    def _done(self, started_s: float, exc: BaseException | None) -> None:
        elapsed_s = time.monotonic() - started_s
        result = 'failed' if exc else 'durable'
        self._metrics.add('journal_appends_total', result=result)
        self._metrics.observe('journal_append_seconds', elapsed_s)
        if isinstance(exc, FencedError) and not self._lost.is_set():
            self._lost.set()
            self._metrics.add('journal_fenced_total')
            threading.Thread(target=self._on_lost, daemon=True).start()


class OpenerDependencies(NamedTuple):
    """Dependencies of `StoreLogOpener`."""

    store: ObjectStore
    instance: str
    journal: JournalSection
    workers: Executor
    config: Callable[[], Configuration]
    held: HeldRecords
    metrics: Metrics
    now_s: Callable[[], float]


class StoreLogOpener:
    """Opens logs stored on the platform and tracks their writers."""

    def __init__(self, deps: OpenerDependencies) -> None:
        """Keeps the dependencies; set `work` before opening a log."""
        self._deps = deps
        self._writers: dict[str, JournalWriter] = {}
        self.work: DriverWork | None = None
        self._number = 0  # number of the latest held batch
        self._number_lock = threading.RLock()

    def __call__(self, name: str, on_lost: Callable[[], None]) -> OwnedLog:
        """Seals the log and starts its writer and driver."""
        deps = self._deps
        if self.work is None:
            raise RuntimeError(
                '`StoreLogOpener.work` must be set before opening a log.'
            )
        number = self._next_number()
        taken = take_over(
            deps.store,
            name,
            deps.instance,
            deps.held.fetch(name),
            TakeoverOptions(
                ring_size=deps.journal.ring_slots,
                now_s=deps.now_s,
            ),
        )
        for record in taken.rejected:
            log.error(
                'Held record rejected: it does not fit the log.',
                log=name,
                program_id=record.program_id,
                seq=record.seq,
            )
        deps.held.drop(name, number)
        writer = JournalWriter(
            deps.store,
            taken,
            deps.workers,
            WriterOptions(
                commit_interval_s=deps.journal.commit_interval_s,
                max_waiting_bytes=deps.journal.max_waiting_bytes,
            ),
        )
        max_waiting_bytes = deps.journal.max_waiting_bytes
        ctx = DriverContext(
            log=name,
            sink=WriterSink(
                writer,
                max_waiting_bytes,
                partial(self._lost, name, on_lost),
                deps.metrics,
            ),
            work=self.work,
            config=deps.config,
            now_s=deps.now_s,
        )
        driver = LogDriver.start(ctx, taken.programs)
        self._writers[name] = writer
        deps.metrics.add('journal_takeovers_total')
        return OwnedLog(
            name,
            driver,
            partial(self._close, name),
            writer.has_failed,
            writer.probe,
            partial(writer.append, ()),
        )

    def is_up(self) -> bool:
        """Returns whether the platform answers this instance's writers."""
        return all(one.platform_up() for one in self._writers.values())

    def waiting_bytes(self) -> int:
        """Returns the size of the records that are not yet durable."""
        return sum(one.waiting_bytes() for one in self._writers.values())

    def hold_waiting(self) -> bool:
        """Copies all pending records to a peer; returns whether it accepted."""
        writers = tuple(self._writers.items())
        return all(itertools.starmap(self._hold, writers))

    def drop_held(self) -> None:
        """Drops the peers' copies of records that have become durable."""
        for name, writer in tuple(self._writers.items()):
            if self._deps.held.is_holding(name) and not writer.waiting_bytes():
                self._hold(name, writer)

    def _lost(self, name: str, on_lost: Callable[[], None]) -> None:
        """Removes a writer that was fenced by another instance."""
        self._writers.pop(name, None)
        on_lost()

    def _hold(self, name: str, writer: JournalWriter) -> bool:
        held = self._deps.held
        with self._number_lock:  # so that a higher number has the later records
            number = self._next_number()
            waiting = writer.waiting_records()
        if waiting:
            return held.hold(name, waiting, number)
        if held.is_holding(name):
            held.drop(name, number)
        return True

    def _next_number(self) -> int:
        with self._number_lock:
            self._number = max(self._number + 1, time.time_ns())
            return self._number

    def _close(self, name: str) -> None:
        """Stops the writer; copies records that stay pending to a peer."""
        writer = self._writers.pop(name, None)
        if writer is None:
            return
        not_durable = writer.stop(CLOSE_TIMEOUT_S)
        if not_durable:
            self._deps.held.hold(name, not_durable, self._next_number())

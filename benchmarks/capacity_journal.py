"""Cost of the journal: commits by interval and by logs."""

import json
import statistics
import time
import uuid
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

from benchmarks.capacity_feeder import Feeder
from benchmarks.capacity_series import Series
from cactusledge.models import Address
from cactusledge.objects.client import HttpObjectStore
from cactusledge.objects.store import StoredObject
from cactusledge.programs.journal.options import WriterOptions
from cactusledge.programs.journal.takeover import take_over
from cactusledge.programs.journal.writer import JournalWriter
from standins.deployment import Deployment
from standins.ports import LOOPBACK

INTERVALS_MS = (20, 100, 250, 500)
LOGS = (1, 2, 4)
SHARED_INTERVAL_MS = 100
APPENDS_PER_S = 100  # of each log
APPENDS = 5 * APPENDS_PER_S
PROGRAMS = 50
APPEND_BYTES = 2000
MS_PER_S = 1000
KB = 1000


class CountingStore(HttpObjectStore):
    """Counts the updates and their bytes."""

    def __init__(self, address: Address) -> None:
        """Starts at zero."""
        super().__init__([address])
        self.updates = 0
        self.update_bytes = 0

    def update(
        self,
        kind: str,
        name: str,
        body: Mapping[str, Any],
        version: str,
    ) -> StoredObject:
        """Passes an update on."""
        self.updates += 1
        self.update_bytes += len(json.dumps(body))
        return super().update(kind, name, body, version)


class Run(NamedTuple):
    """What a run of writers used."""

    commits_per_s: float
    bytes_per_s: float
    wait_p50_ms: float
    cpu_ms: float  # of this process for each append


def _run(address: Address, logs: int, interval_ms: int) -> Run:
    """Appends at a constant rate to each of the logs."""
    store = CountingStore(address)
    options = WriterOptions(commit_interval_s=interval_ms / MS_PER_S)
    with ThreadPoolExecutor(logs * 2) as pool:
        names = [f'log-{uuid.uuid4().hex}' for _ in range(logs)]
        feeds = [
            Feed(
                JournalWriter(
                    store, take_over(store, name, 'me'), pool, options
                )
            )
            for name in names
        ]
        found = _measure(store, feeds)
        for feed in feeds:
            feed.writer.stop(1)
    return found


class Feed:
    """Appends the turns of programs to one log, and times them."""

    def __init__(self, writer: JournalWriter) -> None:
        """Opens the programs."""
        self.writer = writer
        self.waits_s: list[float] = []
        self._feeder = Feeder(APPEND_BYTES)
        self.writer.append(
            record
            for number in range(PROGRAMS)
            for record in self._feeder.open(f'p{number}')
        ).get()

    def append(self, number: int) -> None:
        """Appends a turn of the program whose turn it is."""
        records = self._feeder.turn(f'p{number % PROGRAMS}')
        self.writer.append(records, partial(self._done, time.monotonic()))

    def _done(self, sent_s: float, _error: object) -> None:
        self.waits_s.append(time.monotonic() - sent_s)


def _measure(store: CountingStore, feeds: list[Feed]) -> Run:
    updates, size = store.updates, store.update_bytes
    cpu_s = time.process_time()
    began_s = time.monotonic()
    for number in range(APPENDS):
        due_s = began_s + number / APPENDS_PER_S
        time.sleep(max(0, due_s - time.monotonic()))
        for due in feeds:
            due.append(number)
    spent_s = time.monotonic() - began_s
    waits_s = [wait_s for feed in feeds for wait_s in feed.waits_s]
    cpu_ms = (time.process_time() - cpu_s) * MS_PER_S
    return Run(
        (store.updates - updates) / spent_s,
        (store.update_bytes - size) / spent_s,
        statistics.median(waits_s) * MS_PER_S,
        cpu_ms / APPENDS / len(feeds),
    )


def series() -> Iterator[Series]:
    """Measures commits at the platform stand-in."""
    header = ('writes/s', 'KB/s', 'wait p50 ms', 'CPU ms an append')
    with TemporaryDirectory() as folder, Deployment(Path(folder)) as deployed:
        address = Address(LOOPBACK, deployed.start_platform().port)
        yield Series(
            'Commits by commit interval',
            ('commit intervals a second', *header),
            tuple(
                _row(address, 1, every, MS_PER_S / every)
                for every in INTERVALS_MS
            ),
            f'One log, {APPENDS_PER_S} calls a second (intent and outcome'
            f' together, {APPEND_BYTES} bytes), platform stand-in by HTTP.',
        )
        yield Series(
            'Commits by logs',
            ('logs', *header),
            tuple(
                _row(address, logs, SHARED_INTERVAL_MS, logs) for logs in LOGS
            ),
            f'Commit interval {SHARED_INTERVAL_MS} ms,'
            f' {APPENDS_PER_S} calls a second to each log.',
        )


def _row(
    address: Address, logs: int, interval_ms: int, cause: float
) -> tuple[float, ...]:
    run = _run(address, logs, interval_ms)
    return (
        cause,
        run.commits_per_s,
        run.bytes_per_s / KB,
        run.wait_p50_ms,
        run.cpu_ms,
    )

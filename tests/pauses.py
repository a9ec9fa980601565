"""Tells with a failed test what held its process up, as a pytest plugin.

A step that misses its time limit looks the same whether the code is slow, no
processor was free or the disk was busy. Sources: `/proc/self/schedstat`,
`/proc/self/stat` and `/proc/pressure` of Linux; what is missing counts as 0.
"""

import threading
import time
from collections.abc import Generator
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

import pytest

TICK_S = 0.05
NS = 1e9
US = 1e6
PROC = Path('/proc')
SECTION = 'pauses'


class Counters(NamedTuple):
    """Totals in seconds, all but the clock since some start."""

    clock_s: float
    used_s: float  # processor time of this process
    queued_s: float  # the main thread waited for a processor
    cpu_pressure_s: float  # some process of the machine waited for one
    disk_pressure_s: float  # some process of the machine waited for a disk

    def since(self, earlier: 'Counters') -> 'Counters':
        """Returns the differences to earlier counters."""
        return Counters(*map(float.__sub__, self, earlier))


def read_counters() -> Counters:
    """Returns the present totals."""
    return Counters(
        time.monotonic(),
        time.process_time(),
        _read_number(PROC / 'self/schedstat', 1) / NS,
        _read_pressure_us('cpu') / US,
        _read_pressure_us('io') / US,
    )


class PauseWatch:
    """A thread that notes when it was not run, and waits for a disk."""

    def __init__(self) -> None:
        """Starts without a thread."""
        self.disk_wait_s: float = 0  # of the main thread
        self._started = read_counters()
        self._stepped = self._started
        self._longest = self._started.since(self._started)
        self._is_closed = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def close(self) -> None:
        """Ends the thread at its next tick."""
        self._is_closed.set()

    def report(self) -> str:
        """Returns what was seen since the start, a line each."""
        self._note_step()
        passed = self._stepped.since(self._started)
        return '\n'.join((
            f'since the start of the test: {_told(passed)}',
            f'longest without a step: {_told(self._longest)}',
            f'main thread seen waiting for a disk: {self.disk_wait_s:.2f} s',
        ))

    def _run(self) -> None:
        while not self._is_closed.wait(TICK_S):
            self._note_step()
            self.disk_wait_s += TICK_S * _is_waiting_for_disk()

    def _note_step(self) -> None:
        now = read_counters()
        self._longest = max(self._longest, now.since(self._stepped))
        self._stepped = now


WATCH = pytest.StashKey[PauseWatch]()


def _told(spent: Counters) -> str:
    return ', '.join(
        f'{field} {total:.2f}' for field, total in spent._asdict().items()
    )


def _read_number(path: Path, index: int) -> int:
    with suppress(OSError, IndexError, ValueError):
        return int(path.read_text().split()[index])
    return 0


def _read_pressure_us(resource: str) -> int:
    """Returns the total of the first line, `some ... total=N`."""
    with suppress(OSError, IndexError, ValueError):
        line = (PROC / 'pressure' / resource).read_text().splitlines()[0]
        return int(line.rpartition('=')[2])
    return 0


def _is_waiting_for_disk() -> bool:
    """Returns whether the main thread is in an uninterruptible wait."""
    with suppress(OSError, IndexError):
        stat = (PROC / 'self/stat').read_text()
        return stat.rpartition(')')[2].split()[0] == 'D'
    return False


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item: pytest.Item) -> Generator[None, Any, Any]:
    """Watches each test."""
    watch = PauseWatch()
    item.stash[WATCH] = watch
    watch.start()
    try:
        return (yield)
    finally:
        watch.close()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Generator[None, Any, Any]:
    """Adds what was seen to the report of a failure."""
    report = yield
    if report.failed:
        report.sections.append((SECTION, item.stash[WATCH].report()))
    return report

"""Processor time and resident memory of other processes."""

import time
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import psutil

MS_PER_S = 1000
MIB = 1024 * 1024


class Spent(NamedTuple):
    """What processes used between two samples."""

    wall_s: float
    cpu_s: float
    rss_bytes: int  # at the end, of all processes together
    rss_grown_bytes: int

    @property
    def cpu_ms(self) -> float:
        """Processor time in milliseconds."""
        return self.cpu_s * MS_PER_S


class ProcessMeter:
    """Measures processes from its creation to `spent`."""

    def __init__(self, pids: Iterable[int]) -> None:
        """Takes the first sample."""
        self._processes = [psutil.Process(pid) for pid in pids]
        self._began_s = time.monotonic()
        self._cpu_s = self._cpu()
        self._rss_bytes = self._rss()

    def spent(self) -> Spent:
        """Returns what was used since the first sample."""
        rss_bytes = self._rss()
        return Spent(
            time.monotonic() - self._began_s,
            self._cpu() - self._cpu_s,
            rss_bytes,
            rss_bytes - self._rss_bytes,
        )

    def _cpu(self) -> float:
        times = [process.cpu_times() for process in self._processes]
        return sum(used.user + used.system for used in times)

    def _rss(self) -> int:
        return sum(process.memory_info().rss for process in self._processes)


def resident_mib(pids: Mapping[str, int]) -> dict[str, float]:
    """Returns each process's resident memory in MiB."""
    return {
        name: psutil.Process(pid).memory_info().rss / MIB
        for name, pid in pids.items()
    }


def thread_count(pid: int) -> int:
    """Returns how many threads a process has."""
    return psutil.Process(pid).num_threads()

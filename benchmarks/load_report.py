"""Histograms of the load and the table of what the instances used."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from benchmarks.load_client import Timing
from benchmarks.load_page import table
from benchmarks.load_process import MS_PER_S

US_PER_S = 1_000_000
LONGEST_US = 120 * US_PER_S
DIGITS = 3
PERCENTILES = (50, 90, 95, 99, 100)
HEADER = ('Call', 'Count', 'p50 ms', 'p90 ms', 'p95 ms', 'p99 ms', 'max ms')
FIRST_TOKEN = 'model, first token'


class Use(NamedTuple):
    """What one instance used, a second or at the end."""

    instance: str
    cores: float
    resident_mib: float
    threads: int


def latency_table(timings: Iterable[Timing]) -> str:
    """Returns the percentiles of every kind of call that ran."""
    found: dict[str, HdrHistogram] = defaultdict(_histogram)
    for timing in timings:
        if timing.ran:
            _record(found[timing.kind], timing.latency_s)
        if timing.ran and timing.first_token_s is not None:
            _record(found[FIRST_TOKEN], timing.first_token_s)
    rows = [
        (kind, histogram.get_total_count(), *_percentiles(histogram))
        for kind, histogram in sorted(found.items())
    ]
    return table(HEADER, rows)


def outcome_table(timings: Iterable[Timing]) -> str:
    """Returns how many calls ended in which way."""
    counted = Counter((timing.kind, timing.outcome) for timing in timings)
    rows = [(*key, count) for key, count in sorted(counted.items())]
    return table(('Call', 'Outcome or error code', 'Count'), rows)


def use_table(uses: Sequence[Use]) -> str:
    """Returns what the instances used."""
    return table(('Instance', 'Cores', 'Resident MiB', 'Threads'), uses)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_US, DIGITS)


def _record(histogram: HdrHistogram, latency_s: float) -> None:
    histogram.record_value(max(1, round(latency_s * US_PER_S)))


def _percentiles(histogram: HdrHistogram) -> list[float]:
    return [
        histogram.get_value_at_percentile(share) * MS_PER_S / US_PER_S
        for share in PERCENTILES
    ]

"""Metrics of an instance, declared in one table and counted in memory.

The Prometheus library is loaded when the metrics are first read: it takes a
large part of a start, and an instance may never be asked for its metrics.
"""

import threading
from bisect import bisect_left
from collections.abc import Mapping
from importlib import import_module
from itertools import repeat
from types import MappingProxyType
from typing import NamedTuple

from cactusledge.telemetry.metric_table import METRICS, MetricKind, MetricSpec

NAMESPACE = 'cactusledge'
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
EXPORT_MODULE = 'cactusledge.telemetry.metric_export'

_SPECS: Mapping[str, MetricSpec] = MappingProxyType({
    spec.name: spec for spec in METRICS
})

Labels = tuple[str, ...]  # in the order in which the metric declares them


class Histogram:
    """The measurements of one histogram with the same labels."""

    def __init__(self, bounds: tuple[float, ...]) -> None:
        """Starts empty; `bounds` are the upper ends of the buckets."""
        self._bounds = bounds
        self.counts = list(
            repeat(0, len(bounds) + 1)
        )  # the last one is unbounded
        self.total = float(0)

    def observe(self, measured: float) -> None:
        """Adds one measurement."""
        self.counts[bisect_left(self._bounds, measured)] += 1
        self.total += measured

    def copy(self) -> 'Histogram':
        """Returns a copy that later measurements don't change."""
        copied = Histogram(self._bounds)
        copied.counts = list(self.counts)
        copied.total = self.total
        return copied


class MetricState(NamedTuple):
    """One metric and what has been counted or measured by labels."""

    spec: MetricSpec
    levels: Mapping[Labels, float]
    histograms: Mapping[Labels, Histogram]


class Metrics:
    """The metrics of one instance; thread-safe."""

    def __init__(self) -> None:
        """Starts each metric without labels at 0."""
        self._lock = threading.Lock()
        self._levels: dict[str, dict[Labels, float]] = {}
        self._histograms: dict[str, dict[Labels, Histogram]] = {}
        for spec in METRICS:
            is_histogram = spec.kind is MetricKind.HISTOGRAM
            self._levels[spec.name] = {}
            self._histograms[spec.name] = {}
            if is_histogram and not spec.labels:
                self._histograms[spec.name][()] = Histogram(spec.buckets)
            elif not spec.labels:
                self._levels[spec.name][()] = 0

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""
        key = label_key(name, labels)
        with self._lock:
            levels = self._levels[name]
            levels[key] = levels.get(key, 0) + amount

    def put(self, name: str, level: float, **labels: str) -> None:
        """Sets a gauge."""
        key = label_key(name, labels)
        with self._lock:
            self._levels[name][key] = float(level)

    def observe(self, name: str, measured: float, **labels: str) -> None:
        """Records one measurement in a histogram."""
        key = label_key(name, labels)
        with self._lock:
            histograms = self._histograms[name]
            if key not in histograms:
                histograms[key] = Histogram(_SPECS[name].buckets)
            histograms[key].observe(measured)

    def sample(self, name: str, **labels: str) -> float:
        """Returns the value of a sample, 0 before its first use."""
        found: float = import_module(EXPORT_MODULE).sample(
            self.states(), f'{NAMESPACE}_{name}', labels
        )
        return found

    def render(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        rendered: bytes = import_module(EXPORT_MODULE).render(self.states())
        return rendered

    def states(self) -> list[MetricState]:
        """Returns all metrics as they are now."""
        with self._lock:
            return [
                MetricState(
                    spec,
                    dict(self._levels[spec.name]),
                    {
                        labels: histogram.copy()
                        for labels, histogram in self._histograms[
                            spec.name
                        ].items()
                    },
                )
                for spec in METRICS
            ]


def label_key(name: str, labels: Mapping[str, str]) -> Labels:
    """Returns the values of a metric's labels.

    Raises:
        ValueError: The labels are not those that the metric declares.
    """
    declared = _SPECS[name].labels
    if len(declared) != len(labels) or not labels.keys() >= set(declared):
        raise ValueError(f'{name} has the labels {declared}')
    return tuple([str(labels[label]) for label in declared])


def load_export() -> None:
    """Imports what reads metrics; takes long, may run in any thread."""
    import_module(EXPORT_MODULE)

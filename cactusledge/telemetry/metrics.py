"""Metrics of an instance, declared in one table.

The Prometheus library takes a large part of a start. So it is loaded later;
what is measured before is kept, and noted then.
"""

import threading
from collections.abc import Mapping
from importlib import import_module
from types import MappingProxyType
from typing import NamedTuple, Protocol

from cactusledge.telemetry.metric_table import METRICS

NAMESPACE = 'cactusledge'
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
LIBRARY_MODULE = 'cactusledge.telemetry.registered_metrics'
MAX_EARLY = 20000  # measurements that are kept; more load the library


_LABELS: Mapping[str, frozenset[str]] = MappingProxyType({
    spec.name: frozenset(spec.labels) for spec in METRICS
})


class Measurement(NamedTuple):
    """One change of a metric."""

    method: str  # of the library's metric
    name: str
    amount: float
    labels: Mapping[str, str]


class MetricLibrary(Protocol):
    """Keeps the metrics; implemented with the Prometheus library."""

    def note(self, measurement: Measurement) -> None:
        """Changes a metric."""

    def sample(self, name: str, labels: Mapping[str, str]) -> float:
        """Returns the value of a sample, 0 before its first use."""

    def render(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""


class Metrics:
    """The metrics of one instance; thread-safe."""

    def __init__(self) -> None:
        """Starts without the library."""
        self._lock = threading.Lock()
        self._early: list[Measurement] = []
        self._library: MetricLibrary | None = None

    def load(self) -> MetricLibrary:
        """Loads the library, which takes long; may run in any thread."""
        module = import_module(LIBRARY_MODULE)
        with self._lock:
            library: MetricLibrary = self._library or module.RegisteredMetrics()
            for measurement in self._early:
                library.note(measurement)
            self._early.clear()
            self._library = library
        return library

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""
        self._note(Measurement('inc', name, amount, labels))

    def put(self, name: str, level: float, **labels: str) -> None:
        """Sets a gauge."""
        self._note(Measurement('set', name, level, labels))

    def observe(self, name: str, measured: float, **labels: str) -> None:
        """Records one measurement in a histogram."""
        self._note(Measurement('observe', name, measured, labels))

    def sample(self, name: str, **labels: str) -> float:
        """Returns the value of a sample, 0 before its first use."""
        return self.load().sample(name, labels)

    def render(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return self.load().render()

    def _note(self, measurement: Measurement) -> None:
        if not self._keep(measurement):
            library = self._library or self.load()
            library.note(measurement)

    def _keep(self, measurement: Measurement) -> bool:
        """Keeps a measurement, unless the library can note it.

        Raises:
            ValueError: Its labels are not those that the metric declares.
        """
        if self._library is not None:
            return False
        declared = _LABELS[measurement.name]
        if measurement.labels.keys() != declared:
            raise ValueError(f'{measurement.name} has the labels {declared}')
        with self._lock:
            is_kept = self._library is None and len(self._early) < MAX_EARLY
            if is_kept:
                self._early.append(measurement)
            return is_kept

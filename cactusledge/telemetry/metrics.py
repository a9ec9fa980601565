"""Prometheus metrics of an instance, declared in one table."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from cactusledge.telemetry.metric_table import METRICS, MetricKind, MetricSpec

NAMESPACE = 'cactusledge'
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

_TYPES: Mapping[MetricKind, Any] = MappingProxyType({
    MetricKind.COUNTER: Counter,
    MetricKind.GAUGE: Gauge,
    MetricKind.HISTOGRAM: Histogram,
})


class Metrics:
    """The metrics of one instance, in a separate registry."""

    def __init__(self) -> None:
        """Registers every metric of the table."""
        self.registry = CollectorRegistry()
        self._metrics: Mapping[str, Any] = {
            spec.name: _register(spec, self.registry) for spec in METRICS
        }

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""
        self._labelled(name, labels).inc(amount)

    def put(self, name: str, level: float, **labels: str) -> None:
        """Sets a gauge."""
        self._labelled(name, labels).set(level)

    def observe(self, name: str, measured: float, **labels: str) -> None:
        """Records one measurement in a histogram."""
        self._labelled(name, labels).observe(measured)

    def sample(self, name: str, **labels: str) -> float:
        """Returns the value of a sample, 0 before its first use."""
        found = self.registry.get_sample_value(f'{NAMESPACE}_{name}', labels)
        return found or 0

    def render(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _labelled(self, name: str, labels: Mapping[str, str]) -> Any:
        metric = self._metrics[name]
        return metric.labels(**labels) if labels else metric


def _register(spec: MetricSpec, registry: CollectorRegistry) -> Any:
    options = {'buckets': spec.buckets} if spec.buckets else {}
    return _TYPES[spec.kind](
        spec.name,
        spec.description,
        spec.labels,
        namespace=NAMESPACE,
        registry=registry,
        **options,
    )

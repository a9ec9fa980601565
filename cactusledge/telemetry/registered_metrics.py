"""The metrics of the table, registered with the Prometheus library."""

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
from cactusledge.telemetry.metrics import NAMESPACE, Measurement

_TYPES: Mapping[MetricKind, Any] = MappingProxyType({
    MetricKind.COUNTER: Counter,
    MetricKind.GAUGE: Gauge,
    MetricKind.HISTOGRAM: Histogram,
})


class RegisteredMetrics:
    """The metrics of one instance, in a registry of their own."""

    def __init__(self) -> None:
        """Registers every metric of the table."""
        self._registry = CollectorRegistry()
        self._metrics: Mapping[str, Any] = {
            spec.name: _register(spec, self._registry) for spec in METRICS
        }

    def note(self, measurement: Measurement) -> None:
        """Adds to a counter, sets a gauge or observes a histogram."""
        metric = self._metrics[measurement.name]
        if measurement.labels:
            metric = metric.labels(**measurement.labels)
        getattr(metric, measurement.method)(measurement.amount)

    def sample(self, name: str, labels: Mapping[str, str]) -> float:
        """Returns the value of a sample, 0 before its first use."""
        found = self._registry.get_sample_value(
            f'{NAMESPACE}_{name}', dict(labels)
        )
        return found or 0

    def render(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return generate_latest(self._registry)


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

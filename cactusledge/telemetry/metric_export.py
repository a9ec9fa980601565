"""Renders metrics with the Prometheus library."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from itertools import accumulate
from types import MappingProxyType

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.metrics_core import Metric

from cactusledge.telemetry.metric_table import MetricKind
from cactusledge.telemetry.metrics import NAMESPACE, MetricState


class StateCollector:
    """Converts the metrics for a Prometheus registry."""

    def __init__(self, states: Sequence[MetricState]) -> None:
        """Stores the metrics to convert."""
        self._states = states

    def collect(self) -> Iterable[Metric]:
        """Yields each metric as a family of the library."""
        for state in self._states:
            yield _FAMILIES[state.spec.kind](state)


def render(states: Sequence[MetricState]) -> bytes:
    """Returns the metrics in the Prometheus text format."""
    return generate_latest(_registry(states))


def sample(
    states: Sequence[MetricState], name: str, labels: Mapping[str, str]
) -> float:
    """Returns the value of a sample, 0 if there is none."""
    return _registry(states).get_sample_value(name, dict(labels)) or 0


def _registry(states: Sequence[MetricState]) -> CollectorRegistry:
    registry = CollectorRegistry()
    registry.register(StateCollector(states))
    return registry


def _counter(state: MetricState) -> Metric:
    family = CounterMetricFamily(
        _full_name(state), state.spec.description, labels=state.spec.labels
    )
    for labels, level in state.levels.items():
        family.add_metric(labels, level)
    return family


def _gauge(state: MetricState) -> Metric:
    family = GaugeMetricFamily(
        _full_name(state), state.spec.description, labels=state.spec.labels
    )
    for labels, level in state.levels.items():
        family.add_metric(labels, level)
    return family


def _histogram(state: MetricState) -> Metric:
    family = HistogramMetricFamily(
        _full_name(state), state.spec.description, labels=state.spec.labels
    )
    bounds = [*(str(float(bound)) for bound in state.spec.buckets), '+Inf']
    for labels, histogram in state.histograms.items():
        counts = accumulate(histogram.counts)
        family.add_metric(
            labels, list(zip(bounds, counts, strict=True)), histogram.total
        )
    return family


def _full_name(state: MetricState) -> str:
    return f'{NAMESPACE}_{state.spec.name}'


_FAMILIES: Mapping[MetricKind, Callable[[MetricState], Metric]] = (
    MappingProxyType({
        MetricKind.COUNTER: _counter,
        MetricKind.GAUGE: _gauge,
        MetricKind.HISTOGRAM: _histogram,
    })
)

"""Tests the metrics of requests to the platform."""

import pytest

from cactusledge.errors import StoreConflictError
from cactusledge.objects.instrumented_store import InstrumentedStore
from cactusledge.telemetry.metrics import Metrics
from standins.platform import PlatformStandin


@pytest.fixture
def metrics():
    return Metrics()


@pytest.fixture
def store(metrics):
    with PlatformStandin() as platform:
        yield InstrumentedStore(platform.store(), metrics)


@pytest.mark.parametrize(
    ('operation', 'result'),
    [('create', 'ok'), ('read', 'ok'), ('list', 'ok'), ('watch', 'ok')],
)
def test_requests_are_counted(store, metrics, operation, result):
    store.create('configheads', 'head', {})
    listed = store.list('configheads')
    store.read('configheads', 'head')
    list(store.watch('configheads', listed.version, 0.01))
    count = metrics.sample(
        'platform_requests_total',
        operation=operation,
        result=result,
    )
    assert count == 1


def test_rejected_request_is_counted_by_its_error_code(store, metrics):
    stored = store.create('configheads', 'head', {})
    store.update('configheads', 'head', {'a': 1}, stored.version)
    with pytest.raises(StoreConflictError):
        store.update('configheads', 'head', {'a': 2}, stored.version)
    for result in ('ok', 'store_conflict'):
        labels = {'operation': 'update', 'result': result}
        assert metrics.sample('platform_requests_total', **labels) == 1

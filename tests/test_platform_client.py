"""Tests the object API client against the stand-in platform over HTTP."""

import threading
from concurrent.futures import ThreadPoolExecutor
from types import MappingProxyType

import pytest
from msgspec import ValidationError

from cactusledge.errors import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreNotFoundError,
    StoreUnavailableError,
    StoreVersionGoneError,
)
from cactusledge.models import Address, Outcome
from cactusledge.objects.client import HttpObjectStore
from cactusledge.objects.errors import (
    StoreRefusedError,
    StoreSilentError,
    StoreTooLargeError,
)
from standins.platform import PlatformStandin
from standins.platform_limits import Limits
from standins.ports import free_port

TIMEOUT_S = 0.5  # for requests that are expected to time out
SILENCE_S = 1
WAIT_S = 20  # for all others
KIND = 'configheads'


@pytest.fixture
def standin():
    limits = Limits(history_events=8, bookmark_s=0.05)
    with PlatformStandin(limits=limits) as platform:
        yield platform


@pytest.fixture
def store(standin):
    return standin.store(timeout_s=WAIT_S, silence_s=SILENCE_S)


def store_for(standin, faults):
    """Returns a store with a short time-out if the fault delays responses."""
    delays = faults.keys() & {'hang', 'slow_ms'}
    return standin.store(timeout_s=TIMEOUT_S if delays else WAIT_S)


def test_writes_are_conditional(store):
    first = store.create(KIND, 'head', {'n': 1})
    second = store.update(KIND, 'head', {'n': 2}, first.version)
    assert store.read(KIND, 'head') == second
    assert second.body == {'n': 2}
    with pytest.raises(StoreConflictError):
        store.create(KIND, 'head', {})
    with pytest.raises(StoreConflictError):
        store.update(KIND, 'head', {}, first.version)
    assert store.read(KIND, 'head') == second


def test_exactly_one_concurrent_update_succeeds(store):
    version = store.create(KIND, 'head', {}).version
    barrier = threading.Barrier(8)
    with ThreadPoolExecutor(8) as pool:
        writes = [
            pool.submit(write_at, barrier, store, number, version)
            for number in range(8)
        ]
    succeeded = [fut.result() for fut in writes if not fut.exception()]
    assert succeeded == [store.read(KIND, 'head')]
    failures = [fut.exception() for fut in writes if fut.exception()]
    assert len(failures) == 7
    assert all(isinstance(exc, StoreConflictError) for exc in failures)


def write_at(barrier, store, number, version):
    barrier.wait()
    return store.update(KIND, 'head', {'n': number}, version)


def test_list_filters_by_kind_and_prefix(store):
    store.create(KIND, 'a/1', {})
    store.create(KIND, 'b/1', {})
    store.create('instances', 'a/1', {})
    assert [found.name for found in store.list(KIND, 'a/').items] == ['a/1']
    assert len(store.list(KIND).items) == 2


@pytest.mark.parametrize(
    ('method', 'args', 'error'),
    [
        ('read', (KIND, 'none'), StoreNotFoundError),
        ('update', (KIND, 'none', {}, '1'), StoreNotFoundError),
        ('update', (KIND, 'head', {}, ''), StoreRefusedError),
        ('create', (KIND, 'big', {'x': 'x' * 2**20}), StoreTooLargeError),
    ],
)
def test_rejected_requests_change_nothing(store, method, args, error):
    before = store.create(KIND, 'head', {})
    with pytest.raises(error) as caught:
        getattr(store, method)(*args)
    assert caught.value.outcome is Outcome.NOT_RUN
    assert caught.value.remedy
    assert store.list(KIND).items == (before,)


FAULTS = (
    ({'down': 'answer'}, StoreUnavailableError, False),
    ({'down': 'refuse'}, StoreUnavailableError, False),
    ({'hang': True}, StoreAnswerLostError, False),
    ({'slow_ms': 60_000}, StoreAnswerLostError, False),
    ({'lose_before_effect': 1}, StoreAnswerLostError, False),
    ({'lose_answers_after_effect': 1}, StoreAnswerLostError, True),
    ({'lose_answers_after_effect': -1}, StoreAnswerLostError, True),
    ({'cut_answers_after_effect': 1}, StoreAnswerLostError, True),
    ({'late_landing_ms': 60_000}, StoreAnswerLostError, False),
)
OUTCOMES = MappingProxyType({
    StoreAnswerLostError: Outcome.UNKNOWN,
    StoreUnavailableError: Outcome.NOT_RUN,
})


@pytest.mark.parametrize(('faults', 'error', 'effect'), FAULTS)
@pytest.mark.parametrize('method', ['create', 'update'])
def test_write_during_a_fault(standin, store, method, faults, error, effect):
    version = store.create(KIND, 'update', {'n': 0}).version
    args = (version,) * (method == 'update')
    before = standin.records()['writes']
    standin.set_faults(**faults)
    faulted = store_for(standin, faults)
    with pytest.raises(error) as caught:
        getattr(faulted, method)(KIND, method, {'n': 1}, *args)
    assert caught.value.outcome is OUTCOMES[error]
    landed = [
        found.name
        for found in standin.app.table.list(KIND, '').items
        if found.body == {'n': 1}
    ]
    assert landed.count(method) == len(landed) == int(effect)
    assert standin.records()['writes'] <= before + 1


@pytest.mark.parametrize('method', ['read', 'list'])
@pytest.mark.parametrize(
    ('faults', 'attempts'),
    [
        ({'down': 'answer'}, 1),
        ({'down': 'refuse'}, 0),
        ({'hang': True}, 2),
        ({'slow_ms': 60_000}, 2),
    ],
)
def test_read_during_a_fault(standin, store, method, faults, attempts):
    store.create(KIND, 'head', {})
    args = (KIND, 'head') if method == 'read' else (KIND,)
    standin.set_faults(**faults)
    with pytest.raises(StoreUnavailableError):
        getattr(store_for(standin, faults), method)(*args)
    assert standin.records()['reads'] == attempts
    standin.set_faults()
    assert getattr(store, method)(*args)


def test_delayed_write_takes_effect_after_its_response_was_lost(standin, store):
    created = store.create(KIND, 'head', {'n': 0})
    standin.set_faults(late_landing_ms=50)
    with pytest.raises(StoreAnswerLostError):
        store.update(KIND, 'head', {'n': 1}, created.version)
    standin.set_faults()
    landed = [
        event.object.body
        for event in store.watch(KIND, created.version, 0.5)
        if event.type == 'MODIFIED'
    ]
    assert landed == [{'n': 1}]


def test_delayed_write_is_dropped_after_a_later_update(standin, store):
    created = store.create(KIND, 'head', {'n': 0})
    standin.set_faults(late_landing_ms=50)
    with pytest.raises(StoreAnswerLostError):
        store.update(KIND, 'head', {'n': 1}, created.version)
    standin.set_faults()
    store.update(KIND, 'head', {'n': 2}, created.version)
    events = list(store.watch(KIND, created.version, 0.3))
    landed = [event.object.body for event in events if event.type == 'MODIFIED']
    assert landed == [{'n': 2}]


def test_rate_limit_error_carries_the_retry_time():
    with PlatformStandin(limits=Limits(writes_per_s=1)) as platform:
        store = platform.store(timeout_s=WAIT_S)
        store.create(KIND, 'one', {})
        with pytest.raises(StoreUnavailableError) as caught:
            store.create(KIND, 'two', {})
    assert caught.value.retry_after_s == 1


def test_next_address_is_used_when_one_refuses_connections(standin):
    refusing = Address('127.0.0.1', free_port())
    store = HttpObjectStore([refusing, standin.address], WAIT_S)
    created = store.create(KIND, 'head', {})
    assert store.read(KIND, 'head') == created


def test_watch_yields_the_changes_of_its_kind_and_prefix(store):
    version = store.list(KIND).version
    made = store.create(KIND, 'a/1', {})
    store.create(KIND, 'b/1', {})
    store.create('instances', 'a/1', {})
    events = list(store.watch(KIND, version, 0.2, prefix='a/'))
    changes = [event for event in events if event.type != 'BOOKMARK']
    assert [event.object for event in changes] == [made]
    assert events[-1].type == 'BOOKMARK'
    assert int(events[-1].object.version) > int(made.version)


def test_watch_from_a_version_too_old_is_rejected(store):
    version = store.create(KIND, 'head', {}).version
    for number in range(10):
        store.create(KIND, f'more/{number}', {})
    with pytest.raises(StoreVersionGoneError):
        next(store.watch(KIND, version, 1))


def test_silent_watch_is_detected_while_a_new_one_works(standin, store):
    version = store.list(KIND).version
    watch = store.watch(KIND, version, WAIT_S)
    next(watch)
    standin.set_faults(watch_silent=True)
    with pytest.raises(StoreSilentError):
        list(watch)
    made = store.create(KIND, 'head', {})
    events = store.watch(KIND, version, WAIT_S)
    assert made in (event.object for event in events)


def test_stand_in_can_serve_a_stale_list(standin, store):
    first = store.create(KIND, 'head', {'n': 1})
    standin.set_faults(stale_list=True)
    newest = store.update(KIND, 'head', {'n': 2}, first.version)
    assert store.list(KIND).items == (first,)
    assert store.read(KIND, 'head') == newest


def test_unknown_fault_is_rejected(standin):
    with pytest.raises(ValidationError):
        standin.set_faults(watch_silnt=True)

"""Tests the watcher, the outage state and the request budget."""

import queue

import pytest

from cactusledge.errors import StoreUnavailableError, StoreVersionGoneError
from cactusledge.objects import outage
from cactusledge.objects.budget import Rate, TokenBucket, take_token
from cactusledge.objects.errors import StoreSilentError
from cactusledge.objects.store import (
    ADDED,
    BOOKMARK,
    ObjectList,
    StoredObject,
    WatchEvent,
)
from cactusledge.objects.watch_session import WatchTarget
from cactusledge.objects.watcher import Watcher
from standins.platform import PlatformStandin
from standins.platform_limits import Limits

KIND = 'configheads'
WAIT_S = 20
SILENCE_S = 1
LISTED = ('snapshot', ['a', 'b'])


class Sink:
    """Queues the calls of a watcher."""

    def __init__(self):
        self.items = queue.SimpleQueue()

    def on_snapshot(self, listed):
        """Queues the names of a snapshot."""
        self.items.put(('snapshot', [found.name for found in listed.items]))

    def on_event(self, event):
        """Queues the event's type and name."""
        self.items.put((event.type, event.object.name))

    def on_failure(self, exc):
        """Queues the class of the error."""
        self.items.put(('failure', type(exc)))

    def wait_for(self, *items):
        """Returns the queued items up to the first of the given ones."""
        seen = []
        while not any(item in seen for item in items):
            seen.append(self.items.get(timeout=WAIT_S))
        return seen


class ScriptedStore:
    """Serves scripted watches; reports when none are left, and then fails."""

    def __init__(self, *watches):
        self.watches = list(watches)
        self.versions = []
        self.exhausted = queue.SimpleQueue()

    def list(self, kind, prefix=''):
        """Returns an empty list."""
        return ObjectList((), '1')

    def watch(self, kind, version, timeout_s, prefix=''):
        """Serves the next scripted watch."""
        self.versions.append(version)
        if not self.watches:
            self.exhausted.put(None)
            raise StoreUnavailableError('Over.', remedy='None.')
        for step in self.watches.pop(0):
            if isinstance(step, Exception):
                raise step
            yield step


def event(kind, version):
    return WatchEvent(kind, StoredObject(KIND, 'a', version, {}))


@pytest.fixture
def sink():
    return Sink()


@pytest.fixture
def standin():
    with PlatformStandin(limits=Limits(bookmark_s=0.05)) as platform:
        yield platform


@pytest.fixture
def watcher(standin, sink):
    store = standin.store(timeout_s=WAIT_S, silence_s=SILENCE_S)
    follower = Watcher(store, WatchTarget(KIND, timeout_s=WAIT_S), sink)
    follower.start()
    yield follower
    follower.stop(WAIT_S)


def test_changes_arrive_without_another_list(standin, sink, watcher):
    sink.wait_for(('snapshot', []))
    made = standin.app.table.create(KIND, 'a', {})
    standin.app.table.update(KIND, 'a', {}, made.version)
    standin.app.table.delete(KIND, 'a')
    seen = sink.wait_for(('DELETED', 'a'))
    assert seen == [('ADDED', 'a'), ('MODIFIED', 'a'), ('DELETED', 'a')]


@pytest.mark.parametrize(
    ('faults', 'expected'),
    [
        ({'watch_silent': True}, [LISTED]),
        ({'down': 'refuse'}, [LISTED, ('ADDED', 'b')]),
    ],
    ids=['silent', 'refused'],
)
def test_changes_during_a_fault_arrive(
    standin, sink, watcher, faults, expected
):
    sink.wait_for(('snapshot', []))
    standin.app.table.create(KIND, 'a', {})
    sink.wait_for(('ADDED', 'a'))  # the watch is open
    standin.set_faults(**faults)
    standin.app.table.create(KIND, 'b', {})
    standin.set_faults()
    sink.wait_for(*expected)


def test_watcher_starts_once_the_platform_is_up(standin, sink):
    standin.set_faults(down='answer')
    follower = Watcher(standin.store(), WatchTarget(KIND), sink)
    follower.start()
    sink.wait_for(('failure', StoreUnavailableError))
    standin.set_faults()
    sink.wait_for(('snapshot', []))
    follower.stop(WAIT_S)


@pytest.mark.parametrize(
    ('watches', 'versions'),
    [
        ([[event(ADDED, '5')], [event(BOOKMARK, '8')]], ['1', '5', '8']),
        (
            [[event(ADDED, '5'), StoreVersionGoneError('', remedy='')]],
            ['1', '1'],
        ),
        ([[event(ADDED, '5'), StoreSilentError('', remedy='')]], ['1', '1']),
    ],
    ids=['timeout', 'version gone', 'silent'],
)
def test_start_version_of_the_next_watch(sink, watches, versions):
    store = ScriptedStore(*watches)
    follower = Watcher(store, WatchTarget(KIND), sink)
    follower.start()
    store.exhausted.get(timeout=WAIT_S)
    follower.stop(WAIT_S)
    assert store.versions[: len(versions)] == versions


def test_outage_is_assumed_after_consecutive_failures():
    state = outage.OutageState()
    phases = []
    for now_s in range(outage.OUTAGE_FAILURES + 1):
        state = outage.after_failure(state, now_s, jitter=0)
        phases.append(state.phase)
    assert phases == [
        outage.Phase.SUSPECT,
        outage.Phase.SUSPECT,
        outage.Phase.DOWN,
        outage.Phase.DOWN,
    ]
    assert state.since_s == 2
    assert not state.is_up
    assert outage.after_success(state, 9) == outage.OutageState(since_s=9)


@pytest.mark.parametrize(
    ('failures', 'jitter', 'backoff_s'),
    [
        (1, 0, 0.05),
        (2, 0, 0.1),
        (2, 1, 0.05),
        (9, 0, 2),
        (10_000, 0, 2),
    ],
)
def test_backoff(failures, jitter, backoff_s):
    assert outage.backoff_s(failures, jitter) == backoff_s


def test_retry_wait_is_at_least_what_the_platform_asks_for():
    state = outage.after_failure(outage.OutageState(), 10, 0, retry_after_s=7)
    assert outage.retry_wait_s(state, 12) == 5
    assert outage.retry_wait_s(state, 20) == 0


def test_token_bucket_refills_at_its_rate_up_to_its_burst():
    rate = Rate(per_s=10, burst=2)
    bucket = TokenBucket(2, 0)
    waits = []
    for now_s in (0, 0, 0, 0.05, 0.1, 100, 100, 100):
        bucket, wait_s = take_token(rate, bucket, now_s)
        waits.append(f'{wait_s:g}')
    assert ' '.join(waits) == '0 0 0.1 0.05 0 0 0 0.1'

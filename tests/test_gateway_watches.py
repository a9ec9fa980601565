"""A gateway's watches of the platform: what shows of them, their end."""

import threading
import time

import pytest
from structlog.testing import capture_logs

from cactusledge.errors import StoreAnswerLostError
from cactusledge.gateway.watches import OVERDUE_S, OverdueWatch, Watches
from cactusledge.objects.store import (
    ADDED,
    ObjectList,
    StoredObject,
    WatchEvent,
)
from cactusledge.objects.watch_session import WatchProgress, WatchTarget
from cactusledge.objects.watcher import Watcher
from cactusledge.telemetry.metrics import Metrics

WAIT_S = 5.0
KIND = 'config'
LISTED = 17  # version of the first list, each further one is newer by one


class WaitingObjects:
    """Answers lists; each watch waits for its step and then does it."""

    def __init__(self):
        self.lists = 0
        self.steps = [threading.Event(), threading.Event()]
        self.fails = True
        self._watches = 0

    def list(self, kind, prefix=''):
        self.lists += 1
        return ObjectList((), str(LISTED + self.lists - 1))

    def watch(self, kind, version, timeout_s, prefix=''):
        step = self.steps[self._watches]
        self._watches += 1
        assert step.wait(WAIT_S)
        if self.fails:
            raise StoreAnswerLostError('lost', remedy='list')
        yield event_of(version)

    def release(self):
        """Ends all watches, further ones too."""
        self.fails = True
        for step in self.steps:
            step.set()


def event_of(version, change=ADDED):
    """Returns an event of an object."""
    return WatchEvent(change, StoredObject(KIND, 'main', version, {}))


class Sink:
    """Keeps what a watcher passes on."""

    def __init__(self):
        self.lists = []
        self.events = []

    def on_snapshot(self, listed):
        self.lists.append(listed.version)

    def on_event(self, event):
        self.events.append(event.object.version)

    def on_failure(self, exc):
        """Ignores a failure."""


@pytest.fixture
def objects():
    return WaitingObjects()


@pytest.fixture
def sink():
    return Sink()


@pytest.fixture
def watcher(objects, sink):
    watcher = Watcher(objects, WatchTarget(KIND), sink)
    watcher.start()
    until(lambda: watcher.progress.waits_since_s is not None)
    yield watcher
    objects.release()
    watcher.stop(WAIT_S)


@pytest.fixture
def metrics():
    metrics = Metrics()
    metrics.load()
    return metrics


@pytest.fixture
def watches(metrics, watcher):
    watches = Watches(metrics)
    watches.add(watcher)
    return watches


def until(condition):
    """Waits until a condition holds."""
    deadline_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.005)


# A watch that is never answered could not be told from one without news.
def test_gauges_show_how_long_a_watch_has_waited_and_for_what(watches, metrics):
    time.sleep(0.05)
    watches.update_gauges()
    assert metrics.sample('gateway_watch_version', kind=KIND) == LISTED
    assert metrics.sample('gateway_watch_wait_seconds', kind=KIND) > 0


# The logs did not tell when a lost watch had been sent.
def test_log_of_a_lost_watch_says_how_long_it_waited(objects, watcher):
    time.sleep(0.05)
    with capture_logs() as lines:
        objects.release()
        until(lambda: lines)
        watcher.stop(WAIT_S)
    assert lines[0]['version'] == str(LISTED)
    assert 0 < lines[0]['waited_s'] < WAIT_S


def waiting(version, since_s=0):
    """Returns the progress of an open watch."""
    return WatchProgress(str(version), since_s)


# Watches without an answer: each step has the newest change that the store
# knows of, the progress of the watch, the time, and whether it is overdue.
@pytest.mark.parametrize(
    'steps',
    [
        [(7, waiting(7), 9, False)],
        [(5, waiting(7), 9, False)],
        [(9, waiting(7), 9, False), (9, waiting(7), 9 + OVERDUE_S, True)],
        [(9, waiting(7), 9, False), (11, waiting(7), 9 + OVERDUE_S, True)],
        [(9, waiting(7), 9, False), (9, waiting(9), 9.2, False)],
        [
            (9, waiting(7), 9, False),
            (9, waiting(9), 9.2, False),
            (11, waiting(9), 9.3, False),
            (11, waiting(9), 9.5, False),
            (11, waiting(9), 9.3 + OVERDUE_S, True),
        ],
    ],
    ids=['same', 'behind', 'once', 'further', 'brought', 'anew'],
)
def test_watch_that_lacks_a_known_change_is_overdue(steps):
    overdue = OverdueWatch()
    for newest, progress, now_s, expected in steps:
        overdue.hear(newest)
        assert overdue.is_overdue(progress, now_s) == expected


# Many changes in quick succession: a watcher pauses between its watches, and
# each of them brings what there is.
def test_watcher_between_two_watches_is_not_overdue():
    overdue = OverdueWatch()
    overdue.hear(9)
    assert not overdue.is_overdue(waiting(7), 1)
    assert not overdue.is_overdue(WatchProgress('7'), 2)
    assert not overdue.is_overdue(waiting(7, 2), 2)
    assert not overdue.is_overdue(waiting(7, 2), 2 + OVERDUE_S / 2)


def test_watch_that_has_just_been_sent_is_given_time():
    overdue = OverdueWatch()
    overdue.hear(9)
    assert not overdue.is_overdue(waiting(7), 1)
    sent_s = 1 + OVERDUE_S
    assert not overdue.is_overdue(waiting(7, sent_s), sent_s)
    assert overdue.is_overdue(waiting(7, sent_s), sent_s + OVERDUE_S)


# The platform never answered a watch, which then stayed open for 21 s.
def test_overdue_watch_is_replaced_and_the_objects_are_listed_again(
    watches, watcher, sink, metrics
):
    watches.add_reported({KIND: LISTED + 1, 'of no watch': LISTED + 9})
    now_s = time.monotonic()
    watches.step(now_s)
    assert sink.lists == [str(LISTED)]
    watches.step(now_s + 2 * OVERDUE_S)
    until(lambda: len(sink.lists) > 1)
    until(lambda: watcher.progress.version == str(LISTED + 1))
    count = metrics.sample('gateway_watch_replacements_total', kind=KIND)
    assert count == 1


# Events of the replaced watch are older than the list that followed.
def test_replaced_watch_passes_nothing_on(objects, watcher, sink):
    watcher.replace()
    until(lambda: len(sink.lists) > 1)
    objects.fails = False
    objects.steps[0].set()
    time.sleep(0.1)
    assert not sink.events

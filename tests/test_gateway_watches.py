"""What a gateway shows of its watches of the platform."""

import threading
import time

import pytest
from structlog.testing import capture_logs

from cactusledge.errors import StoreAnswerLostError
from cactusledge.gateway.watches import Watches
from cactusledge.objects.store import ObjectList
from cactusledge.objects.watcher import Watcher, WatchTarget
from cactusledge.telemetry.metrics import Metrics

WAIT_S = 5.0
LISTED = '17'  # version of the list


class WaitingObjects:
    """Answers a list; a watch waits until it is told to fail."""

    def __init__(self):
        self.ends = threading.Event()

    def list(self, kind, prefix=''):
        return ObjectList((), LISTED)

    def watch(self, kind, version, timeout_s, prefix=''):
        assert self.ends.wait(WAIT_S)
        raise StoreAnswerLostError('lost', remedy='list')


class NoSink:
    """Takes what a watcher passes on."""

    def on_snapshot(self, listed):
        """Ignores a list."""

    def on_failure(self, exc):
        """Ignores a failure."""


@pytest.fixture
def objects():
    return WaitingObjects()


@pytest.fixture
def watcher(objects):
    watcher = Watcher(objects, WatchTarget('config'), NoSink())
    watcher.start()
    until(lambda: watcher.progress.waits_since_s is not None)
    yield watcher
    objects.ends.set()
    watcher.stop(WAIT_S)


def until(condition):
    """Waits until a condition holds."""
    deadline_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.005)


# A watch that is never answered could not be told from one without news.
def test_gauges_show_how_long_a_watch_has_waited_and_for_what(watcher):
    metrics, watches = Metrics(), Watches()
    metrics.load()
    watches.add(watcher.kind, watcher)
    time.sleep(0.05)
    watches.update_gauges(metrics)
    version = metrics.sample('gateway_watch_version', kind='config')
    assert version == int(LISTED)
    assert metrics.sample('gateway_watch_wait_seconds', kind='config') > 0


# The logs did not tell when a lost watch had been sent.
def test_log_of_a_lost_watch_says_how_long_it_waited(objects, watcher):
    time.sleep(0.05)
    with capture_logs() as lines:
        objects.ends.set()
        until(lambda: lines)
        watcher.stop(WAIT_S)
    assert lines[0]['version'] == LISTED
    assert 0 < lines[0]['waited_s'] < WAIT_S

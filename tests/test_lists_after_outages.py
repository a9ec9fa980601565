"""Lists of the platform's objects after it could not be reached."""

import queue
import threading
import time

import pytest

from cactusledge.errors import StoreUnavailableError
from cactusledge.objects.store import ObjectList
from cactusledge.objects.watch_session import WatchTarget
from cactusledge.objects.watcher import Watcher

LISTED_S = 1.0  # from the heal until the objects are known
TIMEOUT_S = 1.5  # of a request that is lost
SLOW_S = 0.7  # that a slow platform needs for a list
WAIT_S = 10.0
EMPTY = ObjectList((), '1')


class CutStore:
    """Loses what is sent before the heal; later requests are answered."""

    def __init__(self):
        self.healed = threading.Event()
        self.healed_s = 0

    def heal(self):
        self.healed_s = time.monotonic()
        self.healed.set()

    def list(self, kind, prefix=''):
        if not self.healed.is_set():
            time.sleep(TIMEOUT_S)
            raise StoreUnavailableError('Lost.', remedy='None.')
        return EMPTY

    def watch(self, kind, version, timeout_s, prefix=''):
        time.sleep(WAIT_S)
        return iter(())


class SlowStore(CutStore):
    """Answers each list after a while."""

    def __init__(self):
        super().__init__()
        self.lists = 0

    def list(self, kind, prefix=''):
        self.lists += 1
        time.sleep(SLOW_S)
        return EMPTY


class Sink:
    """Keeps when lists arrive."""

    def __init__(self):
        self.listed_s = queue.SimpleQueue()

    def on_snapshot(self, listed):
        self.listed_s.put(time.monotonic())

    def on_event(self, event):
        """Ignores changes."""

    def on_failure(self, exc):
        """Ignores failures."""


# A list that was sent just before the heal was waited for, and then came a
# wait of up to 2 s: endpoints that had left meanwhile got requests.
@pytest.mark.parametrize('cut_s', [0.3, 1.4, 2.9, 4.6])
def test_objects_are_listed_soon_after_a_cut(cut_s):
    store, sink = CutStore(), Sink()
    watcher = Watcher(store, WatchTarget('servers'), sink)
    watcher.start()
    time.sleep(cut_s)
    store.heal()
    listed_s = sink.listed_s.get(timeout=WAIT_S)
    watcher.stop()
    assert listed_s - store.healed_s < LISTED_S


# Tries that gave up each other would never list a slow platform.
def test_slow_list_is_taken_and_not_sent_without_end():
    store, sink = SlowStore(), Sink()
    watcher = Watcher(store, WatchTarget('servers'), sink)
    watcher.start()
    sink.listed_s.get(timeout=WAIT_S)
    time.sleep(SLOW_S)
    watcher.stop()
    assert sink.listed_s.empty()
    assert store.lists == 2

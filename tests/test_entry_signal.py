"""A stop signal that is delivered to a thread other than the main one."""

import signal
import threading
import time
from multiprocessing import get_context

import pytest

from cactusledge.cli.entry import StopSignal

SIGNAL_DELAY_S = 0.5  # until the main thread is waiting
THREAD_LIFETIME_S = 60


def signal_own_thread():
    time.sleep(SIGNAL_DELAY_S)
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    time.sleep(THREAD_LIFETIME_S)


def wait_for_stop():
    """Runs in the tested process, where a second thread gets the signal."""
    stop = StopSignal()
    threading.Thread(target=signal_own_thread, daemon=True).start()
    stop.wait()


@pytest.mark.process
def test_stop_signal_is_handled_on_any_thread():
    process = get_context('spawn').Process(target=wait_for_stop, daemon=True)
    process.start()
    process.join(20)
    assert process.exitcode == 0

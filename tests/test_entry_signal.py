"""A signal that the kernel hands to another thread than the main one."""

import signal
import threading
import time
from multiprocessing import get_context

import pytest

from cactusledge.cli.entry import StopSignal

SIGNAL_DELAY_S = 0.5  # until the main thread waits
THREAD_LIFETIME_S = 60


def receive_signal():
    time.sleep(SIGNAL_DELAY_S)
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    time.sleep(THREAD_LIFETIME_S)


def wait_for_stop():
    """The process under test: a thread of it receives the signal."""
    stop = StopSignal()
    threading.Thread(target=receive_signal, daemon=True).start()
    stop.wait()


@pytest.mark.process
def test_stop_is_noticed_on_whichever_thread_it_arrives():
    process = get_context('spawn').Process(target=wait_for_stop, daemon=True)
    process.start()
    process.join(20)
    assert process.exitcode == 0

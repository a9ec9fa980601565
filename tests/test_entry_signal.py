"""A signal that the kernel hands to another thread than the main one."""

import signal
import threading
import time
from multiprocessing import get_context

import pytest

from cactusledge.cli.entry import StopSignal

WAITING_S = 0.5  # until the main thread waits
LONG_S = 60


def be_hit():
    time.sleep(WAITING_S)
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    time.sleep(LONG_S)


def wait_to_be_told():
    """The process under test: a thread of it receives the signal."""
    stop = StopSignal()
    threading.Thread(target=be_hit, daemon=True).start()
    stop.wait()


@pytest.mark.process
def test_stop_is_noticed_on_whichever_thread_it_arrives():
    process = get_context('spawn').Process(target=wait_to_be_told, daemon=True)
    process.start()
    process.join(20)
    assert process.exitcode == 0

"""Signals that come while a process of the users' platform starts."""

import os
import signal
import subprocess
import sys
import time
from contextlib import ExitStack, contextmanager, suppress

import pytest

pytestmark = pytest.mark.process

START_LIMIT_S = 30.0
END_LIMIT_S = 5.0
EFFECT_S = 0.5  # for which a signal would end the process
POLL_S = 0.01


@contextmanager
def starting(folder, role):
    """Starts a process; yields it, and the pipe from which it reads settings.

    A signal that its interpreter has noted and not yet handled does not end
    that wait. The end of the pipe does; settings that are a file have no wait.
    """
    settings = folder / 'settings'
    os.mkfifo(settings)
    process = subprocess.Popen(
        (sys.executable, '-m', 'cactusledge.platform', role),
        env={**os.environ, 'CACTUSLEDGE_CONFIG': str(settings)},
    )
    with ExitStack() as stack:
        stack.callback(process.wait)
        stack.callback(process.kill)
        pipe = os.fdopen(open_when_read(settings), 'wb')
        yield process, stack.enter_context(pipe)


def open_when_read(settings):
    """Opens a named pipe for writing once the process has opened it."""
    ends_s = time.monotonic() + START_LIMIT_S
    while time.monotonic() < ends_s:
        with suppress(OSError):
            return os.open(settings, os.O_WRONLY | os.O_NONBLOCK)
        time.sleep(POLL_S)
    raise TimeoutError('the process has not read its settings')


# A SIGHUP in the first 0.2 s ended the process.
@pytest.mark.parametrize('role', ['front', 'store'])
def test_reload_during_the_start_does_not_end_the_process(tmp_path, role):
    with starting(tmp_path, role) as (process, _):
        process.send_signal(signal.SIGHUP)
        time.sleep(EFFECT_S)
        assert process.poll() is None


# A stop before the process served ended it by the signal, like a crash.
@pytest.mark.parametrize('role', ['front', 'store'])
def test_stop_during_the_start_ends_the_process_cleanly(tmp_path, role):
    with starting(tmp_path, role) as (process, pipe):
        process.send_signal(signal.SIGTERM)
        pipe.close()
        assert process.wait(END_LIMIT_S) == 0

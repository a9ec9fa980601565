"""The `entry` command: runs an instance until a stop signal."""

import signal
import threading
from pathlib import Path
from typing import Annotated

import typer

from cactusledge.application import Application
from cactusledge.cli.heap import share_heap
from cactusledge.cli.options import get_environment
from cactusledge.settings.instance import load_settings
from cactusledge.status import ExitStatus

SIGNAL_POLL_INTERVAL_S = 0.5

SettingsPath = Annotated[
    Path,
    typer.Option('--settings', '-s', help='YAML file with the settings.'),
]


def command(
    ctx: typer.Context,
    settings: SettingsPath,
) -> ExitStatus:
    """Run an entry instance until SIGTERM or SIGINT.

    Example: cactusledge entry --settings entry.yaml
    """
    share_heap()
    env = get_environment(ctx)
    app = Application(load_settings(settings, env.environ), env)
    stop = StopSignal()
    app.start()
    stop.wait()
    calls_cut_off = app.stop()
    return ExitStatus.ERROR if calls_cut_off else ExitStatus.OK


class StopSignal:
    """Waits for SIGTERM or SIGINT.

    Has to be created in the main thread, as Python sets signal handlers only
    there.
    """

    def __init__(self) -> None:
        """Installs the handlers of both signals."""
        self._stop_event = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle_signal)

    def wait(self) -> None:
        """Blocks until the process has received a stop signal.

        The kernel may deliver the signal to any thread, which does not wake
        the main thread. Python runs handlers in the main thread only, so it
        wakes up at an interval to let them run.
        """
        is_stopped = False
        while not is_stopped:
            is_stopped = self._stop_event.wait(SIGNAL_POLL_INTERVAL_S)

    def _handle_signal(self, *_: object) -> None:
        self._stop_event.set()

"""The `entry` command: runs an instance until it is told to stop."""

import signal
import threading
from pathlib import Path
from typing import Annotated

import typer

from cactusledge.application import Application
from cactusledge.cli.options import environment_of
from cactusledge.settings.instance import load_settings
from cactusledge.status import ExitStatus

WAKE_S = 0.5

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
    env = environment_of(ctx)
    app = Application(load_settings(settings, env.environ), env)
    stop = StopSignal()
    app.start()
    stop.wait()
    left = app.stop()
    return ExitStatus.ERROR if left else ExitStatus.OK


class StopSignal:
    """Waits for SIGTERM or SIGINT; to be built in the main thread."""

    def __init__(self) -> None:
        """Takes the two signals over."""
        self._is_told = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._take)

    def wait(self) -> None:
        """Returns once the process has been told to stop.

        The kernel may hand a signal to any thread, which does not wake the
        main one; its handler runs there, so it wakes up from time to time.
        """
        is_told = False
        while not is_told:
            is_told = self._is_told.wait(WAKE_S)

    def _take(self, *_: object) -> None:
        self._is_told.set()

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
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    signal.signal(signal.SIGINT, lambda *_: stopping.set())
    app.start()
    stopping.wait()
    left = app.stop()
    return ExitStatus.ERROR if left else ExitStatus.OK

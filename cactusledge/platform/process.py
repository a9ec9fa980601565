"""The process of a role: its settings, its logs and its end."""

import asyncio
import os
import sys

import uvloop

from cactusledge.errors import CactusledgeError
from cactusledge.platform.roles import ROLES, load_role
from cactusledge.platform.settings import read_settings
from cactusledge.status import ExitStatus
from cactusledge.telemetry.log_writer import LogWriter
from cactusledge.telemetry.logs import configure_logs


def main(role: str) -> ExitStatus:
    """Runs the role until it is stopped."""
    if role not in ROLES:
        sys.stderr.write(
            f"Unknown role '{role}'; use one of {sorted(ROLES)}.\n"
        )
        return ExitStatus.USAGE
    try:
        settings = read_settings(os.environ)
    except CactusledgeError as exc:
        sys.stderr.write(f'{exc.code}: {exc.message} {exc.remedy}\n')
        return ExitStatus.INVALID
    writer = LogWriter(sys.stdout)
    configure_logs(
        writer,
        log_format='json',
        level='info',
        instance=settings.instance,
        data_centre=settings.data_centre,
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(load_role(role)(settings))
    writer.close()
    return ExitStatus.OK

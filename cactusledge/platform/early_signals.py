"""Handles signals until the application of a role has its own handlers.

Imports little, as it runs before everything else.
"""

import os
import signal


def take_early_signals() -> None:
    """Makes SIGTERM end the process with success, and ignores SIGHUP.

    Nothing is served yet. The settings are read after this, so a reload has
    nothing to add.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _end_at_once)


def _end_at_once(number: int, frame: object) -> None:
    """Ends the process without a clean-up, for which there is no need yet."""
    os._exit(os.EX_OK)

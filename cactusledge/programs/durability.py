"""Waits for journal records, for as long as the platform answers."""

import time
from collections.abc import Callable
from typing import Any

import pykka

from cactusledge.errors import CactusledgeError
from cactusledge.protocol.errors import FencedError

WAIT_STEP_S = 0.1
LONGEST_WAIT_S = 5.0


class CommitWait:
    """Tells whether records became durable in a reasonable time."""

    def __init__(
        self,
        is_up: Callable[[], bool],
        hold: Callable[[], bool],
        longest_wait_s: float = LONGEST_WAIT_S,
    ) -> None:
        """Prepares to wait.

        Args:
            is_up: Whether the platform answers.
            hold: Copies the waiting records to another instance's memory.
            longest_wait_s: Limit of a wait while the platform answers.
        """
        self._is_up = is_up
        self._hold = hold
        self._longest_wait_s = longest_wait_s

    def wait(self, future: Any) -> bool:
        """Returns whether the records are durable at the platform.

        Raises:
            FencedError: Another owner sealed the log.
        """
        give_up_s = time.monotonic() + self._longest_wait_s
        durable = future is None
        while not durable and time.monotonic() < give_up_s:
            up = self._is_up()
            durable = _is_durable(future, WAIT_STEP_S if up else 0)
            if not durable and not up:
                break
        if not durable:
            self._hold()
        return durable


def _is_durable(future: Any, step_s: float) -> bool:
    """Waits one step; raises FencedError."""
    try:
        future.get(timeout=step_s)
    except FencedError:
        raise
    except (pykka.Timeout, CactusledgeError):
        return False
    return True

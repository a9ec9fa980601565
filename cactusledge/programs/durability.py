"""Waits for journal records, for as long as the platform answers."""

import time
from collections.abc import Callable
from typing import Any

import pykka

from cactusledge.errors import CactusledgeError
from cactusledge.protocol.errors import FencedError

WAIT_STEP_S = 0.1
MAX_WAIT_S = 5.0


class CommitWait:
    """Tells whether records became durable in a reasonable time."""

    def __init__(
        self,
        is_up: Callable[[], bool],
        copy_to_peer: Callable[[], bool],
        max_wait_s: float = MAX_WAIT_S,
    ) -> None:
        """Prepares to wait.

        Args:
            is_up: Whether the platform answers.
            copy_to_peer: Copies the waiting records to another instance.
            max_wait_s: Limit of a wait while the platform answers.
        """
        self._is_up = is_up
        self._copy_to_peer = copy_to_peer
        self._max_wait_s = max_wait_s

    def wait(self, future: Any) -> bool:
        """Returns whether the records are durable at the platform.

        Raises:
            FencedError: Another owner sealed the log.
        """
        deadline_s = time.monotonic() + self._max_wait_s
        durable = future is None
        while not durable and time.monotonic() < deadline_s:
            is_up = self._is_up()
            durable = _is_durable(future, WAIT_STEP_S if is_up else 0)
            if not durable and not is_up:
                break
        if not durable:
            self._copy_to_peer()
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

"""Waits until journal records are durable or the platform is down."""

import time
from collections.abc import Callable
from typing import Any

import pykka

from cactusledge.errors import CactusledgeError
from cactusledge.protocol.errors import FencedError

WAIT_STEP_S = 0.1
MAX_WAIT_S = 5.0


class CommitWait:
    """Waits a limited time for records to become durable."""

    def __init__(
        self,
        is_up: Callable[[], bool],
        copy_to_peer: Callable[[], bool],
        max_wait_s: float = MAX_WAIT_S,
    ) -> None:
        """Creates the wait.

        Args:
            is_up: Returns whether the platform answers.
            copy_to_peer: Copies the waiting records to another instance,
                called if they do not become durable.
            max_wait_s: Longest wait while the platform answers. While it does
                not, the future is checked once without waiting.
        """
        self._is_up = is_up
        self._copy_to_peer = copy_to_peer
        self._max_wait_s = max_wait_s

    def wait(self, future: Any) -> bool:
        """Returns whether the records are durable on the platform.

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
    """Waits one step for the future; raises FencedError."""
    try:
        future.get(timeout=step_s)
    except FencedError:
        raise
    except (pykka.Timeout, CactusledgeError):
        return False
    return True

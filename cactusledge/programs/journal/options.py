"""Settings of a journal writer, shared with its actor."""

import random
import time
from collections.abc import Callable
from typing import NamedTuple


class WriterOptions(NamedTuple):
    """Settings of a journal writer."""

    commit_interval_s: float = 0.01
    retry_base_s: float = 0.05
    retry_cap_s: float = 2.0
    max_waiting_bytes: int = 8_000_000
    jitter: Callable[[], float] = random.random  # in [0, 1)
    now_s: Callable[[], float] = time.time
    monotonic_s: Callable[[], float] = time.monotonic

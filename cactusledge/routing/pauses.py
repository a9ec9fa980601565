"""Estimates of tool pauses from observed pauses, without I/O or clock."""

from collections.abc import Hashable

SMOOTHING = 0.2  # weight of the newest pause
MAX_KEYS = 4096


class PauseEstimates:
    """Moving average of the pause for each kind of tool call.

    Once `MAX_KEYS` kinds are known, new ones are ignored, which bounds the
    memory.
    """

    def __init__(self) -> None:
        """Initializes the estimates without observations."""
        self._seconds: dict[Hashable, float] = {}

    def observe(self, key: Hashable, pause_s: float) -> None:
        """Records how long a tool took."""
        known_s = self._seconds.get(key)
        if known_s is None:
            if len(self._seconds) < MAX_KEYS:
                self._seconds[key] = pause_s
            return
        self._seconds[key] = known_s + SMOOTHING * (pause_s - known_s)

    def expected_s(self, key: Hashable, default_s: float) -> float:
        """Returns the expected pause, or the default for an unknown tool."""
        return self._seconds.get(key, default_s)

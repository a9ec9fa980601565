"""Expected tool pauses, learned from the pauses seen; pure."""

from collections.abc import Hashable

SMOOTHING = 0.2  # weight of the latest pause
MAX_KEYS = 4096


class PauseEstimates:
    """Smoothed pause for each kind of tool call."""

    def __init__(self) -> None:
        """Starts without pauses."""
        self._seconds: dict[Hashable, float] = {}

    def observe(self, key: Hashable, pause_s: float) -> None:
        """Takes in how long a tool took."""
        known_s = self._seconds.get(key)
        if known_s is None:
            if len(self._seconds) < MAX_KEYS:
                self._seconds[key] = pause_s
            return
        self._seconds[key] = known_s + SMOOTHING * (pause_s - known_s)

    def expected_s(self, key: Hashable, default_s: float) -> float:
        """Returns the pause to expect, the default for an unknown tool."""
        return self._seconds.get(key, default_s)

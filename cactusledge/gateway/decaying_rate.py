"""A decaying average of the requests a second; pure."""

import math


class DecayingRate:
    """Counts requests, of which older ones weigh less."""

    def __init__(self, average_s: float) -> None:
        """Starts without any; `average_s` is the time constant."""
        self._average_s = average_s
        self._per_s = float(0)
        self._added_s = float(0)  # time of the last request

    def add(self, now_s: float) -> None:
        """Counts a request."""
        self._per_s = self.per_s(now_s) + 1 / self._average_s
        self._added_s = now_s

    def per_s(self, now_s: float) -> float:
        """Returns the requests a second."""
        age_s = now_s - self._added_s
        return self._per_s * math.exp(-age_s / self._average_s)

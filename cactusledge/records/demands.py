"""What processes have reported that they would send, by key; pure."""

from collections.abc import Mapping
from typing import NamedTuple

NEGLIGIBLE = 1e-9  # left of a sum of floats after all terms are taken off


class _Reported(NamedTuple):
    """Demands in requests a second, and when they were reported."""

    by_key: Mapping[str, float]
    at_s: float


class Demands:
    """The last reports of several processes, and their sums."""

    def __init__(self, ttl_s: float) -> None:
        """Starts empty; a report counts for `ttl_s`."""
        self._ttl_s = ttl_s
        self._reported: dict[str, _Reported] = {}  # by process
        self._sums: dict[str, float] = {}

    def report(
        self, name: str, demands: Mapping[str, float], now_s: float
    ) -> None:
        """Replaces the report of a process."""
        self._drop(name)
        self._reported[name] = _Reported(demands, now_s)
        for key, per_s in demands.items():
            self._sums[key] = self._sums.get(key, 0) + per_s

    def drop_expired(self, now_s: float) -> None:
        """Drops the reports that no longer count."""
        expired = [
            name
            for name, reported in self._reported.items()
            if now_s - reported.at_s >= self._ttl_s
        ]
        for name in expired:
            self._drop(name)

    def sums(self, now_s: float) -> dict[str, float]:
        """Returns the sums of all reports, by key."""
        self.drop_expired(now_s)
        return dict(self._sums)

    def of_all(self, key: str, now_s: float) -> float:
        """Returns the demand for a key of all processes."""
        self.drop_expired(now_s)
        return self._sums.get(key, 0)

    def of_others(self, name: str, key: str, now_s: float) -> float:
        """Returns the demand for a key of all but one process."""
        total = self.of_all(key, now_s)
        reported = self._reported.get(name)
        own = reported.by_key.get(key, 0) if reported else 0
        return max(0, total - own)

    def _drop(self, name: str) -> None:
        dropped = self._reported.pop(name, None)
        if dropped is None:
            return
        for key, per_s in dropped.by_key.items():
            left = self._sums.get(key, 0) - per_s
            if left > NEGLIGIBLE:
                self._sums[key] = left
            else:
                self._sums.pop(key, None)

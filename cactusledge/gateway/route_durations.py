"""How long the requests of each route have lately taken; pure."""

import math
from collections.abc import Hashable
from typing import NamedTuple

WINDOW_S = 30.0  # a duration counts for one to two of these


class _Running(NamedTuple):
    """A request in progress."""

    route: str
    began_s: float


class _Longest(NamedTuple):
    """The longest durations of two windows in a row."""

    window: int  # number of the later one
    later_s: float
    earlier_s: float

    def at(self, window: int) -> '_Longest':
        """Returns the durations that still count in a window."""
        passed = window - self.window
        if passed <= 0:
            return self
        earlier_s = self.later_s if passed == 1 else -math.inf
        return _Longest(window, -math.inf, earlier_s)


NOTHING = _Longest(0, -math.inf, -math.inf)


class RouteDurations:
    """The longest recent duration of each route, and what is in progress."""

    def __init__(self) -> None:
        """Starts without any request."""
        self._longest: dict[str, _Longest] = {}
        self._running: dict[Hashable, _Running] = {}

    def begin(self, key: Hashable, route: str, now_s: float) -> None:
        """Adds a request in progress."""
        self._running[key] = _Running(route, now_s)

    def end(self, key: Hashable, now_s: float, *, counts: bool) -> None:
        """Removes a request; its duration counts if it was really served."""
        running = self._running.pop(key, None)
        if running is None or not counts:
            return
        window = int(now_s // WINDOW_S)
        longest = self._longest.get(running.route, NOTHING).at(window)
        took_s = max(longest.later_s, now_s - running.began_s)
        self._longest[running.route] = longest._replace(later_s=took_s)

    def longest_s(self, route: str, now_s: float) -> float | None:
        """Returns the longest recent duration, None if none is known.

        What is in progress counts with its age once one has ended.
        """
        longest = self._longest.get(route, NOTHING)
        known = longest.at(int(now_s // WINDOW_S))
        ended_s = max(known.later_s, known.earlier_s)
        if math.isinf(ended_s):
            return None
        ages = (
            now_s - running.began_s
            for running in self._running.values()
            if running.route == route
        )
        return max(ended_s, *ages, 0)

"""Fake clock with the actions that are due."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any, NamedTuple


class Due(NamedTuple):
    """An action at a time; the order breaks ties."""

    at_s: float
    order: int
    action: Callable[..., None]
    arguments: tuple[Any, ...]


class Clock:
    """Time that jumps from one action to the next."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.now: float = 0
        self._due: list[Due] = []
        self._order = itertools.count()

    def at(
        self, at_s: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Plans an action."""
        due = Due(at_s, next(self._order), action, arguments)
        heapq.heappush(self._due, due)

    def after(
        self, wait_s: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Plans an action from now."""
        self.at(self.now + wait_s, action, *arguments)

    def run(self, end_s: float) -> None:
        """Carries out all actions before a time."""
        while self._due and self._due[0].at_s < end_s:
            due = heapq.heappop(self._due)
            self.now = due.at_s
            due.action(*due.arguments)

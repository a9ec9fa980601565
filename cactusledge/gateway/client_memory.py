"""Bounds the memory that clients' connections hold all together; pure.

When it is short, connections give way that hold the most for the least
progress. Answers of endpoints count in the same space.
"""

import math
from typing import Protocol

from cactusledge.gateway.buffer_space import BufferSpace

# Of the space: what is left after connections have given way.
KEPT_SHARE = 0.875
# Requests in service may take this share of the space; the others arrive.
SERVING_SHARE = 0.75
# A request is served if so many of its size are free, so that one of a usual
# size still finds room beside the largest ones.
HEADROOM = 2
LEAST_STALL_S = 0.001


class Holder(Protocol):
    """A connection that holds bytes for a client."""

    @property
    def held(self) -> int:
        """The bytes that it holds now."""

    @property
    def spare(self) -> int:
        """The bytes that it frees if it gives way; 0 if it can't."""

    def stalled_s(self, now_s: float) -> float:
        """Returns for how long it has held them without an end."""

    def give_back(self) -> None:
        """Drops what it holds, and refuses or closes what that was for."""


class ClientMemory:
    """What clients' connections hold, by connection."""

    def __init__(self, space: BufferSpace) -> None:
        """Starts with nothing held."""
        self._space = space
        self._charges: dict[Holder, int] = {}  # bytes
        self._serving = 0  # bytes of requests in service

    def charge(self, holder: Holder, now_s: float) -> None:
        """Notes what a connection holds; others give way if that is needed."""
        self._set(holder, holder.held)
        if self._space.is_full:
            self._make_room(now_s)

    def release(self, holder: Holder) -> None:
        """Forgets a connection that is closed."""
        self._space.used -= self._charges.pop(holder, 0)

    def admits(self, size: int) -> bool:
        """Returns whether a request of so many bytes may be served.

        Any that fits is, while requests in service take less than half of their
        share.
        """
        most = self._space.full_bytes * SERVING_SHARE
        free = most - self._serving
        is_calm = self._serving * HEADROOM <= most
        return size * HEADROOM <= free or (is_calm and size <= free)

    def begin_serving(self, size: int) -> None:
        """Adds a request in service."""
        self._serving += size

    def end_serving(self, size: int) -> None:
        """Removes a request in service."""
        self._serving -= size

    def _set(self, holder: Holder, size: int) -> None:
        self._space.used += size - self._charges.get(holder, 0)
        self._charges[holder] = size

    def _make_room(self, now_s: float) -> None:
        """Counts anew, and lets connections give way if it is still full."""
        for holder in self._charges:
            self._set(holder, holder.held)
        if not self._space.is_full:
            return
        goal = math.floor(self._space.full_bytes * KEPT_SHARE)
        heaviest_first = sorted(
            self._charges, key=lambda one: weight(one, now_s), reverse=True
        )
        for heavy in heaviest_first:
            if self._space.used <= goal or not heavy.spare:
                return
            heavy.give_back()
            self._set(heavy, heavy.held)


def weight(holder: Holder, now_s: float) -> float:
    """Returns how much a connection holds for how long."""
    return holder.spare * max(holder.stalled_s(now_s), LEAST_STALL_S)

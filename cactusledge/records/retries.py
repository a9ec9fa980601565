"""Repeats a request to the stores as long as it may still be confirmed."""

import asyncio
import math
import random
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cactusledge.records.peers import GroupPeers

SHORTEST_SHARE = 0.5  # of a pause
FIRST_PAUSE_S = 0.01
GROWTH = 2
LONGEST_PAUSE_S = 0.2


class RetryLimits(NamedTuple):
    """How long a request is repeated, and how often at most."""

    total_s: float = math.inf  # no round begins after it
    out_of_reach_s: float = math.inf  # the same, without a quorum throughout
    longest_pause_s: float = LONGEST_PAUSE_S


class Sight(NamedTuple):
    """What a client sees of the stores at a time."""

    now_s: float
    generations: tuple[int, ...]  # of the newest known group of each shard
    has_quorum: bool


class RetryPauses:
    """The pauses between the rounds of one request.

    A newer group ends the pause: the stores will not refuse it. Without one the
    pause grows, as the cause may be load.
    """

    def __init__(self, limits: RetryLimits, sight: Sight) -> None:
        """Starts with the first round."""
        self._limits = limits
        self._ends_s = sight.now_s + limits.total_s
        self._pause_s = FIRST_PAUSE_S
        self._out_since_s: float | None = None
        self._generations = sight.generations
        self.note(sight)

    def note(self, sight: Sight) -> None:
        """Takes what the next round starts with."""
        self._generations = sight.generations
        if sight.has_quorum:
            self._out_since_s = None
        elif self._out_since_s is None:
            self._out_since_s = sight.now_s

    def is_regrouped(self, sight: Sight) -> bool:
        """Returns whether a group was adopted since the round started."""
        return sight.generations != self._generations

    def next_s(self, sight: Sight) -> float | None:
        """Returns the pause after a round, None to give up."""
        is_regrouped = self.is_regrouped(sight)
        self.note(sight)
        if self._is_over(sight.now_s):
            return None
        if is_regrouped:
            self._pause_s = FIRST_PAUSE_S
            return 0
        pause_s = self._pause_s
        self._pause_s = min(GROWTH * pause_s, self._limits.longest_pause_s)
        return pause_s

    def _is_over(self, now_s: float) -> bool:
        if now_s >= self._ends_s:
            return True
        since_s = self._out_since_s
        return (
            since_s is not None
            and now_s - since_s >= self._limits.out_of_reach_s
        )


class Retries:
    """Counts the rounds of one request and waits between them."""

    def __init__(
        self, shards: Callable[[], Iterable[GroupPeers]], limits: RetryLimits
    ) -> None:
        """Starts with the first round; `shards` returns those it asks."""
        self.rounds = 1
        self.is_regrouped = False  # a newer group ended the last wait
        self._shards = shards
        self._pauses = RetryPauses(limits, self._look())

    async def wait(self) -> bool:
        """Waits for the next round; returns False if there is none."""
        sight = self._look()
        self.is_regrouped = self._pauses.is_regrouped(sight)
        pause_s = self._pauses.next_s(sight)
        if pause_s is None:
            return False
        # Spread, so that requests that failed together do not return together.
        await asyncio.sleep(pause_s * random.uniform(SHORTEST_SHARE, 1))
        self._pauses.note(self._look())
        self.rounds += 1
        return True

    def _look(self) -> Sight:
        shards = tuple(self._shards())
        return Sight(
            time.monotonic(),
            tuple(peers.group.generation for peers in shards),
            all(peers.has_quorum for peers in shards),
        )

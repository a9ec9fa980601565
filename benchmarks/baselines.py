"""Routers that send each call at once, as the common balancers do."""

import random
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from cactusledge.routing.group_selection import rendezvous_weight
from cactusledge.routing.types import (
    CacheEvent,
    Effect,
    EngineReport,
    Grant,
    Job,
    JobResult,
    Refusal,
    RefusalReason,
)

LOAD_BOUND = 1.25  # of the mean load, for prefix affinity
NO_ENGINE_RETRY_S = 1.0


class Member(NamedTuple):
    """An engine of the lagging list."""

    name: str
    data_centre: str
    leaving: bool = False


class Router(Protocol):
    """What the benchmark asks of a policy."""

    def membership(
        self, members: Sequence[Member], cut: str, now: float
    ) -> list[Effect]:
        """Takes the engines in, and which data centre is cut off."""

    def submit(self, job: Job, data_centre: str, now: float) -> list[Effect]:
        """Takes a call of a program of a data centre."""

    def cancel(self, job_id: str, now: float) -> list[Effect]:
        """Takes a call back."""

    def finish(self, finish: JobResult, now: float) -> list[Effect]:
        """Takes in how a call ended."""

    def paused(
        self, program_id: str, pause_s: float, now: float
    ) -> list[Effect]:
        """Takes in that a program waits for a tool."""

    def ended(self, program_id: str, now: float) -> list[Effect]:
        """Takes in that a program has ended."""

    def report(self, report: EngineReport, now: float) -> list[Effect]:
        """Takes an engine's lagging report in."""

    def cache_event(self, event: CacheEvent) -> None:
        """Takes an engine's late cache event in."""

    def tick(self, now: float) -> list[Effect]:
        """Acts on the passing of time."""


def reachable(
    members: Sequence[Member], cut: str, data_centre: str
) -> list[str]:
    """Returns the engines on the caller's side of a partition."""
    return [
        member.name
        for member in members
        if not member.leaving
        and (member.data_centre == cut) == (data_centre == cut)
    ]


class Balancer:
    """Sends each call at once; subclasses pick the engine."""

    def __init__(self, seed: int) -> None:
        """Starts without engines."""
        self.rng = random.Random(seed)
        self.in_flight: Counter[str] = Counter()
        self._sent: dict[str, str] = {}
        self._members: Sequence[Member] = ()
        self._cut = ''

    def pick(self, job: Job, names: list[str]) -> str:
        """Returns the engine for a call."""
        raise NotImplementedError

    def membership(
        self, members: Sequence[Member], cut: str, now: float
    ) -> list[Effect]:
        """Takes the engines in, and which data centre is cut off."""
        self._members = members
        self._cut = cut
        return []

    def submit(self, job: Job, data_centre: str, now: float) -> list[Effect]:
        """Sends a call at once."""
        names = reachable(self._members, self._cut, data_centre)
        if not names:
            reason = RefusalReason.NO_ENGINE
            return [Refusal(job.job_id, NO_ENGINE_RETRY_S, reason)]
        name = self.pick(job, names)
        self.in_flight[name] += 1
        self._sent[job.job_id] = name
        return [Grant(job.job_id, name)]

    def cancel(self, job_id: str, now: float) -> list[Effect]:
        """Counts a call as gone."""
        name = self._sent.pop(job_id, None)
        if name is not None:
            self.in_flight[name] -= 1
        return []

    def finish(self, finish: JobResult, now: float) -> list[Effect]:
        """Counts a call as gone."""
        return self.cancel(finish.job_id, now)

    def paused(
        self, program_id: str, pause_s: float, now: float
    ) -> list[Effect]:
        """Does nothing."""
        return []

    def ended(self, program_id: str, now: float) -> list[Effect]:
        """Does nothing."""
        return []

    def report(self, report: EngineReport, now: float) -> list[Effect]:
        """Does nothing."""
        return []

    def cache_event(self, event: CacheEvent) -> None:
        """Does nothing."""

    def tick(self, now: float) -> list[Effect]:
        """Does nothing."""
        return []


class RandomBalancer(Balancer):
    """Picks any engine."""

    def pick(self, job: Job, names: list[str]) -> str:
        """Returns a random engine."""
        return self.rng.choice(names)


class RoundRobin(Balancer):
    """Picks the engines in turn."""

    def __init__(self, seed: int) -> None:
        """Starts with the first engine."""
        super().__init__(seed)
        self._next = 0

    def pick(self, job: Job, names: list[str]) -> str:
        """Returns the next engine."""
        self._next += 1
        return names[self._next % len(names)]


class LeastInFlight(Balancer):
    """Picks the engine with the fewest calls, with exact counts."""

    def pick(self, job: Job, names: list[str]) -> str:
        """Returns the least loaded engine; ties are broken at random."""
        return min(
            names, key=lambda name: (self.in_flight[name], self.rng.random())
        )


class PrefixAffinity(Balancer):
    """Keeps a program on its engine while that has at most its bound."""

    def pick(self, job: Job, names: list[str]) -> str:
        """Returns the first engine in rendezvous order below the bound."""
        total = sum(self.in_flight[name] for name in names) + 1
        bound = LOAD_BOUND * total / len(names)
        order = sorted(
            names,
            key=lambda name: rendezvous_weight(name, job.program_id),
            reverse=True,
        )
        return next(
            (name for name in order if self.in_flight[name] + 1 <= bound + 1),
            order[0],
        )

"""Remembers which requests ran on endpoints that ended; pure.

A request that is answered anywhere was not the cause of an end shortly after,
or of any before.
"""

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator, Mapping
from types import MappingProxyType

from cactusledge.records.gateway_messages import (
    AnsweredKey,
    CrashedRun,
    RequestKeys,
)

FORGET_S = 600.0  # ends of endpoints
MAX_ENDPOINTS = 256  # lifetimes that ended; the oldest are forgotten
ANSWER_TTL_S = 10.0  # an answer before an end counts for so long
MAX_ANSWERED = 8192  # keys; the oldest are forgotten

LifetimeKey = tuple[str, int]  # id and start of an endpoint
Ends = Mapping[LifetimeKey, float]  # when each lifetime ended
NO_ENDS: Ends = MappingProxyType({})


class CrashHistory:
    """Endpoints that ended, and the requests that ran on them."""

    def __init__(self) -> None:
        """Starts empty."""
        self._runs: OrderedDict[LifetimeKey, set[RequestKeys]] = OrderedDict()
        self._ended_s: dict[LifetimeKey, float] = {}  # as first seen
        self._lifetimes: dict[str, set[LifetimeKey]] = {}  # by key
        self._answered_s: OrderedDict[str, float] = OrderedDict()  # by key
        self._cleared: set[str] = set()  # keys with ends, answered recently

    def add(self, run: CrashedRun, now_s: float) -> bool:
        """Adds a request that ran on an endpoint; returns whether it is new."""
        lifetime = (run.endpoint_id, run.born_ms)
        if run.age_s >= FORGET_S or run.keys in self.runs_at(lifetime):
            return False
        self._runs.setdefault(lifetime, set()).add(run.keys)
        self._ended_s.setdefault(lifetime, now_s - run.age_s)
        for key in run.keys:
            self._lifetimes.setdefault(key, set()).add(lifetime)
            if key in self._answered_s:
                self._cleared.add(key)
        while len(self._runs) > MAX_ENDPOINTS:
            self._forget(next(iter(self._runs)))
        return True

    def add_answered(self, keys: Iterable[str], at_s: float) -> None:
        """Adds that a request with these keys was answered."""
        for key in keys:
            known_s = self._answered_s.get(key, -math.inf)
            self._answered_s[key] = max(known_s, at_s)
            self._answered_s.move_to_end(key)
            if key in self._lifetimes:
                self._cleared.add(key)
        while len(self._answered_s) > MAX_ANSWERED:
            self._answered_s.popitem(last=False)

    def runs_at(self, lifetime: LifetimeKey) -> Collection[RequestKeys]:
        """Returns the requests that ran on a lifetime when it ended."""
        return self._runs.get(lifetime, frozenset())

    def count_of(self, key: str) -> int:
        """Returns the ends with this key, answered or not."""
        return len(self._lifetimes.get(key, NO_ENDS))

    def ends_of(self, key: str) -> Ends:
        """Returns the ends that a key may have caused."""
        lifetimes = self._lifetimes.get(key)
        if not lifetimes:
            return NO_ENDS
        cleared_s = self._answered_s.get(key, -math.inf) + ANSWER_TTL_S
        return {
            lifetime: self._ended_s[lifetime]
            for lifetime in lifetimes
            if cleared_s < self._ended_s[lifetime]
        }

    def answered(self, now_s: float, limit_s: float) -> Iterator[AnsweredKey]:
        """Yields keys with ends that were answered, for so long."""
        ages_s = {
            key: now_s - self._answered_s.get(key, -math.inf)
            for key in self._cleared
        }
        self._cleared = {
            key for key, age_s in ages_s.items() if age_s < limit_s
        }
        for key in self._cleared:
            yield AnsweredKey(key, max(0, ages_s[key]))

    def recent_runs(self, now_s: float, limit_s: float) -> Iterator[CrashedRun]:
        """Yields the runs of the last ends; forgets old ends."""
        self._forget_old(now_s)
        for lifetime, runs in self._runs.items():
            age_s = max(0, now_s - self._ended_s[lifetime])
            if age_s < limit_s:
                for keys in runs:
                    yield CrashedRun(*lifetime, keys, age_s)

    def runs_of(self, target: str, now_s: float) -> Iterator[CrashedRun]:
        """Yields all runs with a target."""
        for lifetime in self._lifetimes.get(target, ()):
            age_s = max(0, now_s - self._ended_s[lifetime])
            for keys in self._runs[lifetime]:
                if keys.target == target:
                    yield CrashedRun(*lifetime, keys, age_s)

    def _forget_old(self, now_s: float) -> None:
        old = [
            lifetime
            for lifetime, at_s in self._ended_s.items()
            if now_s - at_s >= FORGET_S
        ]
        for lifetime in old:
            self._forget(lifetime)

    def _forget(self, lifetime: LifetimeKey) -> None:
        runs = self._runs.pop(lifetime)
        self._ended_s.pop(lifetime)
        forgotten = {key for keys in runs for key in keys}
        for key in forgotten:
            lifetimes = self._lifetimes[key]
            lifetimes.remove(lifetime)
            if not lifetimes:
                self._lifetimes.pop(key)

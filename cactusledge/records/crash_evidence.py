"""Decides which requests crash the endpoints that run them; pure.

When an endpoint ends, each request that ran there may be the cause. Of those,
the one with the most ends explains the end, the first to have as many if they
are equal, so that the others are not suspected of it. What is answered anywhere
is not suspected.
"""

import itertools
import math
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from cactusledge.records.crash_history import CrashHistory, Ends, LifetimeKey
from cactusledge.records.gateway_messages import (
    AnsweredKey,
    CrashedRun,
    CrashReport,
    RequestKeys,
)

STOP_AFTER = 3  # ends that no other request explains
STOP_AFTER_SHARED = 5  # ends, even if another request ran at all of them
STOP_S = 30.0  # after the last end; twice as long after each further one
MAX_STOP_S = 600.0
REPORT_S = 4.0  # how long new evidence is reported
MAX_REPORTED = 512  # runs in one report

Rivals = Mapping[LifetimeKey, list[Ends]]  # other requests, by lifetime


class _Case(NamedTuple):
    """The ends of endpoints that one key of a request may have caused."""

    ends: Ends
    unexplained: int  # ends that no other request explains better
    is_shared: bool  # another request ran at all of them
    may_stop: bool = True  # False: suspected only

    def stopped_for_s(self, now_s: float) -> float:
        """Returns how much longer the request is stopped, 0 if it is not."""
        limit = STOP_AFTER_SHARED if self.is_shared else STOP_AFTER
        is_proven = len(self.ends) >= STOP_AFTER_SHARED
        if not self.may_stop or (self.unexplained < limit and not is_proven):
            return 0
        further = max(0, self.unexplained - STOP_AFTER)
        stop_s = min(MAX_STOP_S, STOP_S * math.pow(2, further))
        return max(0, max(self.ends.values()) + stop_s - now_s)


class CrashEvidence:
    """What shows which requests crash endpoints.

    Observations travel with their age, so that the clocks of instances need
    not agree.
    """

    def __init__(self) -> None:
        """Starts without evidence."""
        self._history = CrashHistory()
        self._stopped_until_s: dict[str, float] = {}  # by target

    def add(self, run: CrashedRun, now_s: float) -> bool:
        """Adds a request that ran on an endpoint; returns whether it is new."""
        is_new = self._history.add(run, now_s)
        stopped_for_s = self.stopped_for_s(run.keys, now_s) if is_new else 0
        if stopped_for_s:
            self._stopped_until_s[run.keys.target] = now_s + stopped_for_s
        return is_new

    def add_answered(self, keys: Iterable[str], at_s: float) -> None:
        """Adds that a request with these keys was answered."""
        self._history.add_answered(keys, at_s)

    def add_answered_keys(
        self, answered: Iterable[AnsweredKey], now_s: float
    ) -> None:
        """Adds which requests others saw answered."""
        for seen in answered:
            self._history.add_answered((seen.key,), now_s - seen.age_s)

    def add_reported(self, report: CrashReport, now_s: float) -> None:
        """Adds what others know."""
        self.add_answered_keys(report.answered, now_s)
        for run in report.runs:
            self.add(run, now_s)

    def suspicion(self, keys: RequestKeys) -> int:
        """Returns how many ends of endpoints a request best explains."""
        return max((case.unexplained for case in self._cases(keys)), default=0)

    def stopped_for_s(self, keys: RequestKeys, now_s: float) -> float:
        """Returns how much longer a request is stopped, 0 if it may run."""
        if self._history.count_of(keys.target) < STOP_AFTER:
            return 0
        return max(
            (case.stopped_for_s(now_s) for case in self._cases(keys)),
            default=0,
        )

    def to_report(self, now_s: float) -> CrashReport:
        """Returns what others may not know yet: news, and what is stopped."""
        history = self._history
        self._stopped_until_s = {
            target: until_s
            for target, until_s in self._stopped_until_s.items()
            if now_s < until_s
        }
        runs = set(history.recent_runs(now_s, REPORT_S))
        for target in self._stopped_until_s:
            runs.update(history.runs_of(target, now_s))
        return CrashReport(
            tuple(itertools.islice(runs, MAX_REPORTED)),
            tuple(history.answered(now_s, REPORT_S)),
        )

    def _cases(self, keys: RequestKeys) -> Iterator[_Case]:
        """Yields what the body, and what the target alone, may have caused."""
        history = self._history
        target_ends = history.ends_of(keys.target)
        exact_ends = history.ends_of(keys.exact)
        if exact_ends:
            yield compare(exact_ends, self._other_bodies(exact_ends, keys))
        by_one_body = max(
            (
                len(history.ends_of(run.exact))
                for lifetime in target_ends
                for run in history.runs_at(lifetime)
                if run.target == keys.target
            ),
            default=0,
        )
        if target_ends:
            case = compare(target_ends, self._other_targets(target_ends, keys))
            yield case._replace(may_stop=len(target_ends) > by_one_body)

    def _other_bodies(self, ends: Ends, keys: RequestKeys) -> Rivals:
        """Returns the ends of the other requests that ran there."""
        return {
            lifetime: [
                self._most_ends(run, keys)
                for run in self._history.runs_at(lifetime)
                if run.exact != keys.exact
            ]
            for lifetime in ends
        }

    def _most_ends(self, run: RequestKeys, keys: RequestKeys) -> Ends:
        """Returns the ends of another request, in all forms if it has any."""
        found = run[:1] if run.target == keys.target else run
        return max(map(self._history.ends_of, found), key=len)

    def _other_targets(self, ends: Ends, keys: RequestKeys) -> Rivals:
        """Returns the ends of the requests to other targets that ran there."""
        return {
            lifetime: [
                self._history.ends_of(run.target)
                for run in self._history.runs_at(lifetime)
                if run.target != keys.target
            ]
            for lifetime in ends
        }


def compare(ends: Ends, rivals: Rivals) -> _Case:
    """Compares a request's ends with those of the others that ran there."""
    unexplained = sum(
        not any(is_stronger(other, ends) for other in rivals[lifetime])
        for lifetime in ends
    )
    first = next(iter(ends))
    is_shared = any(ends.keys() <= other.keys() for other in rivals[first])
    return _Case(ends, unexplained, is_shared)


def is_stronger(other: Ends, ends: Ends) -> bool:
    """Returns whether another request explains ends better."""
    if len(other) != len(ends):
        return len(other) > len(ends)
    return max(other.values()) < max(ends.values())

"""Decides which part of a quota a store may grant; pure.

The part that its gateways' demand has in that of all stores. A store that is
silent may be cut off and still grant: the stores on this side then divide only
the part that all of them had when each was last heard, so that two sides of a
cut together keep to a quota.
"""

from collections.abc import Collection, Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

SILENT_S = 0.7  # without a report of a store's demands
FORGET_S = 600.0  # a silent store, unless the group drops it before
NOBODY: Mapping[str, float] = MappingProxyType({})


class _Heard(NamedTuple):
    """The demands at a store, and when they were reported."""

    demands: Mapping[str, float]
    at_s: float


class _Snapshot(NamedTuple):
    """The demands at all stores at a time when none was silent."""

    own: Mapping[str, float]
    others: Mapping[str, _Heard]
    at_s: float


class StoreParts:
    """The demands at the stores of a group, now and before a silence."""

    def __init__(self) -> None:
        """Starts without other stores."""
        self._others: dict[str, _Heard] = {}
        self._silent: frozenset[str] = frozenset()
        self._group: frozenset[str] | None = None
        # The snapshot before the latest counts: it was taken before a store
        # could be silent unnoticed.
        self._latest = _Snapshot(NOBODY, {}, 0)
        self._before = self._latest

    @property
    def is_whole(self) -> bool:
        """Whether all stores have been heard lately."""
        return not self._silent

    def set_group(self, names: Collection[str]) -> None:
        """Sets the other stores of the group; unknown ones are silent."""
        self._group = frozenset(names)
        self._others = {
            name: heard
            for name, heard in self._others.items()
            if name in self._group
        }

    def share(
        self,
        store: str,
        demands: Mapping[str, float],
        own: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Stores the demands at another store; `own` are those at this one."""
        if self._group is not None and store not in self._group:
            return
        self._others[store] = _Heard(demands, now_s)
        self._find_silent(now_s)
        if not self._silent and now_s - self._latest.at_s >= SILENT_S:
            self._before = self._latest
            self._latest = _Snapshot(own, dict(self._others), now_s)

    def elsewhere(self, account: str) -> float:
        """Returns the last known demand at all other stores."""
        return sum(
            heard.demands.get(account, 0) for heard in self._others.values()
        )

    def part(
        self, account: str, here: float, even: float, now_s: float
    ) -> float:
        """Returns this store's part of a quota, over 0 to 1.

        Args:
            account: The account with the quota.
            here: Its demand at this store.
            even: The demand that all stores have besides, in equal parts.
            now_s: The time.
        """
        self._find_silent(now_s)
        least = even / (1 + len(self._silent.union(self._others)))
        others = [
            heard.demands.get(account, 0) + least
            for name, heard in self._others.items()
            if name not in self._silent
        ]
        own = here + least
        return own / (own + sum(others)) * self._unreserved(account, least)

    def _unreserved(self, account: str, least: float) -> float:
        """Returns the part of the stores that are heard, over 0 to 1."""
        if not self._silent:
            return 1
        before = self._before
        weights = {
            name: least + _demand(before.others.get(name), account)
            for name in (*self._others, *self._silent)
        }
        own = before.own.get(account, 0) + least
        total = own + sum(weights.values())
        return 1 - sum(weights[name] for name in self._silent) / total

    def _find_silent(self, now_s: float) -> None:
        self._others = {
            name: heard
            for name, heard in self._others.items()
            if now_s - heard.at_s < FORGET_S
        }
        known: Iterable[str] = self._others
        if self._group is not None:
            known = self._group
        self._silent = frozenset(
            name
            for name in known
            if name not in self._others
            or now_s - self._others[name].at_s >= SILENT_S
        )


def _demand(heard: _Heard | None, account: str) -> float:
    return heard.demands.get(account, 0) if heard else 0

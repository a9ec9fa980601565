"""Which members are alive, judged by the progress of their counters."""

import enum
import math
from collections.abc import Iterable
from typing import NamedTuple

from cactusledge.peers import rendezvous
from cactusledge.peers.messages import MemberView
from cactusledge.peers.view import Member, Table

INTERVAL_S = 1.0
SMALL_MEMBERSHIP = 32  # up to this size all members are near
SUSPECT_AFTER_S = 1.5
DEAD_AFTER_S = 2.5
SPREAD_BASE = 8  # members for which the bounds above hold
SPREAD_S = 1.0  # added to the bounds for each doubling beyond that
FAR_DEAD_AFTER_S = 60.0


class Liveness(enum.StrEnum):
    """What is believed of a member."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'


class Bounds(NamedTuple):
    """How long a member may go without progress."""

    suspect_s: float
    dead_s: float


def is_near(view: MemberView, data_centre: str, members: int) -> bool:
    """Returns whether every heartbeat carries the member's digest."""
    return members <= SMALL_MEMBERSHIP or view.data_centre == data_centre


def near_bounds(members: int, interval_s: float = INTERVAL_S) -> Bounds:
    """Returns the bounds for so many near members.

    A longer interval than the usual one lengthens them in proportion.
    """
    doublings = max(0, math.log2(max(members, 1) / SPREAD_BASE))
    spread_s = SPREAD_S * doublings
    scale = scale_of(interval_s)
    return Bounds(
        (SUSPECT_AFTER_S + spread_s) * scale,
        (DEAD_AFTER_S + spread_s) * scale,
    )


def far_bounds(interval_s: float = INTERVAL_S) -> Bounds:
    """Returns the bounds for far members."""
    dead_s = FAR_DEAD_AFTER_S * scale_of(interval_s)
    return Bounds(dead_s / 2, dead_s)


def scale_of(interval_s: float) -> float:
    """Returns the factor by which an interval lengthens the bounds."""
    return max(1, interval_s / INTERVAL_S)


def liveness(member: Member, bounds: Bounds, now_s: float) -> Liveness:
    """Returns what is believed of a member."""
    silent_s = now_s - member.progress_at_s
    if silent_s < bounds.suspect_s:
        return Liveness.ALIVE
    return Liveness.SUSPECT if silent_s < bounds.dead_s else Liveness.DEAD


class LiveMembers(NamedTuple):
    """The members believed alive at one moment; immutable."""

    me: str
    members: tuple[MemberView, ...]  # in the order of their names

    def alive(self, data_centre: str | None = None) -> tuple[MemberView, ...]:
        """Returns the members that take new work, the present one included."""
        return tuple(
            view
            for view in self.members
            if not view.leaving and data_centre in {None, view.data_centre}
        )

    def ranked(
        self,
        key: str,
        data_centre: str | None = None,
    ) -> tuple[MemberView, ...]:
        """Returns the members from the key's owner to its last substitute."""
        by_name = {view.name: view for view in self.alive(data_centre)}
        names = rendezvous.ranked(key, by_name)
        return tuple(by_name[name] for name in names)

    def owner_of(
        self,
        key: str,
        data_centre: str | None = None,
    ) -> MemberView | None:
        """Returns the key's owner, None if no member is alive there."""
        by_name = {view.name: view for view in self.alive(data_centre)}
        name = rendezvous.owner(key, by_name)
        return by_name[name] if name else None

    def find(self, name: str) -> MemberView | None:
        """Returns a member believed alive, leaving or not."""
        return next((one for one in self.members if one.name == name), None)


def live_members(
    me: MemberView,
    table: Table,
    unreachable: Iterable[str],
    now_s: float,
    interval_s: float = INTERVAL_S,
) -> LiveMembers:
    """Returns the members not believed dead.

    Args:
        me: The present instance's own view, always alive.
        table: The other members.
        unreachable: Names that did not take a message since their progress.
        now_s: The time.
        interval_s: The time between heartbeats.
    """
    excluded = frozenset(unreachable)
    near, far = by_distance(me, table)
    limits = (
        (near, near_bounds(len(near) + 1, interval_s)),
        (far, far_bounds(interval_s)),
    )
    views = [
        member.view
        for members, bounds in limits
        for member in members
        if liveness(member, bounds, now_s) is not Liveness.DEAD
        and member.view.name not in excluded
    ]
    return LiveMembers(me.name, tuple(sorted([me, *views], key=by_name)))


def by_distance(
    me: MemberView,
    table: Table,
) -> tuple[tuple[Member, ...], tuple[Member, ...]]:
    """Returns the near and the far members."""
    total = len(table) + 1
    near: list[Member] = []
    far: list[Member] = []
    for member in table.values():
        is_in_scope = is_near(member.view, me.data_centre, total)
        (near if is_in_scope else far).append(member)
    return tuple(near), tuple(far)


def by_name(view: MemberView) -> str:
    """Returns the sort key of members."""
    return view.name

"""Failure detector: judges members by the growth of their counters.

Near members are all those of a small membership, and the members in the same
data centre of a larger one. Heartbeats carry the digests of all near members
but only a slice of the others, so the timeouts of far members are longer.
"""

import enum
import math
from collections.abc import Iterable
from typing import NamedTuple

from cactusledge.peers import rendezvous
from cactusledge.peers.member_table import Member, MemberTable
from cactusledge.peers.messages import MemberView

HEARTBEAT_INTERVAL_S = 1.0
SMALL_MEMBERSHIP = 32  # members, up to which all of them are near
SUSPECT_AFTER_S = 1.5
DEAD_AFTER_S = 2.5
BASE_NEAR_MEMBERS = 8  # near members for which the timeouts above hold
EXTRA_PER_DOUBLING_S = 1.0  # per doubling beyond that
FAR_DEAD_AFTER_S = 60.0


class Liveness(enum.StrEnum):
    """State of a member as seen by this instance."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'


class LivenessTimeouts(NamedTuple):
    """Time without progress after which a member is suspect or dead."""

    suspect_after_s: float
    dead_after_s: float


def is_near(view: MemberView, data_centre: str, members: int) -> bool:
    """Returns whether every heartbeat carries the member's digest."""
    return members <= SMALL_MEMBERSHIP or view.data_centre == data_centre


def near_timeouts(
    members: int, interval_s: float = HEARTBEAT_INTERVAL_S
) -> LivenessTimeouts:
    """Returns the timeouts for a number of near members.

    They grow with each doubling of the members, because progress takes longer
    to spread, and in proportion to an interval longer than the default.
    """
    doublings = max(0, math.log2(max(members, 1) / BASE_NEAR_MEMBERS))
    extra_s = EXTRA_PER_DOUBLING_S * doublings
    scale = timeout_scale(interval_s)
    return LivenessTimeouts(
        (SUSPECT_AFTER_S + extra_s) * scale,
        (DEAD_AFTER_S + extra_s) * scale,
    )


def far_timeouts(interval_s: float = HEARTBEAT_INTERVAL_S) -> LivenessTimeouts:
    """Returns the timeouts for far members."""
    dead_after_s = FAR_DEAD_AFTER_S * timeout_scale(interval_s)
    return LivenessTimeouts(dead_after_s / 2, dead_after_s)


def timeout_scale(interval_s: float) -> float:
    """Returns the factor by which an interval lengthens the timeouts."""
    return max(1, interval_s / HEARTBEAT_INTERVAL_S)


def assess_liveness(
    member: Member, timeouts: LivenessTimeouts, now_s: float
) -> Liveness:
    """Returns the state of a member by its time without progress."""
    silent_s = now_s - member.progress_at_s
    if silent_s < timeouts.suspect_after_s:
        return Liveness.ALIVE
    return (
        Liveness.SUSPECT if silent_s < timeouts.dead_after_s else Liveness.DEAD
    )


class LiveMembers(NamedTuple):
    """Snapshot of the members not believed dead; immutable."""

    me: str
    members: tuple[MemberView, ...]  # sorted by name

    def available(
        self, data_centre: str | None = None
    ) -> tuple[MemberView, ...]:
        """Returns the members, `me` included, that accept new work."""
        return tuple(
            view
            for view in self.members
            if not view.leaving and data_centre in {None, view.data_centre}
        )

    def rank_members(
        self,
        key: str,
        data_centre: str | None = None,
    ) -> tuple[MemberView, ...]:
        """Returns the available members in the key's rendezvous order."""
        by_name = {view.name: view for view in self.available(data_centre)}
        names = rendezvous.rank_members(key, by_name)
        return tuple(by_name[name] for name in names)

    def owner_of(
        self,
        key: str,
        data_centre: str | None = None,
    ) -> MemberView | None:
        """Returns the key's owner, or None if no member is available."""
        by_name = {view.name: view for view in self.available(data_centre)}
        name = rendezvous.owner(key, by_name)
        return by_name[name] if name else None

    def find(self, name: str) -> MemberView | None:
        """Returns a live member by name, leaving or not."""
        return next((one for one in self.members if one.name == name), None)


def live_members(
    me: MemberView,
    table: MemberTable,
    unreachable: Iterable[str],
    now_s: float,
    interval_s: float = HEARTBEAT_INTERVAL_S,
) -> LiveMembers:
    """Returns the members not believed dead.

    Args:
        me: This instance's own view, always included.
        table: The other members.
        unreachable: Names of members to which a message could not be
            delivered since their last progress.
        now_s: Current monotonic time.
        interval_s: Time between heartbeats.
    """
    excluded = frozenset(unreachable)
    near, far = partition_members(me, table)
    limits = (
        (near, near_timeouts(len(near) + 1, interval_s)),
        (far, far_timeouts(interval_s)),
    )
    views = [
        member.view
        for members, timeouts in limits
        for member in members
        if assess_liveness(member, timeouts, now_s) is not Liveness.DEAD
        and member.view.name not in excluded
    ]
    return LiveMembers(me.name, tuple(sorted([me, *views], key=member_name)))


def partition_members(
    me: MemberView,
    table: MemberTable,
) -> tuple[tuple[Member, ...], tuple[Member, ...]]:
    """Returns the near and the far members."""
    total = len(table) + 1
    near: list[Member] = []
    far: list[Member] = []
    for member in table.values():
        is_in_scope = is_near(member.view, me.data_centre, total)
        (near if is_in_scope else far).append(member)
    return tuple(near), tuple(far)


def member_name(view: MemberView) -> str:
    """Returns the sort key of members."""
    return view.name

"""Gossip protocol that spreads membership through heartbeats.

All functions are pure: they take a state and a message and return new ones.
Every heartbeat carries digests of all near members and of a rotating slice
of the far ones. A full view is sent only to a peer whose own is older.
"""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from cactusledge.peers import rendezvous
from cactusledge.peers.liveness import (
    HEARTBEAT_INTERVAL_S,
    SMALL_MEMBERSHIP,
    LiveMembers,
    is_near,
    live_members,
)
from cactusledge.peers.member_table import (
    Member,
    MemberTable,
    merge_updates,
    newer_entries,
)
from cactusledge.peers.messages import (
    Heartbeat,
    HeartbeatReply,
    MemberDigest,
    MemberView,
)

FANOUT = 3  # near peers that get a heartbeat in each interval
LARGE_FANOUT = 2  # the same with more than SMALL_MEMBERSHIP members
FAR_HEARTBEAT_ROUNDS = 5  # rounds between heartbeats to a far member
MAX_FAR_DIGESTS = 16  # per heartbeat
MEMBER_RETENTION_S = 3600.0

Shuffle = Callable[[list[str]], None]
NONE_UNREACHABLE: Mapping[str, float] = MappingProxyType({})


class GossipState(NamedTuple):
    """Membership as one instance knows it."""

    me: MemberView
    table: MemberTable = MappingProxyType({})  # without this instance
    unreachable: Mapping[str, float] = NONE_UNREACHABLE  # progress when marked
    rotation: tuple[str, ...] = ()  # near members still due in this cycle
    round_number: int = 0
    interval_s: float = HEARTBEAT_INTERVAL_S

    def live(self, now_s: float) -> LiveMembers:
        """Returns the live members that are not marked unreachable."""
        excluded = [
            name
            for name, progress_at_s in self.unreachable.items()
            if self.table[name].progress_at_s <= progress_at_s
        ]
        return live_members(
            self.me,
            self.table,
            excluded,
            now_s,
            self.interval_s,
        )


class GossipRound(NamedTuple):
    """A new round's state and the members to send heartbeats to."""

    state: GossipState
    targets: tuple[MemberView, ...]


class HeartbeatResult(NamedTuple):
    """The state after a received heartbeat, and the reply to it."""

    state: GossipState
    reply: HeartbeatReply


def begin_round(
    state: GossipState, now_s: float, shuffle: Shuffle
) -> GossipRound:
    """Starts the round of an interval and selects its targets."""
    me = state.me._replace(counter=state.me.counter + 1)
    state = remove_expired(state, now_s)._replace(
        me=me, round_number=state.round_number + 1
    )
    near, far = partition_views(state, state.live(now_s).members)
    fanout = LARGE_FANOUT if len(state.table) > SMALL_MEMBERSHIP else FANOUT
    by_name = {view.name: view for view in near}
    due = [name for name in state.rotation if name in by_name]
    if len(due) < fanout:
        others = [name for name in by_name if name not in due]
        shuffle(others)
        due.extend(others)
    chosen = [by_name[name] for name in due[:fanout]]
    if far and state.round_number % FAR_HEARTBEAT_ROUNDS == 0:
        names = [view.name for view in far]
        shuffle(names)
        chosen.append(state.table[names[0]].view)
    state = state._replace(rotation=tuple(due[fanout:]))
    return GossipRound(state, tuple(chosen))


def build_heartbeat(
    state: GossipState,
    peer: str | None,
    now_s: float,
) -> Heartbeat:
    """Returns the heartbeat for a peer; an unknown peer gets `me` too."""
    near, far = partition_views(state, state.live(now_s).members)
    members = () if peer in state.table else (state.me,)
    digest = [Member(state.me, now_s).digest_at(now_s)]
    digest.extend(
        state.table[view.name].digest_at(now_s)
        for view in (*near, *rotating_slice(state, far))
    )
    return Heartbeat(state.me.name, members, tuple(digest))


def rotating_slice(
    state: GossipState,
    far: tuple[MemberView, ...],
) -> tuple[MemberView, ...]:
    """Returns the far members whose digests are sent in this round.

    The slices of different instances start at different members.
    """
    offset = rendezvous.weight('slice', state.me.name)
    first = (offset + state.round_number * MAX_FAR_DIGESTS) % max(1, len(far))
    return (far[first:] + far[:first])[:MAX_FAR_DIGESTS]


def receive(
    state: GossipState,
    message: Heartbeat,
    now_s: float,
) -> HeartbeatResult:
    """Merges a heartbeat; a new or restarted sender gets all live views."""
    is_new = is_new_run(state, message)
    state, wanted = merge_message(state, message.members, message.digest, now_s)
    full_table = {**state.table, state.me.name: Member(state.me, now_s)}
    if is_new:
        live = state.live(now_s).members
        views = tuple(one for one in live if one.name != message.sender)
        return HeartbeatResult(state, HeartbeatReply(views, (), wanted))
    views, progress = newer_entries(full_table, message.digest, now_s)
    return HeartbeatResult(state, HeartbeatReply(views, progress, wanted))


def receive_reply(
    state: GossipState,
    reply: HeartbeatReply,
    now_s: float,
) -> tuple[GossipState, tuple[MemberView, ...]]:
    """Merges a reply; returns the state and the views the peer wants."""
    state, _ = merge_message(state, reply.members, reply.digest, now_s)
    views = [
        known.view
        for name, known in state.table.items()
        if name in reply.wanted
    ]
    if state.me.name in reply.wanted:
        views.append(state.me)
    return state, tuple(views)


def merge_message(
    state: GossipState,
    views: Iterable[MemberView],
    digests: Iterable[MemberDigest],
    now_s: float,
) -> tuple[GossipState, tuple[str, ...]]:
    """Merges views and digests; also returns the names of missing views.

    If a view comes from another run under this instance's name, this
    instance takes a higher incarnation than that run.
    """
    me = state.me
    other_incarnations = [
        view.incarnation for view in views if is_from_other_run(me, view)
    ]
    if other_incarnations:
        me = me._replace(incarnation=max(other_incarnations) + 1)
    merged = merge_updates(
        state.table,
        [view for view in views if view.name != me.name],
        [digest for digest in digests if digest.name != me.name],
        now_s,
    )
    return state._replace(me=me, table=merged.table), merged.wanted


def is_new_run(state: GossipState, message: Heartbeat) -> bool:
    """Returns whether the sender is unknown or has a new incarnation."""
    known = state.table.get(message.sender)
    if known is None:
        return True
    return any(
        view.name == message.sender
        and view.incarnation > known.view.incarnation
        for view in message.members
    )


def is_from_other_run(me: MemberView, view: MemberView) -> bool:
    """Returns whether another run under the name of `me` sent the view.

    Such a view is newer than the one that this run holds of itself.
    """
    if view.name != me.name:
        return False
    held = (me.incarnation, me.counter)
    return (view.incarnation, view.counter) > held


def mark_unreachable(state: GossipState, name: str) -> GossipState:
    """Excludes a member from the live ones until its counter grows."""
    known = state.table.get(name)
    if known is None:
        return state
    marks = {**state.unreachable, name: known.progress_at_s}
    return state._replace(unreachable=marks)


def set_state(state: GossipState, key: str, data: bytes) -> GossipState:
    """Sets an entry of this instance's published state."""
    entries = {**(state.me.state or {}), key: data}
    if entries == state.me.state:
        return state
    version = state.me.version + 1
    return state._replace(me=state.me._replace(version=version, state=entries))


def leave(state: GossipState) -> GossipState:
    """Marks this incarnation as leaving; that cannot be undone."""
    version = state.me.version + 1
    return state._replace(me=state.me._replace(version=version, leaving=True))


def remove_expired(state: GossipState, now_s: float) -> GossipState:
    """Removes members without progress for MEMBER_RETENTION_S."""
    kept = {
        name: known
        for name, known in state.table.items()
        if now_s - known.progress_at_s < MEMBER_RETENTION_S
    }
    marks = {
        name: since_s
        for name, since_s in state.unreachable.items()
        if name in kept
    }
    return state._replace(table=kept, unreachable=marks)


def partition_views(
    state: GossipState,
    views: Iterable[MemberView],
) -> tuple[tuple[MemberView, ...], tuple[MemberView, ...]]:
    """Returns the near and the far members, without this instance."""
    total = len(state.table) + 1
    others = [view for view in views if view.name != state.me.name]
    centre = state.me.data_centre
    near = tuple(view for view in others if is_near(view, centre, total))
    far = tuple(view for view in others if not is_near(view, centre, total))
    return near, far

"""What an instance sends to its peers and learns from them.

Pure: state and message in, state and message out. Every heartbeat carries
digests of all near members and of a rotating slice of the far ones; views
travel only to those that lack them.
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

FANOUT = 3  # peers that a heartbeat goes to in each interval
LARGE_FANOUT = 2  # the same with more than SMALL_MEMBERSHIP members
FAR_HEARTBEAT_ROUNDS = (
    5  # a far member gets a heartbeat every so many intervals
)
MAX_FAR_DIGESTS = 16  # digests of far members in one heartbeat
MEMBER_RETENTION_S = 3600.0

Shuffle = Callable[[list[str]], None]
NONE_UNREACHABLE: Mapping[str, float] = MappingProxyType({})


class GossipState(NamedTuple):
    """What an instance knows; `table` holds the other members."""

    me: MemberView
    table: MemberTable = MappingProxyType({})
    unreachable: Mapping[str, float] = NONE_UNREACHABLE  # last progress by name
    rotation: tuple[str, ...] = ()  # near members still due in this cycle
    round_number: int = 0
    interval_s: float = HEARTBEAT_INTERVAL_S

    def live(self, now_s: float) -> LiveMembers:
        """Returns the members believed alive."""
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
    """The state after an interval and the members due for a heartbeat."""

    state: GossipState
    targets: tuple[MemberView, ...]


class HeartbeatResult(NamedTuple):
    """The state after a message and the answer to it."""

    state: GossipState
    reply: HeartbeatReply


def begin_round(
    state: GossipState, now_s: float, shuffle: Shuffle
) -> GossipRound:
    """Returns the next interval's state and targets."""
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
    """Returns the heartbeat for a peer; a new contact also gets our view."""
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
    """Returns the far members whose turn it is; peers differ in theirs."""
    offset = rendezvous.weight('slice', state.me.name)
    first = (offset + state.round_number * MAX_FAR_DIGESTS) % max(1, len(far))
    return (far[first:] + far[:first])[:MAX_FAR_DIGESTS]


def receive(
    state: GossipState,
    message: Heartbeat,
    now_s: float,
) -> HeartbeatResult:
    """Returns the state after a heartbeat and the reply to it."""
    is_new = is_new_run(state, message)
    state, wanted = merge_message(state, message.members, message.digest, now_s)
    whole = {**state.table, state.me.name: Member(state.me, now_s)}
    if is_new:
        live = state.live(now_s).members
        views = tuple(one for one in live if one.name != message.sender)
        return HeartbeatResult(state, HeartbeatReply(views, (), wanted))
    views, progress = newer_entries(whole, message.digest, now_s)
    return HeartbeatResult(state, HeartbeatReply(views, progress, wanted))


def receive_reply(
    state: GossipState,
    reply: HeartbeatReply,
    now_s: float,
) -> tuple[GossipState, tuple[MemberView, ...]]:
    """Returns the state after a reply and the views that the peer lacks."""
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
    """Returns the state with the news, and the names of views it lacks."""
    me = state.me
    mine = [view.incarnation for view in views if is_from_other_run(me, view)]
    if mine:
        me = me._replace(incarnation=max(mine) + 1)
    merged = merge_updates(
        state.table,
        [view for view in views if view.name != me.name],
        [digest for digest in digests if digest.name != me.name],
        now_s,
    )
    return state._replace(me=me, table=merged.table), merged.wanted


def is_new_run(state: GossipState, message: Heartbeat) -> bool:
    """Returns whether the sender is new to us or in a new incarnation."""
    known = state.table.get(message.sender)
    if known is None:
        return True
    return any(
        view.name == message.sender
        and view.incarnation > known.view.incarnation
        for view in message.members
    )


def is_from_other_run(me: MemberView, view: MemberView) -> bool:
    """Returns whether the view is of another run under our name."""
    if view.name != me.name:
        return False
    held = (me.incarnation, me.counter)
    return (view.incarnation, view.counter) > held


def mark_unreachable(state: GossipState, name: str) -> GossipState:
    """Returns the state with a member set aside until it makes progress."""
    known = state.table.get(name)
    if known is None:
        return state
    marks = {**state.unreachable, name: known.progress_at_s}
    return state._replace(unreachable=marks)


def set_state(state: GossipState, key: str, data: bytes) -> GossipState:
    """Returns the state with an entry of our own state changed."""
    entries = {**(state.me.state or {}), key: data}
    if entries == state.me.state:
        return state
    version = state.me.version + 1
    return state._replace(me=state.me._replace(version=version, state=entries))


def leave(state: GossipState) -> GossipState:
    """Returns the state with our incarnation leaving, for good."""
    version = state.me.version + 1
    return state._replace(me=state.me._replace(version=version, leaving=True))


def remove_expired(state: GossipState, now_s: float) -> GossipState:
    """Returns the state without members dead for a long time."""
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
    """Returns the near and the far ones among the other members."""
    total = len(state.table) + 1
    others = [view for view in views if view.name != state.me.name]
    centre = state.me.data_centre
    near = tuple(view for view in others if is_near(view, centre, total))
    far = tuple(view for view in others if not is_near(view, centre, total))
    return near, far

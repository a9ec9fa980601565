"""Quorum decisions over the replies of a group; pure functions."""

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol, TypeVar

from cactusledge.records.entries import Group, short_id
from cactusledge.records.messages import ReserveReply

Spent = dict[str, tuple[int, bool]]  # turn -> (tokens, settled)


class WriteReply(Protocol):
    """A store's reply to a write."""

    @property
    def log_id(self) -> str:
        """The log that holds the write; a new disk has a new one."""

    @property
    def replaced(self) -> Mapping[str, str]:
        """Present log ids, by store, of those that lost a disk recently."""


ReplyType = TypeVar('ReplyType', bound=WriteReply)


class Verdict(enum.StrEnum):
    """The decision on a turn's request for tokens."""

    GRANTED = 'granted'
    SPENT = 'spent'  # the turn would exceed the budget
    NO_PARENT = 'no_parent'  # the turn to be continued does not exist
    NO_ROOM = 'no_room'  # the stores have no room for what is new
    UNSURE = 'unsure'  # not decidable, such as when too few stores replied


class Demand(NamedTuple):
    """A turn's request for tokens."""

    turn_id: str
    tokens: int
    budget: int | None  # tokens of the whole program, None if unlimited
    parent_id: str


def majority(size: int) -> int:
    """Returns the smallest quorum size at which any two quorums overlap."""
    return size // 2 + 1


def quorum(group: Group) -> int:
    """Returns the size of a quorum of the group."""
    return majority(len(group.members))


def is_quorum(reached: int, group: Group) -> bool:
    """Returns whether `reached` members are a quorum of the group."""
    return bool(group.members) and reached >= quorum(group)


def merge_spent(views: Iterable[Spent]) -> Spent:
    """Returns the union of the stores' figures; a settled one is final."""
    merged: Spent = {}
    for view in views:
        for turn_id, spend in view.items():
            key = short_id(turn_id)
            known = merged.get(key)
            if known is None or (spend[1] and not known[1]):
                merged[key] = spend
    return merged


def total_of_others(spent: Spent, turn_id: str) -> int:
    """Returns the tokens of all turns except the given one."""
    key = short_id(turn_id)
    return sum(tokens for other, (tokens, _) in spent.items() if other != key)


def replies_on_current_disks(
    replies: Mapping[str, ReplyType],
) -> dict[str, ReplyType]:
    """Returns the replies whose disk is not known to have been lost.

    A store that lost its disk reads the other logs before it counts in a
    quorum again. If it confirmed a write on the lost disk, and another store
    wrote it only after its log had been read, the write would be on that
    other disk alone although both replied. The other store's reply was sent
    after the read, so it names the new log and the first reply is left out.
    """
    replaced: dict[str, str] = {}
    for write_reply in replies.values():
        replaced.update(write_reply.replaced)
    return {
        name: reply
        for name, reply in replies.items()
        if replaced.get(name, reply.log_id) == reply.log_id
    }


def decide(
    demand: Demand,
    replies: Mapping[str, ReserveReply],
    needed: int,
) -> Verdict:
    """Returns the verdict over the replies of one round.

    Any verdict but UNSURE needs a quorum of witnesses: a store with an empty
    disk cannot tell whether a record exists.
    """
    witnesses = [reply for reply in replies.values() if reply.is_witness]
    knows_parent = not demand.parent_id or any(
        reply.knows_parent for reply in replies.values()
    )
    if len(witnesses) < needed:
        return Verdict.UNSURE
    if not knows_parent:
        return Verdict.NO_PARENT
    if fits(demand, merge_spent(reply.spent for reply in replies.values())):
        return Verdict.GRANTED
    return Verdict.SPENT


def is_undecidable(replies: Mapping[str, ReserveReply], group: Group) -> bool:
    """Returns whether asking again is of no use until a store has caught up.

    That is so if a quorum has replied, or too few other stores are left.
    """
    without_log = sum(not reply.is_witness for reply in replies.values())
    most = len(group.members) - without_log
    return is_quorum(len(replies), group) or not is_quorum(most, group)


def fits(demand: Demand, spent: Spent) -> bool:
    """Returns whether the turn fits the budget at its maximum size."""
    if demand.budget is None:
        return True
    others = total_of_others(spent, demand.turn_id)
    return others + demand.tokens <= demand.budget


def is_complete_round(replied: int, group: Group) -> bool:
    """Returns whether all members replied, so that one round is enough.

    With the replies of all members, the reservation that arrived last at any
    one of them has seen all concurrent ones. With fewer, each of three turns
    may have seen only one other, so a second round is needed.
    """
    return replied == len(group.members)

"""Decisions from the replies of a group; pure functions."""

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol, TypeVar

from cactusledge.records.entries import Group
from cactusledge.records.messages import ReserveReply

Spent = dict[str, tuple[int, bool]]  # turn -> (tokens, settled)


class WriteReply(Protocol):
    """A store's reply to a write."""

    @property
    def log_id(self) -> str:
        """Which disk holds what was written."""

    @property
    def replaced(self) -> Mapping[str, str]:
        """The logs of the stores that lost a disk of late."""


ReplyType = TypeVar('ReplyType', bound=WriteReply)


class Verdict(enum.StrEnum):
    """What becomes of a turn that asked for tokens."""

    GRANTED = 'granted'
    SPENT = 'spent'  # the budget does not hold the turn
    NO_PARENT = 'no_parent'  # the turn to continue does not exist
    UNSURE = 'unsure'  # too few stores answered


class Demand(NamedTuple):
    """What a turn asks for."""

    turn_id: str
    tokens: int
    budget: int | None  # tokens of the whole program, None without a bound
    parent_id: str


def majority(size: int) -> int:
    """Returns how many of `size` members any two quorums need to share one."""
    return size // 2 + 1


def quorum(group: Group) -> int:
    """Returns the size of a quorum of the group."""
    return majority(len(group.members))


def is_quorum(reached: int, group: Group) -> bool:
    """Returns whether so many members are a quorum of the group."""
    return bool(group.members) and reached >= quorum(group)


def merge_spent(views: Iterable[Spent]) -> Spent:
    """Returns the union of what stores know; a settled figure is final."""
    merged: Spent = {}
    for view in views:
        for turn_id, spend in view.items():
            known = merged.get(turn_id)
            if known is None or (spend[1] and not known[1]):
                merged[turn_id] = spend
    return merged


def total_of_others(spent: Spent, turn_id: str) -> int:
    """Returns the tokens of all turns but the one named."""
    return sum(
        tokens for other, (tokens, _) in spent.items() if other != turn_id
    )


def replies_on_current_disks(
    replies: Mapping[str, ReplyType],
) -> dict[str, ReplyType]:
    """Returns the replies whose disk is not known to be lost.

    A store that lost its disk reads the others' logs before it counts again.
    A write that another store takes after it was read there would stand on
    that other disk alone, though both stores have answered. The other one's
    reply is later than the reading, so it tells of the new disk.
    """
    replaced: dict[str, str] = {}
    for told in replies.values():
        replaced.update(told.replaced)
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
    """Returns the verdict over the replies of one complete round.

    A refusal needs a quorum of witnesses: a store with an empty disk does not
    know that there is nothing.
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


def fits(demand: Demand, spent: Spent) -> bool:
    """Returns whether the budget holds the turn at its largest."""
    if demand.budget is None:
        return True
    others = total_of_others(spent, demand.turn_id)
    return others + demand.tokens <= demand.budget


def is_complete_round(replied: int, group: Group) -> bool:
    """Returns whether one round decides among concurrent reservations.

    With all members' replies the reservation that came last at any one of
    them has seen all others. With fewer, three may each have seen one, so a
    second round has to follow the first.
    """
    return replied == len(group.members)

"""Changes of the group of record stores; pure functions.

One member is added or removed at a time, and the next change waits until a
majority has adopted the last one. So any two groups that are in use at once
differ in one member, and their majorities meet.
"""

from collections.abc import Mapping

import msgspec

from cactusledge.records.entries import Group, Member
from cactusledge.records.quorum import majority

DEAD_AFTER_S = 6.0  # an unreachable member may then be removed


def first_group(members: Mapping[str, Member], copies: int) -> Group:
    """Returns the group of the system's first start."""
    return Group(1, dict(members), len(members), copies)


def with_member(group: Group, name: str, member: Member) -> Group:
    """Returns the next group, with a member added or at a new address."""
    members = {**group.members, name: member}
    return msgspec.structs.replace(
        group, generation=group.generation + 1, members=members
    )


def without_member(group: Group, name: str, *, lowers_target: bool) -> Group:
    """Returns the next group without a member.

    With `shrinks` the group is meant to stay smaller.
    """
    members = {
        other: member
        for other, member in group.members.items()
        if other != name
    }
    target = group.target_size
    if lowers_target:
        target = min(target, len(members))
    return Group(group.generation + 1, members, target, group.copies)


def may_change(group: Group, generations: Mapping[str, int]) -> bool:
    """Returns whether a majority of the group has adopted it.

    Args:
        group: The group as the platform holds it.
        generations: What the members that answered have adopted.
    """
    adopted = sum(
        generations.get(name, 0) >= group.generation for name in group.members
    )
    return adopted >= majority(len(group.members))


def removable_member(
    group: Group,
    unreachable_s: Mapping[str, float],
) -> str | None:
    """Returns a dead member that the group can do without, if there is one.

    Only a group above its target size gives up a member: one that has been
    replaced. The others must keep a majority among themselves.
    """
    if len(group.members) <= group.target_size:
        return None
    dead = [
        name
        for name in group.members
        if unreachable_s.get(name, 0) >= DEAD_AFTER_S
    ]
    alive = len(group.members) - len(dead)
    if not dead or alive < majority(len(group.members)):
        return None
    return max(dead, key=lambda name: unreachable_s[name])


def sources_needed(size: int) -> int:
    """Returns how many other witnesses a store has to read in full.

    A record stands on a majority, of which this store may have been one, so
    all but a majority less one of the others have to be read.
    """
    return size - majority(size) + 1


def decode_group(document: Mapping[str, object]) -> Group:
    """Returns the group in a document, as stored on disk and published."""
    members = document['members']
    if not isinstance(members, Mapping):
        raise TypeError('members: a mapping is needed')
    return Group(
        int(str(document['generation'])),
        {name: Member(*member) for name, member in members.items()},
        int(str(document['target_size'])),
        int(str(document['copies'])),
    )


def encode_group(group: Group) -> dict[str, object]:
    """Returns the document of a group."""
    return {
        'generation': group.generation,
        'members': {
            name: [member.address, member.data_centre]
            for name, member in group.members.items()
        },
        'target_size': group.target_size,
        'copies': group.copies,
    }

"""Membership changes of the group of record stores; pure functions.

One member is added or removed at a time, and the next change waits until a
majority has adopted the last one. Any two groups in use at the same time
therefore differ in one member, and their majorities intersect.

A dead member is removed once its successor has joined, or if the living ones
are exactly half and go on without it.
"""

from collections.abc import Collection, Mapping

import msgspec

from cactusledge.records.entries import Group, Member
from cactusledge.records.quorum import majority

DEAD_AFTER_S = 2.0  # unreachable for this long, a member may be removed
REMOVAL_STAGGER_S = 0.4  # between stores that may remove it, by name


def first_group(members: Mapping[str, Member], copies: int) -> Group:
    """Returns the group formed at the first start of the system."""
    return Group(1, dict(members), len(members), copies, survives_half=True)


def with_member(group: Group, name: str, member: Member) -> Group:
    """Returns the next group, with a member added or its address changed.

    An added member has read all records before it counts.
    """
    is_added = name not in group.members
    return msgspec.structs.replace(
        group,
        generation=group.generation + 1,
        members={**group.members, name: member},
        survives_half=is_added or group.survives_half,
    )


def without_member(group: Group, name: str, *, is_drained: bool) -> Group:
    """Returns the next group without a member.

    A drained member is not to be replaced: the target size is then at most the
    new size.
    """
    members = {
        other: member
        for other, member in group.members.items()
        if other != name
    }
    target = group.target_size
    if is_drained:
        target = min(target, len(members))
    return msgspec.structs.replace(
        group,
        generation=group.generation + 1,
        members=members,
        target_size=target,
        survives_half=False,
    )


def is_for(group: Group, shard: int, generation: int) -> bool:
    """Returns whether a store of a group handles a request.

    A store that has no group yet handles any.

    Args:
        group: The store's group.
        shard: The shard that the sender asks.
        generation: The sender's group of that shard.
    """
    if not group.generation:
        return True
    return shard == group.shard and generation >= group.generation


def may_change(group: Group, generations: Mapping[str, int]) -> bool:
    """Returns whether a majority of the group has adopted it.

    Args:
        group: The group as published at the platform.
        generations: The generation adopted by each member that answered.
    """
    adopted = sum(
        generations.get(name, 0) >= group.generation for name in group.members
    )
    return adopted >= majority(len(group.members))


def removable_member(
    group: Group,
    unreachable_s: Mapping[str, float],
    witnesses: Collection[str],
    dead_after_s: float,
) -> str | None:
    """Returns the dead member to remove, None if there is none.

    That is one of a group above its target size, in which a successor has
    joined, or of one whose living members are exactly half.

    Args:
        group: The group as published at the platform.
        unreachable_s: The seconds for which members have been unreachable.
        witnesses: The members in reach whose logs are complete.
        dead_after_s: For so long an unreachable member is not taken for dead.
    """
    dead = [
        name
        for name in group.members
        if unreachable_s.get(name, 0) >= dead_after_s
    ]
    complete = len(set(witnesses).difference(dead))
    if not dead or complete < fewest_to_go_on(group):
        return None
    size = len(group.members)
    is_replaced = size > group.target_size
    if not is_replaced and size - len(dead) >= majority(size):
        return None
    return max(dead, key=lambda name: unreachable_s[name])


def fewest_to_go_on(group: Group) -> int:
    """Returns how many complete logs are needed to remove a dead member.

    They have every record and are a majority of the group without it.
    """
    size = len(group.members)
    return majority(size - 1) if group.survives_half else majority(size)


def removal_delay_s(name: str, reachable: Collection[str]) -> float:
    """Returns how long a store waits before it removes a dead member.

    The stores take turns, so that usually one of them makes the change. The
    first by name may have started only just now and not know of the loss.
    """
    return DEAD_AFTER_S + REMOVAL_STAGGER_S * sum(
        other < name for other in reachable
    )


def sources_needed(size: int) -> int:
    """Returns how many other witnesses a store has to read in full.

    A durable record is on a majority of the stores. This store may have been
    one of them before it lost its disk, so up to `size - majority` of the
    others lack the record; one more than that has to be read.
    """
    return size - majority(size) + 1


def decode_group(document: Mapping[str, object]) -> Group:
    """Returns the group from its document on disk or at the platform."""
    members = document['members']
    if not isinstance(members, Mapping):
        raise TypeError('members: expected a mapping')
    return Group(
        int(str(document['generation'])),
        {name: Member(*member) for name, member in members.items()},
        int(str(document['target_size'])),
        int(str(document['copies'])),
        int(str(document.get('shard', 0))),
        int(str(document.get('shards', 1))),
        survives_half=document.get('survives_half') is True,
    )


def encode_group(group: Group) -> dict[str, object]:
    """Returns the document for a group; see `decode_group`."""
    return {
        'generation': group.generation,
        'members': {
            name: [member.address, member.data_centre]
            for name, member in group.members.items()
        },
        'target_size': group.target_size,
        'copies': group.copies,
        'shard': group.shard,
        'shards': group.shards,
        'survives_half': group.survives_half,
    }

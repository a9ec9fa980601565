"""Splits the record stores into shards; pure functions.

A shard is a group of stores with its own quorum. All turns and reservations of
a program are in one shard, so a turn costs messages to the stores of one shard,
however many stores there are. The number of shards is fixed when the group is
formed; later stores join the shard that needs them most.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from operator import attrgetter
from typing import NamedTuple

import msgspec

from cactusledge.records.entries import Group, Member
from cactusledge.records.holders import rank
from cactusledge.records.membership import (
    decode_group,
    encode_group,
    first_group,
)
from cactusledge.records.quorum import majority

SPARE_MEMBERS = 1  # may leave a shard for good before it tolerates fewer losses


class ShardTable(NamedTuple):
    """The groups of all shards, in the order of their numbers."""

    groups: tuple[Group, ...]

    def group_of(self, instance: str) -> Group | None:
        """Returns the group that an instance is a member of."""
        for group in self.groups:
            if instance in group.members:
                return group
        return None

    def group(self, shard: int) -> Group:
        """Returns a shard's group."""
        return self.groups[shard]

    def with_group(self, changed: Group) -> 'ShardTable':
        """Returns the table with one shard's group replaced."""
        return ShardTable(
            tuple(
                changed if group.shard == changed.shard else group
                for group in self.groups
            )
        )


def decode_table(document: Mapping[str, object]) -> ShardTable:
    """Returns the table from its document at the platform.

    A system with one shard publishes the group alone.
    """
    listed = document.get('groups')
    if not isinstance(listed, Sequence):
        return ShardTable((decode_group(document),))
    return ShardTable(tuple(decode_group(group) for group in listed))


def encode_table(table: ShardTable) -> dict[str, object]:
    """Returns the document for a table; see `decode_table`."""
    if len(table.groups) == 1:
        return encode_group(table.groups[0])
    return {'groups': [encode_group(group) for group in table.groups]}


def shard_of(program_id: str, shards: int) -> int:
    """Returns the shard that keeps a program, by rendezvous hashing."""
    return min(
        range(shards), key=lambda shard: rank(program_id, f'shard-{shard}')
    )


def form_table(members: Mapping[str, Member], copies: int) -> ShardTable:
    """Returns the shards formed at the first start of the system.

    As many shards as possible, each of which tolerates the loss of any
    data centre and of all but one of the copies of a text.
    """
    smallest = 2 * copies - 1 + SPARE_MEMBERS
    for shards in range(len(members) // smallest, 1, -1):
        groups = split(members, shards, copies)
        if all(tolerates_losses(group) for group in groups):
            return ShardTable(groups)
    return ShardTable((first_group(members, copies),))


def split(
    members: Mapping[str, Member], shards: int, copies: int
) -> tuple[Group, ...]:
    """Deals the stores to shards in turn, one data centre after the other."""
    ordered = sorted(
        members, key=lambda name: (members[name].data_centre, name)
    )
    groups: list[Group] = []
    for shard in range(shards):
        chosen = {name: members[name] for name in ordered[shard::shards]}
        group = first_group(chosen, copies)
        groups.append(
            msgspec.structs.replace(group, shard=shard, shards=shards)
        )
    return tuple(groups)


def tolerates_losses(group: Group) -> bool:
    """Returns whether a majority is left after each loss to be tolerated.

    That is the loss of a data centre, or of the disks of all but one copy.
    """
    size = len(group.members)
    by_data_centre = Counter(
        member.data_centre for member in group.members.values()
    )
    largest_loss = max(group.copies - 1, *by_data_centre.values())
    return size - largest_loss >= majority(size)


def shard_to_join(
    groups: Iterable[Group],
    member: Member,
    unreachable: Collection[str] = (),
) -> Group:
    """Returns the group that needs a new member most.

    That is the one furthest below its target, then the one with the fewest
    members in the data centre of the new one, then the smallest. Members that
    are unreachable do not count.
    """

    def rank_of(group: Group) -> tuple[int, int, int, int]:  # noqa: WPS430
        living = [
            other
            for name, other in group.members.items()
            if name not in unreachable
        ]
        neighbours = sum(
            other.data_centre == member.data_centre for other in living
        )
        size = len(living)
        return size - group.target_size, neighbours, size, group.shard

    return min(groups, key=rank_of)


def own_group(
    table: ShardTable,
    instance: str,
    member: Member,
    kept: Group | None,
    unreachable: Collection[str] = (),
) -> Group:
    """Returns the group of a store's shard, or of the one that it should join.

    Args:
        table: The groups as published.
        instance: The store.
        member: Its address and data centre.
        kept: The group of the shard that it keeps records of, if any. The
            store returns to that shard.
        unreachable: Members of any group that the store does not reach.
    """
    found = table.group_of(instance)
    if found is not None:
        return found
    if kept is not None:
        return table.group(kept.shard)
    return shard_to_join(table.groups, member, unreachable)


def newer_groups(
    known: Sequence[Group], received: Iterable[Group]
) -> tuple[Group, ...]:
    """Returns the newest group of each shard, in the order of their numbers."""
    newest = {group.shard: group for group in known}
    for group in received:
        old = newest.get(group.shard)
        if old is None or group.generation > old.generation:
            newest[group.shard] = group
    return tuple(sorted(newest.values(), key=attrgetter('shard')))

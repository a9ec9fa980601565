"""Divides the engines of a data centre and model into groups."""

from collections.abc import Sequence

from cactusledge.models import Endpoint
from cactusledge.routing.group_selection import rendezvous_weight
from cactusledge.routing.types import GroupKey


def split_groups(
    engines: Sequence[Endpoint], group_size: int
) -> dict[GroupKey, list[Endpoint]]:
    """Returns groups of at most `group_size` engines each.

    Each engine joins the group that rendezvous hashing ranks first among
    those that are not full, so that few engines change groups when one is
    added or removed.
    """
    groups: dict[GroupKey, list[Endpoint]] = {}
    for location in sorted({
        (engine.data_centre, engine.service) for engine in engines
    }):
        members = [
            engine
            for engine in engines
            if (engine.data_centre, engine.service) == location
        ]
        groups.update(_split(GroupKey(*location), members, group_size))
    return groups


def _split(
    key: GroupKey, members: list[Endpoint], group_size: int
) -> dict[GroupKey, list[Endpoint]]:
    count = -(-len(members) // group_size)
    groups: dict[GroupKey, list[Endpoint]] = {
        key._replace(number=number): [] for number in range(count)
    }
    for engine in sorted(members):
        chosen = _first_with_room(engine, groups, group_size)
        groups[chosen].append(engine)
    return groups


def _first_with_room(
    engine: Endpoint,
    groups: dict[GroupKey, list[Endpoint]],
    group_size: int,
) -> GroupKey:
    with_room = [
        group for group, taken in groups.items() if len(taken) < group_size
    ]
    return max(
        with_room,
        key=lambda group: rendezvous_weight(str(group), engine.name),
    )

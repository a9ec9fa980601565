"""Chooses the stores that keep the text of a turn; pure functions.

A turn's text is stored on one disk more than may be lost at once, in different
data centres where there are enough of them.
"""

from collections.abc import Collection, Iterable, Mapping

import xxhash

from cactusledge.records.entries import Group, Member, Turn


def rank(key: str, name: str) -> int:
    """Returns a store's rank for a key by rendezvous hashing, lowest first."""
    return xxhash.xxh64_intdigest(f'{key} {name}'.encode())


def choose_holders(
    turn_id: str,
    members: Mapping[str, Member],
    data_centre: str,
    copies: int,
) -> tuple[str, ...]:
    """Returns the stores to keep a new turn's text, local ones first.

    The stores are in different data centres if possible.
    """
    ordered = sorted(
        members,
        key=lambda name: (
            members[name].data_centre != data_centre,
            rank(turn_id, name),
        ),
    )
    return spread_over_data_centres(ordered, members, copies)


def spread_over_data_centres(
    ordered: Iterable[str], members: Mapping[str, Member], copies: int
) -> tuple[str, ...]:
    """Returns the first `copies` stores, one of each data centre first."""
    chosen: list[str] = []
    repeated: list[str] = []
    data_centres: set[str] = set()
    for name in ordered:
        is_new = members[name].data_centre not in data_centres
        (chosen if is_new else repeated).append(name)
        data_centres.add(members[name].data_centre)
    return tuple((chosen + repeated)[:copies])


def text_holders(turn: Turn, group: Group) -> frozenset[str]:
    """Returns the members that should keep a turn's text.

    Other members replace the holders that have left the group.
    """
    remaining = [name for name in turn.holders if name in group.members]
    replacements = replacement_holders(turn.turn_id, group, remaining)
    return frozenset((*remaining, *replacements))


def replacement_holders(
    turn_id: str, group: Group, remaining: Collection[str]
) -> tuple[str, ...]:
    """Returns the members that replace missing holders.

    Data centres without a remaining holder come first.
    """
    missing = group.copies - len(remaining)
    if missing <= 0:
        return ()
    used_data_centres = {group.members[name].data_centre for name in remaining}
    candidates = [name for name in group.members if name not in remaining]
    ordered = sorted(
        candidates,
        key=lambda name: (
            group.members[name].data_centre in used_data_centres,
            rank(turn_id, name),
        ),
    )
    return spread_over_data_centres(ordered, group.members, missing)

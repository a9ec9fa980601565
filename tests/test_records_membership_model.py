"""Exhaustive check of changes of the group that race.

The search drives the product's own decision whether a next change may be made
through every order in which three changes are published, stores adopt
a group, write it to their disks and lose power, and through every subset of
stores that tells its generation. A store refuses a request of an older
generation than its own; a client may use any that was ever published.
"""

import functools
import itertools
from typing import NamedTuple

import pytest

from cactusledge.records.entries import Member
from cactusledge.records.membership import (
    first_group,
    may_change,
    with_member,
    without_member,
)
from cactusledge.records.quorum import majority
from tests.model_search import search

MEMBER = Member('10.0.0.1:1', 'here')
FIRST = first_group(dict.fromkeys(('s0', 's1', 's2'), MEMBER), copies=2)
STORES = ('s0', 's1', 's2', 's3', 's4')
CHANGES = 3
PROPOSALS = (
    lambda group: with_member(group, 's3', MEMBER),
    lambda group: without_member(group, 's0', shrinks=False),
    lambda group: with_member(group, 's4', MEMBER),
)
NUMBERS = frozenset(range(len(PROPOSALS)))


class World(NamedTuple):
    """What was published, and what each store has adopted and kept."""

    history: tuple = ()  # numbers of the proposals published, in order
    adopted: tuple = (FIRST.generation,) * len(STORES)
    kept: tuple = (FIRST.generation,) * len(STORES)  # on the disk


@functools.cache
def groups_of(history):
    """Returns the published groups, by generation."""
    groups = [FIRST]
    for number in history:
        groups.append(PROPOSALS[number](groups[-1]))
    return tuple(groups)


def successors(world, *, counts_kept):
    """Yields every world that can come next."""
    yield from changes(world, counts_kept=counts_kept)
    for place, adopted in enumerate(world.adopted):
        newest = groups_of(world.history)[-1].generation
        for generation in range(adopted + 1, newest + 1):
            yield replaced(world, 'adopted', place, generation)
        if world.kept[place] != adopted:
            yield replaced(world, 'kept', place, adopted)
            yield replaced(world, 'adopted', place, world.kept[place])


def changes(world, *, counts_kept):
    """A store that was told enough generations publishes the next group."""
    group = groups_of(world.history)[-1]
    told = dict(
        zip(STORES, world.kept if counts_kept else world.adopted, strict=True)
    )
    if len(world.history) == CHANGES or not is_adopted(group, told):
        return
    for number in NUMBERS.difference(world.history):
        yield world._replace(history=(*world.history, number))


def is_adopted(group, told):
    """Whether any subset of the members tells that the group is in use."""
    names = tuple(group.members)
    subsets = itertools.chain.from_iterable(
        itertools.combinations(names, size) for size in range(len(names) + 1)
    )
    return any(
        may_change(group, {name: told[name] for name in subset})
        for subset in subsets
    )


def replaced(world, field, place, generation):
    """Returns the world with one store's generation changed."""
    generations = list(getattr(world, field))
    generations[place] = generation
    return world._replace(**{field: tuple(generations)})


def is_split(world):
    """Whether two generations have quorums without a common store."""
    return any(
        are_apart(world, older, newer)
        for older, newer in itertools.combinations(groups_of(world.history), 2)
    )


def are_apart(world, older, newer):
    needed = [majority(len(group.members)) for group in (older, newer)]
    serving = [
        {
            name
            for name, adopted in zip(STORES, world.adopted, strict=True)
            if name in group.members and adopted <= group.generation
        }
        for group in (older, newer)
    ]
    has_both = all(
        len(names) >= count
        for names, count in zip(serving, needed, strict=True)
    )
    return has_both and len(serving[0] | serving[1]) >= sum(needed)


def play(*, counts_kept):
    """Returns the number of worlds, and one that is split if there is."""
    follow = functools.partial(successors, counts_kept=counts_kept)
    return search(World(), follow, is_split)


@pytest.mark.timeout(300)
def test_generations_in_use_at_once_share_a_store():
    count, split = play(counts_kept=True)
    assert split is None
    assert count > 10000


def test_without_waiting_for_the_disks_the_group_splits():
    _, split = play(counts_kept=False)
    assert split is not None


def test_without_waiting_for_adoption_the_group_splits(monkeypatch):
    monkeypatch.setattr(f'{__name__}.may_change', lambda *_: True)
    _, split = play(counts_kept=True)
    assert split is not None

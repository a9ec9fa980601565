"""Exhaustive check of racing membership changes.

The search calls the production function that decides whether the next change
may be published. It covers every order in which three changes are published
and stores adopt a group, write it to disk and lose power, and every subset of
stores that reports its generation. A store refuses requests of a generation
older than its own; a client may use any generation ever published.
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
    lambda group: without_member(group, 's0', is_drained=False),
    lambda group: with_member(group, 's4', MEMBER),
)
NUMBERS = frozenset(range(len(PROPOSALS)))


class GroupState(NamedTuple):
    """What was published, and the generations each store has adopted."""

    history: tuple = ()  # indexes of the published proposals, in order
    adopted: tuple = (FIRST.generation,) * len(STORES)
    durable: tuple = (FIRST.generation,) * len(STORES)  # on disk


@functools.cache
def groups_of(history):
    """Returns the published groups, by generation."""
    groups = [FIRST]
    for number in history:
        groups.append(PROPOSALS[number](groups[-1]))
    return tuple(groups)


def successors(state, *, requires_durable):
    """Yields every state that can come next."""
    yield from publications(state, requires_durable=requires_durable)
    for index, adopted in enumerate(state.adopted):
        newest = groups_of(state.history)[-1].generation
        for generation in range(adopted + 1, newest + 1):
            yield with_generation(state, 'adopted', index, generation)
        if state.durable[index] != adopted:
            yield with_generation(state, 'durable', index, adopted)
            yield with_generation(state, 'adopted', index, state.durable[index])


def publications(state, *, requires_durable):
    """Yields the states after a store has published the next group."""
    group = groups_of(state.history)[-1]
    reported = dict(
        zip(
            STORES,
            state.durable if requires_durable else state.adopted,
            strict=True,
        )
    )
    if len(state.history) == CHANGES or not is_adopted(group, reported):
        return
    for number in NUMBERS.difference(state.history):
        yield state._replace(history=(*state.history, number))


def is_adopted(group, reported):
    """Whether the reports of any subset of members allow the next change."""
    names = tuple(group.members)
    subsets = itertools.chain.from_iterable(
        itertools.combinations(names, size) for size in range(len(names) + 1)
    )
    return any(
        may_change(group, {name: reported[name] for name in subset})
        for subset in subsets
    )


def with_generation(state, field, index, generation):
    """Returns the state with one store's generation changed."""
    generations = list(getattr(state, field))
    generations[index] = generation
    return state._replace(**{field: tuple(generations)})


def is_split(state):
    """Whether two generations can have quorums without a common store."""
    return any(
        are_disjoint(state, older, newer)
        for older, newer in itertools.combinations(groups_of(state.history), 2)
    )


def are_disjoint(state, older, newer):
    needed = [majority(len(group.members)) for group in (older, newer)]
    accepting = [
        {
            name
            for name, adopted in zip(STORES, state.adopted, strict=True)
            if name in group.members and adopted <= group.generation
        }
        for group in (older, newer)
    ]
    has_both = all(
        len(names) >= count
        for names, count in zip(accepting, needed, strict=True)
    )
    return has_both and len(accepting[0] | accepting[1]) >= sum(needed)


def explore(*, requires_durable):
    """Returns the number of states, and a split state if there is one."""
    next_states = functools.partial(
        successors, requires_durable=requires_durable
    )
    return search(GroupState(), next_states, is_split)


@pytest.mark.timeout(300)
def test_quorums_of_concurrent_generations_share_a_store():
    count, split = explore(requires_durable=True)
    assert split is None
    assert count > 10000


def test_group_splits_if_adoption_need_not_be_durable():
    _, split = explore(requires_durable=False)
    assert split is not None


def test_group_splits_if_changes_need_no_adoption(monkeypatch):
    monkeypatch.setattr(f'{__name__}.may_change', lambda *_: True)
    _, split = explore(requires_durable=True)
    assert split is not None

"""Shards of the record stores: how they are formed, joined and addressed."""

import functools
import itertools
from collections import Counter
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusledge.records.entries import Group, Member
from cactusledge.records.membership import (
    encode_group,
    first_group,
    is_for,
    with_member,
    without_member,
)
from cactusledge.records.quorum import majority
from cactusledge.records.shards import (
    ShardTable,
    decode_table,
    encode_table,
    form_table,
    newer_groups,
    own_group,
    shard_of,
    shard_to_join,
    tolerates_losses,
)
from tests.model_search import search

COPIES = 3  # of the large deployments: two disks may be lost at once


def stores(count, data_centres):
    """Returns stores spread evenly over data centres."""
    return {
        f'store-{index:03d}': Member(
            f'10.0.0.{index}:1', f'dc-{index % data_centres}'
        )
        for index in range(count)
    }


@given(st.integers(1, 60), st.integers(1, 8), st.integers(1, 4))
def test_each_store_is_in_one_shard(count, data_centres, copies):
    members = stores(count, data_centres)
    table = form_table(members, copies)
    listed = [name for group in table.groups for name in group.members]
    numbers = [group.shard for group in table.groups]
    assert sorted(listed) == sorted(members)
    assert numbers == list(range(len(numbers)))
    assert {group.shards for group in table.groups} == {len(table.groups)}


@given(st.integers(1, 60), st.integers(1, 8), st.integers(1, 4))
def test_several_shards_tolerate_what_may_be_lost(count, data_centres, copies):
    table = form_table(stores(count, data_centres), copies)
    if len(table.groups) == 1:
        return
    for group in table.groups:
        assert tolerates_losses(group)
        smaller = without_member(group, min(group.members), is_drained=True)
        left = len(smaller.members) - (copies - 1)
        assert left >= majority(len(smaller.members))


@pytest.mark.parametrize(
    ('count', 'data_centres', 'copies', 'shards'),
    [
        (3, 3, 2, 1),
        (4, 4, 2, 1),
        (8, 3, 3, 1),
        (10, 4, 3, 1),
        (24, 6, 3, 4),
        (48, 6, 3, 8),
    ],
)
def test_small_deployments_have_one_shard(count, data_centres, copies, shards):
    table = form_table(stores(count, data_centres), copies)
    assert len(table.groups) == shards


def test_table_of_one_shard_is_published_as_a_group_alone():
    group = first_group(stores(3, 3), 2)
    document = encode_table(ShardTable((group,)))
    assert document == encode_group(group)
    former = {
        key: found
        for key, found in document.items()
        if key not in {'shard', 'shards'}
    }
    assert decode_table(former) == ShardTable((group,))


def test_table_of_several_shards_is_read_back():
    table = form_table(stores(24, 6), COPIES)
    assert decode_table(encode_table(table)) == table


@given(st.text(max_size=20), st.integers(1, 9))
def test_program_stays_in_its_shard(program_id, shards):
    assert shard_of(program_id, shards) in range(shards)
    assert shard_of(program_id, shards) == shard_of(program_id, shards)


def test_programs_are_spread_evenly():
    counts = Counter(shard_of(f'p{number}', 4) for number in range(4000))
    assert len(counts) == 4
    assert max(counts.values()) < 1.2 * min(counts.values())


def test_store_joins_the_shard_that_lost_a_member():
    table = form_table(stores(24, 6), COPIES)
    former = table.group(2)
    lost = min(former.members)
    changed = without_member(former, lost, is_drained=False)
    joined = shard_to_join(
        table.with_group(changed).groups, Member('10.0.0.99:1', 'dc-0')
    )
    assert joined.shard == changed.shard


# The successor of a lost store joined another group: the one that had lost it
# stayed short, and its texts got no further copy.
def test_store_joins_the_shard_whose_member_is_unreachable():
    table = form_table(stores(24, 6), COPIES)
    for group in table.groups:
        lost = min(group.members)
        joined = shard_to_join(table.groups, group.members[lost], {lost})
        assert joined.shard == group.shard


def test_added_stores_are_spread_over_the_shards():
    table = form_table(stores(24, 6), COPIES)
    for index in range(4):
        member = Member(f'10.0.1.{index}:1', f'dc-{index}')
        group = own_group(table, f'new-{index}', member, None)
        table = table.with_group(with_member(group, f'new-{index}', member))
    assert [len(group.members) for group in table.groups] == [7, 7, 7, 7]


def test_store_with_records_returns_to_its_shard():
    table = form_table(stores(24, 6), COPIES)
    former = table.group(3)
    name = min(former.members)
    table = table.with_group(without_member(former, name, is_drained=False))
    member = former.members[name]
    assert own_group(table, name, member, former).shard == 3


def test_newest_group_of_each_shard_is_kept():
    table = form_table(stores(24, 6), COPIES)
    newer = with_member(table.group(1), 'x', Member('10.0.0.9:1', 'dc-0'))
    kept = newer_groups(table.groups, (newer, *table.groups))
    generations = [group.generation for group in kept]
    assert generations == [1, 2, 1, 1]


OWN_GROUP = Group(5, {}, 5, COPIES, shard=2, shards=4)


@pytest.mark.parametrize('generation', [5, 6])
def test_store_handles_requests_of_its_own_shard(generation):
    assert is_for(OWN_GROUP, 2, generation)


@pytest.mark.parametrize('shard', [0, 1, 3])
@pytest.mark.parametrize('generation', [4, 5, 9])
def test_store_refuses_requests_for_another_shard(shard, generation):
    assert not is_for(OWN_GROUP, shard, generation)


def test_store_refuses_an_older_group():
    assert not is_for(OWN_GROUP, 2, 4)


def test_store_without_a_group_handles_any_request():
    assert is_for(Group(0, {}, 0, 1), 3, 7)


# A store that was replaced returns with an empty disk and joins another shard,
# while a gateway still writes by the table of before.

SHARD_A = frozenset(('a0', 'a1', 'a2'))
MOVED = 'a2'
REPLACEMENT = 'n'


class World(NamedTuple):
    """The groups that stores have adopted, and an old gateway's write."""

    adopted: tuple  # (store, shard, generation)
    accepted: frozenset = frozenset()  # stores that accepted the old write
    is_moved: bool = False  # the store has joined the other shard
    witnesses: frozenset = frozenset()  # that hold the write at the end


def group_in(world, store):
    """Returns what the checks of a store compare requests with."""
    adopted = {name: found for name, *found in world.adopted}
    shard, generation = adopted[store]
    return Group(generation, {}, 3, 2, shard, 2)


def adopt(world, store, shard, generation):
    """Returns the world after a store has adopted a group."""
    kept = tuple(entry for entry in world.adopted if entry[0] != store)
    return world._replace(
        adopted=tuple(sorted((*kept, (store, shard, generation))))
    )


def successors(world, *, checks):
    """Yields the steps: adoptions, the move, and the old write's arrivals."""
    members = (*sorted(SHARD_A - {MOVED}), REPLACEMENT)
    waiting = [name for name in members if group_in(world, name).generation < 2]
    for name in waiting:
        yield adopt(world, name, 0, 2)
    adopters = len(members) - len(waiting)
    if not world.is_moved and adopters >= majority(len(SHARD_A)):
        yield adopt(world, MOVED, 1, 1)._replace(
            is_moved=True, accepted=world.accepted - {MOVED}
        )
    for store in SHARD_A - world.accepted:
        if not checks or is_for(group_in(world, store), 0, 1):
            yield world._replace(accepted=world.accepted | {store})


def is_lost(world):
    """Whether the old write was acknowledged, but may be read as missing.

    A majority of the new group is asked; the moved store is not in it.
    """
    if len(world.accepted) < majority(len(SHARD_A)):
        return False
    readers = (SHARD_A - {MOVED}) | {REPLACEMENT}
    return world.is_moved and any(
        not world.accepted.intersection(asked)
        for asked in itertools.combinations(sorted(readers), 2)
    )


def play(*, checks):
    start = World(
        tuple(sorted((store, 0, 1) for store in (*SHARD_A, REPLACEMENT)))
    )
    return search(start, functools.partial(successors, checks=checks), is_lost)


def test_write_by_an_old_table_is_not_acknowledged_by_a_moved_store():
    count, lost = play(checks=True)
    assert count > 10
    assert lost is None


def test_without_the_check_of_the_shard_such_a_write_is_lost():
    _, lost = play(checks=False)
    assert lost is not None

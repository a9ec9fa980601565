"""Quorum decisions over one round of replies, and group changes."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusledge.records.entries import Member
from cactusledge.records.membership import (
    DEAD_AFTER_S,
    REMOVAL_STAGGER_S,
    decode_group,
    encode_group,
    first_group,
    may_change,
    removable_member,
    removal_delay_s,
    sources_needed,
    with_member,
    without_member,
)
from cactusledge.records.messages import ReserveReply
from cactusledge.records.quorum import (
    Demand,
    Verdict,
    decide,
    is_complete_round,
    majority,
    merge_spent,
)

NAMES = ('store-a', 'store-b', 'store-c', 'store-d')


def group_of(size):
    return first_group(
        {
            name: Member(f'10.0.0.{index}:1', name)
            for index, name in enumerate(NAMES[:size])
        },
        copies=2,
    )


def reply(spent=None, *, is_witness=True, knows_parent=False):
    return ReserveReply(is_witness, spent or {}, knows_parent, [])


@pytest.mark.parametrize(
    ('spent', 'budget', 'verdict'),
    [
        ({}, 100, Verdict.GRANTED),
        ({'x': (60, True)}, 100, Verdict.GRANTED),
        ({'x': (61, True)}, 100, Verdict.SPENT),
        ({'x': (61, False)}, 100, Verdict.SPENT),
        ({'me': (40, False), 'x': (60, True)}, 100, Verdict.GRANTED),
        ({'x': (900, True)}, None, Verdict.GRANTED),
    ],
)
def test_budget_holds_the_largest_turn(spent, budget, verdict):
    demand = Demand('me', 40, budget, '')
    replies = {name: reply(spent) for name in NAMES[:3]}
    assert decide(demand, replies, 3) is verdict


@pytest.mark.parametrize(
    ('witnesses', 'knows', 'verdict'),
    [
        (3, False, Verdict.NO_PARENT),
        (2, False, Verdict.UNSURE),
        (3, True, Verdict.GRANTED),
        (2, True, Verdict.UNSURE),
    ],
)
def test_refusal_needs_a_quorum_of_witnesses(witnesses, knows, verdict):
    replies = {
        name: reply(is_witness=index < witnesses, knows_parent=knows)
        for index, name in enumerate(NAMES)
    }
    assert decide(Demand('me', 1, 9, 'parent'), replies, 3) is verdict


def test_settled_figure_replaces_the_reservation():
    views = [{'x': (40, False)}, {'x': (7, True)}, {'x': (40, False)}]
    for order in itertools.permutations(views):
        assert merge_spent(order) == {'x': (7, True)}


def test_settled_to_nothing_frees_the_budget():
    views = [{'x': (100, False)}, {'x': (0, True)}]
    replies = {str(index): reply(view) for index, view in enumerate(views)}
    assert decide(Demand('me', 40, 100, ''), replies, 2) is Verdict.GRANTED


def test_round_with_a_missing_member_is_not_exact():
    group = group_of(4)
    assert is_complete_round(4, group)
    assert not is_complete_round(3, group)


@given(st.integers(1, 30))
def test_majorities_of_neighbouring_groups_meet(size):
    assert majority(size) + majority(size + 1) > size + 1


@given(st.integers(1, 30))
def test_sources_meet_each_majority_without_this_store(size):
    others = size - 1
    holders = majority(size) - 1
    assert sources_needed(size) + holders > others


def test_change_waits_until_a_majority_has_adopted_the_last():
    group = with_member(group_of(4), 'store-e', Member('10.0.0.9:1', 'e'))
    adopted = {'store-a': 2, 'store-b': 2, 'store-c': 1}
    assert not may_change(group, adopted)
    assert may_change(group, {**adopted, 'store-c': 2})


def removable(group, *names, unreachable_s=DEAD_AFTER_S):
    """Returns what is removed from a group whose named members are dead."""
    unreachable = dict.fromkeys(names, unreachable_s)
    witnesses = group.members.keys() - set(names)
    return removable_member(group, unreachable, witnesses, DEAD_AFTER_S)


def test_dead_member_goes_only_once_it_is_replaced():
    group = group_of(4)
    assert removable(group, 'store-a') is None
    grown = with_member(group, 'store-e', Member('10.0.0.9:1', 'e'))
    assert removable(grown, 'store-a') == 'store-a'
    early_s = DEAD_AFTER_S - 1
    assert removable(grown, 'store-a', unreachable_s=early_s) is None


# Half of an even group could never change it again, though each record is on a
# majority of it and so on one of them.
def test_half_of_an_even_group_goes_on_without_a_dead_member():
    grown = with_member(group_of(3), 'store-e', Member('10.0.0.9:1', 'e'))
    assert removable(grown, 'store-a', 'store-b') == 'store-a'
    assert removable(group_of(4), 'store-a', 'store-b') == 'store-a'
    assert removable(group_of(2), 'store-a') == 'store-a'


@pytest.mark.parametrize('size', range(2, 6))
def test_less_than_half_removes_no_member(size):
    names = sorted(group_of(size).members)
    fewer = names[: size // 2 + 1]
    assert removable(group_of(size), *fewer) is None


# The removed member may have held records that half of the others lack.
def test_half_stays_without_a_majority_after_a_dead_member_was_removed():
    whole = with_member(group_of(4), 'store-e', Member('10.0.0.9:1', 'e'))
    group = without_member(whole, 'store-a', is_drained=False)
    assert removable(group, 'store-b', 'store-c') is None


# A removed member took records with it that no complete log had.
def test_dead_member_stays_while_too_few_logs_are_complete():
    group = with_member(group_of(4), 'store-e', Member('10.0.0.9:1', 'e'))
    dead = {'store-a': DEAD_AFTER_S}
    few = {'store-b', 'store-c'}
    assert removable_member(group, dead, few, DEAD_AFTER_S) is None
    enough = few | {'store-d'}
    assert removable_member(group, dead, enough, DEAD_AFTER_S) == 'store-a'


def test_stores_take_turns_to_remove_a_dead_member():
    names = ('store-a', 'store-b', 'store-c')
    delays = [
        removal_delay_s(name, set(names) - {name, 'store-a'}) for name in names
    ]
    assert delays == [
        DEAD_AFTER_S,
        DEAD_AFTER_S,
        DEAD_AFTER_S + REMOVAL_STAGGER_S,
    ]


def test_planned_leaving_lowers_the_target():
    group = without_member(group_of(4), 'store-b', is_drained=True)
    assert group.target_size == 3
    assert 'store-b' not in group.members


def test_group_document_is_read_back():
    group = group_of(3)
    assert decode_group(encode_group(group)) == group

"""Properties of merged views, of liveness and of rendezvous hashing."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusledge.peers import rendezvous
from cactusledge.peers.liveness import live_members, near_timeouts
from cactusledge.peers.member_table import (
    Member,
    merge,
    merge_updates,
    newer_entries,
)
from cactusledge.peers.messages import MemberView

NAMES = ('a', 'b', 'c')
SMALL = st.integers(0, 3)
VIEWS = st.builds(
    MemberView,
    name=st.just('a'),
    host=st.sampled_from(['10.0.0.1', '10.0.0.2']),
    port=st.just(7400),
    data_centre=st.sampled_from(['bole', 'yeka']),
    incarnation=SMALL,
    counter=SMALL,
    version=SMALL,
    leaving=st.booleans(),
    state=st.none() | st.dictionaries(st.just('k'), st.binary(max_size=1)),
)
NAMED_VIEWS = st.builds(
    MemberView._replace,
    VIEWS,
    name=st.sampled_from(NAMES),
)
KEYS = st.text(max_size=8)


@given(VIEWS, VIEWS, VIEWS)
def test_merge_is_idempotent_commutative_and_associative(left, middle, right):
    assert merge(left, left) == left
    assert merge(left, right) == merge(right, left)
    assert merge(merge(left, middle), right) == merge(
        left,
        merge(middle, right),
    )


@given(VIEWS, VIEWS)
def test_merge_keeps_the_newer_incarnation_and_its_leaving(left, right):
    merged = merge(left, right)
    newest = max(left.incarnation, right.incarnation)
    same = [one for one in (left, right) if one.incarnation == newest]
    assert merged.incarnation == newest
    assert merged.leaving is any(one.leaving for one in same)
    assert merged.counter == max(one.counter for one in same)


@given(st.lists(NAMED_VIEWS, max_size=6), st.randoms())
def test_order_and_repetition_of_views_do_not_matter(views, rng):
    shuffled = views + views[:2]
    rng.shuffle(shuffled)
    once = merge_updates({}, views, (), 0).table
    again = merge_updates({}, shuffled, (), 0).table
    assert once == again
    assert merge_updates(once, views, (), 5).table == once


def with_ordered_counter(view):
    """Lets the counter grow with the version, as with a single writer."""
    return view._replace(counter=view.counter + view.version * 4)


@given(
    st.lists(NAMED_VIEWS.map(with_ordered_counter)),
    st.lists(NAMED_VIEWS.map(with_ordered_counter)),
)
def test_an_exchange_of_digests_and_views_makes_both_sides_equal(left, right):
    ours = merge_updates({}, left, (), 0).table
    theirs = merge_updates({}, right, (), 0).table
    sent = [known.digest_at(1) for known in ours.values()]
    views, progress = newer_entries(theirs, sent, 1)
    received = merge_updates(theirs, (), sent, 1)
    ours = merge_updates(ours, views, progress, 1).table
    wanted = [ours[name].view for name in received.wanted]
    theirs = merge_updates(received.table, wanted, (), 1).table
    assert digests(theirs, ours) == digests(ours, ours)


def digests(table, names):
    return [table[name].digest_at(0) for name in names]


@pytest.mark.parametrize(
    ('silent_s', 'is_live'),
    [(0, True), (2.4, True), (2.5, False), (60, False)],
)
def test_a_member_without_progress_is_dead_after_the_timeout(silent_s, is_live):
    me = view_of('me')
    table = {'a': Member(view_of('a'), 100)}
    live = live_members(me, table, (), 100 + silent_s)
    assert (live.find('a') is not None) is is_live
    assert live.find('me') == me


def test_timeouts_grow_with_the_members():
    assert [
        near_timeouts(members).dead_after_s for members in (2, 8, 16, 64)
    ] == [
        2.5,
        2.5,
        3.5,
        5.5,
    ]


def test_timeouts_grow_with_a_long_interval_only():
    assert near_timeouts(8, 0.05) == near_timeouts(8)
    assert near_timeouts(8, 4).dead_after_s == 10


def test_a_leaving_member_is_live_but_not_available():
    leaving = view_of('a')._replace(leaving=True)
    live = live_members(view_of('me'), {'a': Member(leaving, 0)}, (), 0)
    assert live.find('a') == leaving
    assert [one.name for one in live.available()] == ['me']
    assert live.owner_of('any key').name == 'me'
    assert live.owner_of('any key', 'elsewhere') is None


@given(KEYS, st.sets(KEYS, min_size=1))
def test_only_the_keys_of_a_lost_member_move(key, names):
    first, *others = rendezvous.rank_members(key, names)
    assert first == rendezvous.owner(key, names)
    for lost in names:
        left = names - {lost}
        owner = rendezvous.owner(key, left)
        substitute = next(iter(others), None)
        assert owner == {first: substitute}.get(lost, first)


def test_keys_spread_over_the_members():
    names = [f'entry-{number}' for number in range(8)]
    counts = dict.fromkeys(names, 0)
    for number in range(8000):
        counts[rendezvous.owner(f'program-{number}', names)] += 1
    assert min(counts.values()) > 850
    assert max(counts.values()) < 1150


def view_of(name):
    return MemberView(name, '10.0.0.1', 7400, 'bole', 1)


@given(VIEWS)
def test_a_digest_matches_its_view(view):
    member = Member(view, 0)
    digest = member.digest_at(0.7)
    assert digest.age_ms == 700
    assert newer_entries({'a': member}, [digest], 1) == ((), ())

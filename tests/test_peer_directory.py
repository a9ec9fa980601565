"""Which instances may become owner of unowned engine groups."""

import pytest

from cactusledge.peers.messages import MemberView
from cactusledge.peers.rendezvous import owner
from cactusledge.programs.logs.peer_directory import (
    ACCEPTS_KEY,
    InstanceIdentity,
    PeerDirectory,
    member_state,
)
from cactusledge.routing.types import GroupKey

KEYS = [GroupKey('bole', 'booking-agent', index) for index in range(20)]


def member(name, **changes):
    return MemberView(name, '127.0.0.1', 7000, 'bole', 1, **changes)


@pytest.fixture
def peer_directory_of():
    """Returns a factory of peer directories for the given members."""
    opened = []

    def build(*members):
        found = PeerDirectory(
            InstanceIdentity('entry-1', 'bole'), lambda: members, owner, 1
        )
        opened.append(found)
        return found

    yield build
    for peer_directory in opened:
        peer_directory.close()


def is_chosen(peer_directory):
    """Returns whether another member is the owner of any group."""
    return any(map(peer_directory.owner_of_group, KEYS))


@pytest.mark.parametrize(
    ('changes', 'is_expected'),
    [
        ({'state': {ACCEPTS_KEY: b'1'}}, True),
        ({'state': {ACCEPTS_KEY: b'0'}}, False),
        ({'state': {}}, True),  # an older version, without this state
        ({'state': {ACCEPTS_KEY: b'1'}, 'leaving': True}, False),
    ],
)
def test_only_accepting_members_that_stay_are_chosen(
    peer_directory_of, changes, is_expected
):
    peer_directory = peer_directory_of(member('entry-2', **changes))
    peer_directory.accepts = True
    assert is_chosen(peer_directory) is is_expected
    assert peer_directory.other_instances()[0].takes_work is is_expected


def test_starting_instance_owns_no_group(peer_directory_of):
    peer_directory = peer_directory_of(member('entry-2'))
    assert all(map(peer_directory.owner_of_group, KEYS))
    peer_directory.accepts = True
    assert not all(map(peer_directory.owner_of_group, KEYS))


@pytest.mark.parametrize(
    ('accepts', 'published'), [(False, b'0'), (True, b'1')]
)
def test_heartbeat_state_says_whether_work_is_accepted(accepts, published):
    assert member_state((), 1, accepts=accepts)[ACCEPTS_KEY] == published

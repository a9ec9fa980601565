"""Which stores a gateway watches, and when it takes itself for cut off.

The load is that of a data centre that is cut off: its gateways have to leave
the balancer's rotation before their callers have used up their deadlines.
"""

import pytest

from cactusledge.records.entries import Member
from cactusledge.records.shards import form_table
from cactusledge.records.store_peers import StorePeers

DATA_CENTRES = 3
STORES = 12


class FakePeer:
    """A connection whose state is set by the test."""

    def __init__(self, name):
        self.name = name
        self.is_connected = True
        self.is_silent = False
        self.is_watched = True
        self.checks = 0
        self.on_lost = None

    def check(self):
        self.checks += 1

    def lose(self):
        self.is_connected = False
        self.is_silent = True
        self.on_lost(self)


class FakeGroupPeers:
    """Connections to the members of one group."""

    def __init__(self, group):
        self.group = group
        self._peers = {name: FakePeer(name) for name in group.members}

    def direct(self, name):
        return self._peers.get(name)

    def direct_names(self):
        return frozenset(
            name for name, peer in self._peers.items() if peer.is_connected
        )

    def adopt_group(self, group):
        return True


@pytest.fixture
def peers():
    """Connections to twelve stores in three data centres."""
    members = {
        f's{index:02d}': Member(f'h:{index}', f'dc-{index % DATA_CENTRES}')
        for index in range(STORES)
    }
    found = StorePeers('front-1', 'dc-0')
    for group in form_table(members, 3).groups:
        found.by_shard[group.shard] = FakeGroupPeers(group)
        found.adopt_group(group)
    return found


def watched(peers):
    """Returns the watched connections by data centre."""
    return {
        member.data_centre: peers.direct(name)
        for name, member in peers.members.items()
        if peers.direct(name).is_watched
    }


def test_one_store_of_each_data_centre_is_watched(peers):
    assert len(watched(peers)) == DATA_CENTRES
    assert sum(peers.direct(name).is_watched for name in peers.members) == 3


def test_gateways_watch_different_stores(peers):
    chosen = set()
    for number in range(20):
        other = StorePeers(f'front-{number}', 'dc-0')
        other.by_shard.update(peers.by_shard)
        for group_peers in peers.by_shard.values():
            other.adopt_group(group_peers.group)
        chosen.update(peer.name for peer in watched(other).values())
    assert len(chosen) > 2 * DATA_CENTRES


def test_lost_store_is_replaced_and_its_neighbours_are_checked(peers):
    lost = watched(peers)['dc-1']
    lost.lose()
    assert watched(peers)['dc-1'] is not lost
    checked = {
        peers.members[name].data_centre
        for name in peers.members
        if peers.direct(name).checks
    }
    assert checked == {'dc-1'}
    assert not peers.is_cut_off


def test_silence_of_one_data_centre_is_not_a_cut(peers):
    watched(peers)['dc-1'].is_silent = True
    assert not peers.is_cut_off


def test_silence_of_most_data_centres_is_a_cut_before_any_loss(peers):
    for data_centre in ('dc-1', 'dc-2'):
        watched(peers)[data_centre].is_silent = True
    assert peers.is_cut_off


def test_loss_of_all_stores_elsewhere_is_a_cut(peers):
    for name, member in peers.members.items():
        if member.data_centre != 'dc-0':
            peers.direct(name).lose()
    assert peers.is_cut_off

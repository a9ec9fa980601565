"""Copies of not yet durable records in another instance's memory."""

import pytest

from cactusledge.peers.errors import PeerUnreachableError
from cactusledge.peers.messages import HeldBatch
from cactusledge.programs.journal.held import HeldStore, PeerHeldRecords
from cactusledge.protocol.records import Ended, Opened

OPENED = Opened('bole-0.ab', 0, b'', 'a', 'itinerary', 10, '', 0, 60, 10)
ENDED = Ended('bole-0.ab', 0, b'digest', 'done', 1)


class FakePeer:
    """A peer that holds records, or cannot be reached."""

    def __init__(self, reachable=True):
        self.store = HeldStore()
        self.reachable = reachable

    def hold_records(self, batch):
        self._check()
        self.store.put(batch)

    def held_records(self, log):
        self._check()
        return self.store.find(log)

    def drop_held(self, log, up_to):
        self._check()
        self.store.drop(log, up_to)

    def _check(self):
        if not self.reachable:
            raise PeerUnreachableError('Peer unreachable.', remedy='None.')


@pytest.fixture
def peers():
    return [FakePeer(), FakePeer(), FakePeer()]


@pytest.fixture
def held(peers):
    return PeerHeldRecords('entry-1', lambda: peers, HeldStore())


def test_new_owner_reads_what_a_peer_holds(held, peers):
    assert held.hold('bole-0', [OPENED], 1)
    assert held.hold('bole-0', [OPENED, ENDED], 2)
    new_owner = PeerHeldRecords('entry-2', lambda: peers, HeldStore())
    assert list(new_owner.fetch('bole-0')) == [OPENED, ENDED]
    assert list(new_owner.fetch('bole-1')) == []


def test_new_owner_reads_what_it_holds_itself(held, peers):
    held.hold('bole-0', [OPENED], 1)
    new_owner = PeerHeldRecords('entry-2', list, peers[0].store)
    assert list(new_owner.fetch('bole-0')) == [OPENED]
    new_owner.drop('bole-0', 1)
    assert list(new_owner.fetch('bole-0')) == []


def test_delayed_copy_does_not_replace_a_later_one(held):
    held.hold('bole-0', [OPENED, ENDED], 2)
    held.hold('bole-0', [OPENED], 1)
    assert list(held.fetch('bole-0')) == [OPENED, ENDED]


@pytest.mark.parametrize(
    ('unreachable_count', 'is_held'),
    [(0, True), (1, True), (2, False), (3, False)],
)
def test_copy_goes_to_a_second_peer_if_the_first_is_unreachable(
    held, peers, unreachable_count, is_held
):
    for peer in peers[:unreachable_count]:
        peer.reachable = False
    assert held.hold('bole-0', [OPENED], 1) is is_held
    assert held.is_holding('bole-0') is is_held


def test_durable_records_are_dropped(held, peers):
    for number, log in enumerate(('bole-0', 'bole-1')):
        held.hold(log, [OPENED], number)
    held.drop('bole-0', 2)
    assert list(held.fetch('bole-0')) == []
    assert list(held.fetch('bole-1')) == [OPENED]
    assert not held.is_holding('bole-0')


def test_store_is_bounded_and_keeps_the_latest_batch():
    store = HeldStore(max_bytes=10)
    first = HeldBatch('bole-0', 1, 'entry-1', b'12345678')
    assert store.put(first)
    assert not store.put(first._replace(owner='entry-2'))
    assert store.put(first._replace(number=3, records=b'1234'))
    assert store.put(first._replace(number=2))
    assert [batch.number for batch in store.find('bole-0')] == [3]

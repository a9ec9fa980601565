"""What record stores have seen of the objects that gateways watch."""

import asyncio

import pytest

from cactusledge.errors import StoreUnavailableError
from cactusledge.objects.store import (
    ADDED,
    DELETED,
    ObjectList,
    StoredObject,
    WatchEvent,
)
from cactusledge.records.gateway_messages import LoadReport, ShareLoads
from cactusledge.records.gateways import GatewayRegistry
from cactusledge.records.platform_changes import ChangeSink, PlatformChanges

KIND = 'config'


def stored(version, name='main'):
    """Returns an object of a version."""
    return StoredObject(KIND, name, str(version), {})


class Calls:
    """Calls at once what is to be called on the event loop."""

    sink_module = ChangeSink.__module__

    def __init__(self):
        self.versions = []
        self.ends = []
        self.regained = 0
        self.up = []
        self.sink = ChangeSink(self, self, is_draining)

    def call_soon_threadsafe(self, take, *args):
        take(*args)

    def note_change(self, version):
        self.versions.append(version)

    def note_end(self, name, version):
        self.ends.append((name, version))

    def note_up(self, since_s):
        self.up.append(since_s)

    def regain(self):
        self.regained += 1


def is_draining(stored):
    return stored.body.get('state') == 'draining'


# A list counts by its objects: its own version is newer with each change of
# any other kind, which no watch of this kind brings.
def test_newest_object_of_a_list_counts():
    calls = Calls()
    calls.sink.on_snapshot(ObjectList((), '99'))
    calls.sink.on_snapshot(ObjectList((stored(3, 'a'), stored(7, 'b')), '99'))
    assert calls.versions == [0, 7]


# A list shows neither that an object is gone nor when: gateways whose watches
# were silent would go on with it.
def test_object_that_went_while_the_watch_was_silent_counts():
    calls = Calls()
    calls.sink.on_snapshot(ObjectList((stored(3, 'a'), stored(7, 'b')), '8'))
    calls.sink.on_event(WatchEvent(ADDED, stored(9, 'c')))
    calls.sink.on_event(WatchEvent(DELETED, stored(10, 'b')))
    calls.sink.on_snapshot(ObjectList((stored(3, 'a'), stored(9, 'c')), '12'))
    assert calls.versions == [7, 9, 10, 9]
    calls.sink.on_snapshot(ObjectList((stored(3, 'a'),), '14'))
    assert calls.versions[-1] == 14


@pytest.mark.parametrize('change', [ADDED, DELETED])
def test_each_change_counts(change):
    calls = Calls()
    calls.sink.on_event(WatchEvent(change, stored(9)))
    assert calls.versions == [9]


# While the platform does not answer it may take watches that it never answers.
def test_store_learns_that_the_platform_answers_again():
    calls = Calls()
    calls.sink.on_snapshot(ObjectList((), '1'))
    calls.sink.on_failure(StoreUnavailableError('no', remedy='wait'))
    assert not calls.regained
    calls.sink.on_snapshot(ObjectList((), '1'))
    calls.sink.on_snapshot(ObjectList((), '1'))
    assert calls.regained == 1


# The watch of one store may be silent too: what any of them has seen counts.
def test_change_seen_by_one_store_reaches_the_gateways_of_another():
    async def main():
        here, there = GatewayRegistry(), GatewayRegistry()
        here.changes.note(KIND, 9)
        here.changes.note(KIND, 7)
        there.changes.note('servers', 4)
        await there.share(
            ShareLoads('s1', {}, '', 0, platform_changes=here.changes.seen)
        )
        return await there.report(LoadReport('f1', {}))

    sums = asyncio.run(main())
    assert sums.platform_changes == {KIND: 9, 'servers': 4}


# Stores that told each other what they were told could not forget it.
def test_change_of_another_store_is_not_passed_on():
    changes = PlatformChanges()
    changes.share({KIND: 9})
    assert changes.newest == {KIND: 9}
    assert not changes.seen


# A gateway that the platform turns away learns from the stores which endpoints
# have left.
def test_ends_of_objects_are_told(monkeypatch):
    monkeypatch.setattr(f'{Calls.sink_module}.REREGISTRATION_S', 0)
    calls = Calls()
    calls.sink.on_snapshot(ObjectList((stored(3, 'a'), stored(7, 'b')), '8'))
    calls.sink.on_event(WatchEvent(DELETED, stored(10, 'b')))
    draining = StoredObject(KIND, 'c', '11', {'state': 'draining'})
    calls.sink.on_event(WatchEvent(ADDED, draining))
    calls.sink.on_snapshot(ObjectList((), '14'))
    assert calls.ends == [('b', 7), ('c', 11), ('a', 3), ('c', 11)]


# Live entries may expire while the platform does not answer.
def test_object_that_is_missing_after_an_outage_may_come_back(monkeypatch):
    monkeypatch.setattr(f'{Calls.sink_module}.OUTAGE_THRESHOLD_S', 0)
    calls = Calls()
    calls.sink.on_snapshot(ObjectList((stored(3, 'a'),), '8'))
    calls.sink.on_failure(StoreUnavailableError('no', remedy='wait'))
    calls.sink.on_snapshot(ObjectList((), '9'))
    assert not calls.ends


def test_removal_just_after_an_outage_is_not_told():
    calls = Calls()
    calls.sink.on_snapshot(ObjectList((stored(3, 'a'),), '8'))
    calls.sink.on_event(WatchEvent(DELETED, stored(10, 'a')))
    assert not calls.ends
    assert calls.versions[-1] == 10

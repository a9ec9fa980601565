"""Entries of another writer among those of the endpoints."""

import time

import msgspec
import pytest
import structlog

from cactusledge.gateway.messages import Replica
from cactusledge.models import Address
from cactusledge.objects.replies import Reply
from cactusledge.objects.store import BOOKMARK, ObjectList
from cactusledge.objects.watch_session import WatchTarget
from cactusledge.objects.watcher import Watcher
from cactusledge.platform import objects as platform_objects
from cactusledge.platform.documents import decode_replica
from cactusledge.platform.objects import PlatformObjects

KIND = 'servers'
WAIT_S = 5.0
DEPTH = 100_000


def entry(slots='4', born='7', host='10.0.0.1', port='80', more=''):
    """Returns an entry as JSON text."""
    return (
        f'{{"service":"svc","zone":"dc-a","state":"ready","slots":{slots},'
        f'"born":{born},"address":"{host}:{port}"{more}}}'
    )


SOUND = entry()
OPEN, CLOSED = '[' * DEPTH, ']' * DEPTH
NESTED = f'{OPEN}{CLOSED}'
QUOTE = r'\"'  # inside a text
HALF = r'\udcff'  # of a pair of surrogates, as some writers encode bytes
ESCAPED = r'\\'
ODD = {
    'nested': f'{{"deep":{NESTED}}}',
    'nested value': NESTED,
    'nested objects': ''.join(('{"a":' * DEPTH, '1', '}' * DEPTH)),
    'brackets in a text': f'{{"{OPEN}":{NESTED},"b":"{QUOTE}]"}}',
    'exponent': entry(slots='1e999'),
    'long number': entry(born='9' * 5000),
    'number over 64 bits': entry(born='9' * 30),
    'slots over 64 bits': entry(slots='9' * 30),
    'negative slots': entry(slots='-1'),
    'no slots': entry(slots='0'),
    'truth value for slots': entry(slots='false'),
    'truth value for born': entry(born='true'),
    'half of a pair of surrogates': entry(more=f',"note":"{HALF}"'),
    'the same as an escape': entry(host=f'{ESCAPED}{HALF}'),
    'port': entry(port='70000'),
    'name for an address': entry(host='a..b'),
    'text': '"here"',
    'list': '[1]',
    'nothing': 'null',
}
odd_entries = pytest.mark.parametrize('odd', ODD.values(), ids=ODD.keys())


def document(name, spec):
    """Returns an object as JSON text."""
    metadata = f'{{"name":"{name}","revision":7}}'
    return f'{{"metadata":{metadata},"spec":{spec},"status":null}}'


# Entries whose metadata tell no name or no version.
UNNAMED = {
    'null': 'null',
    'number': '7',
    'list': '[{}]',
    'no metadata': f'{{"spec":{SOUND}}}',
    'metadata of another type': f'{{"metadata":[1],"spec":{SOUND}}}',
    'no name': f'{{"metadata":{{"revision":7}},"spec":{SOUND}}}',
    'null for a name': document('odd', SOUND).replace('"odd"', 'null'),
    'half of a pair of surrogates': document(HALF, SOUND),
    'text for a version': document('odd', SOUND).replace('7', '"7"', 1),
}
unnamed_entries = pytest.mark.parametrize(
    'unnamed', UNNAMED.values(), ids=UNNAMED.keys()
)


class Platform:
    """Answers lists and watches with an odd entry between sound ones."""

    def __init__(self, odd):
        self._documents = [
            document('sound-1', SOUND),
            odd,
            document('sound-2', SOUND),
        ]

    def send(self, method, path):
        if 'watch' in path:
            events = (
                f'{{"deleted":false,"object":{text}}}'
                for text in self._documents
            )
            body = f'{{"events":[{",".join(events)}],"as_of":9}}'
        else:
            items = ','.join(self._documents)
            body = f'{{"items":[{items}],"has_more":false,"as_of":8}}'
        return Reply(200, body.encode(), None)

    def close(self):
        """Has nothing to close."""


@pytest.fixture
def client(monkeypatch):
    """Returns the client of a platform that has an odd entry."""

    def connect(odd, name='odd'):
        platform = Platform(document(name, odd) if name else odd)
        monkeypatch.setattr(
            platform_objects, 'new_exchange', lambda *_: platform
        )
        return PlatformObjects(Address('10.0.0.9', 80))

    return connect


def usable(stored):
    """Returns the names of the entries that name an endpoint to use."""
    return [one.name for one in stored if decode_replica(one) is not None]


# One odd entry of another writer hid all endpoints: lists failed for as long
# as it was there.
@odd_entries
def test_list_with_an_odd_entry_names_the_sound_ones(client, odd):
    listed = client(odd).list(KIND)
    assert listed.version == '8'
    assert usable(listed.items) == ['sound-1', 'sound-2']


# It ended the thread that watched, so that no change was seen any more.
@odd_entries
def test_watch_with_an_odd_entry_brings_the_sound_ones(client, odd):
    *events, bookmark = client(odd).watch(KIND, '8', 1)
    assert bookmark.type == BOOKMARK
    assert [one.object.name for one in events] == ['sound-1', 'odd', 'sound-2']
    assert usable(one.object for one in events) == ['sound-1', 'sound-2']


# One entry without a name hid all endpoints, and every change.
@unnamed_entries
def test_unnamed_entry_hides_no_other(client, unnamed):
    platform = client(unnamed, name='')
    listed = platform.list(KIND)
    *events, _ = platform.watch(KIND, '8', 1)
    assert usable(listed.items) == ['sound-1', 'sound-2']
    assert usable(one.object for one in events) == ['sound-1', 'sound-2']


# Lists are read again and again while the entry is there.
def test_unnamed_entry_is_told_once_a_version(client):
    platform = client('null', name='')
    with structlog.testing.capture_logs() as logs:
        platform.list(KIND)
        platform.list(KIND)
    assert len(logs) == 1


# Numbers over 64 bits cannot be sent to other instances.
@odd_entries
def test_what_an_odd_entry_names_can_be_sent(client, odd):
    replicas = map(decode_replica, client(odd).list(KIND).items)
    content = msgspec.msgpack.encode([one for one in replicas if one])
    assert len(msgspec.msgpack.decode(content, type=list[Replica])) == 2


class FailingOnce:
    """Fails unexpectedly at the first list, and lists nothing later."""

    def __init__(self):
        self.lists = 0

    def list(self, kind, prefix=''):
        self.lists += 1
        if self.lists == 1:
            raise RecursionError
        return ObjectList((), '1')

    def watch(self, kind, version, timeout_s, prefix=''):
        time.sleep(0.01)
        return iter(())


class Sink:
    """Keeps the lists and the failures."""

    def __init__(self):
        self.lists = []
        self.failures = []

    def on_snapshot(self, listed):
        self.lists.append(listed)

    def on_failure(self, exc):
        self.failures.append(exc)


# An unexpected error ended the thread for good.
def test_watcher_goes_on_after_an_unexpected_error():
    sink = Sink()
    watcher = Watcher(FailingOnce(), WatchTarget(KIND), sink)
    watcher.start()
    deadline_s = time.monotonic() + WAIT_S
    while not sink.lists and time.monotonic() < deadline_s:
        time.sleep(0.01)
    watcher.stop(WAIT_S)
    assert len(sink.lists) == 1
    assert len(sink.failures) == 1

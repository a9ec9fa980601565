"""Stores that catch up on entries with ids as long as callers may send."""

import asyncio
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from cactusledge.platform.headers import parse_prompt_parts
from cactusledge.records import catch_up
from cactusledge.records.entries import Member, Reserved, Turn, short_id
from cactusledge.records.entry_index import EntryIndex, Record
from cactusledge.records.frames import MAX_FRAME_BYTES, encode_frame
from cactusledge.records.gateway_messages import LoadSums, ReadPart
from cactusledge.records.log import RecordLog
from cactusledge.records.messages import Message, Pull, Pulled
from cactusledge.records.read_parts import (
    MAX_ENTRIES,
    ListPosition,
    ReadParts,
)
from cactusledge.records.store import RecordStore
from tests.records_support import wait_until

ID_BYTES = 9000  # `max_header_bytes` is 16,384
TURNS = 1000
SIZES = st.lists(st.integers(1, 400_000), max_size=60)


def long_id(number):
    return f'{number:06d}'.ljust(ID_BYTES, 'x')


def turn(turn_id, *, program_id='p', account='', parent_id=''):
    return Turn(turn_id, parent_id, program_id, b'in', b'', 1, 'e', (), account)


ENTRIES = {
    'program': lambda number: (
        Reserved(long_id(number), f't{number}', 1),
        turn(f't{number}', program_id=long_id(number)),
    ),
    'turn': lambda number: (
        turn(long_id(number)),
        Reserved('p', f'{long_id(number)}r', 1),
    ),
    'account': lambda number: (
        turn(f't{number}', account=long_id(number)),
        turn(f'u{number}', account=long_id(number)),
    ),
    'parent': lambda number: (
        turn(f't{number}', parent_id=long_id(number)),
        turn(f'u{number}', parent_id=long_id(number)),
    ),
}


# A store that lost its disk asked for 2,000 entries in one message, which was
# too large to receive, again and again; the next lost disk ended all service.
@pytest.mark.process
@pytest.mark.parametrize('kind', list(ENTRIES))
def test_store_catches_up_on_entries_with_long_ids(run_scenario, kind):
    async def scenario(cluster):
        found = [
            entry for number in range(TURNS) for entry in ENTRIES[kind](number)
        ]
        for name in ('store-0', 'store-1'):
            await cluster.nodes[name].store.log.append(found)
        wiped = cluster.nodes['store-2']
        await wiped.kill()
        wiped.wipe()
        await wiped.start()
        await wait_until(lambda: wiped.is_witness)
        state = wiped.store.log.state
        assert {entry.turn_id for entry in found} >= state.turns.keys()
        assert len(state.turns) >= TURNS

    run_scenario(3, scenario)


# Whatever the sizes, all entries come, in messages that can be received.
@settings(deadline=None)
@given(SIZES)
def test_parts_of_a_log_fit_in_messages_and_miss_nothing(sizes):
    index = EntryIndex()
    for number, size in enumerate(sizes):
        index.add(Record(Reserved('p' * size, f't{number}', 1), number))
    found = []
    position = 0
    while position < index.head:
        part = index.part(position, 2000)
        reply = Pulled('log', part.entries, index.head, True, part.end)
        assert len(encode_frame(1, reply)) < MAX_FRAME_BYTES
        assert part.end > position
        found.extend(part.entries)
        position = part.end
    assert [entry.turn_id for entry in found] == [
        f't{number}' for number in range(len(sizes))
    ]


class Source:
    """Another store's log, of which calls may fail."""

    name = 'source'
    is_connected = True

    def __init__(self, entries):
        self.entries = entries
        self.epoch = 'first'
        self.failures = 0
        self.asked = []

    async def call(self, request, timeout_s):
        """Replies with the entry at a position, or fails."""
        assert isinstance(request, Pull)
        self.asked.append(request.position)
        if self.failures and request.position:
            self.failures -= 1
            raise ConnectionError('connection lost')
        position = request.position
        return Pulled(
            'log',
            self.entries[position : position + 1],
            len(self.entries),
            True,
            position + 1,
            self.epoch,
        )


@pytest.fixture
def reader(tmp_path, monkeypatch):
    """Returns a store that catches up, and a source with three entries."""
    monkeypatch.setattr(catch_up, 'sources_needed', lambda size: 1)
    log = RecordLog(tmp_path, is_first_start=False)
    store = RecordStore('store', log)
    member = Member('127.0.0.1:1', 'here')
    store.adopted_group.group = msgspec.structs.replace(
        store.group, generation=1, members={'store': member, 'source': member}
    )
    yield store, Source([turn(f't{number}') for number in range(3)])
    log.stop()


# A log was read from its first entry on after each interruption.
def test_interrupted_copy_goes_on_from_where_it_was(reader):
    store, source = reader
    source.failures = 4

    async def main():
        copying = catch_up.CatchUp(store)
        for _ in range(5):
            await copying.run([source])

    with capture_logs() as lines:
        asyncio.run(main())
        logged = list(lines)
    assert source.asked == [0, 1, 1, 1, 1, 1, 2]
    assert store.log.identity.is_witness
    levels = [
        line['log_level'] for line in logged if 'interrupted' in line['event']
    ]
    assert levels == ['info', 'info', 'warning', 'warning']


# Positions mean other entries once the source was restarted; the entries in
# between would be missing in a log that counts as complete.
@pytest.mark.parametrize('epoch', ['second', ''])
def test_log_of_a_restarted_store_is_read_from_its_start(reader, epoch):
    store, source = reader
    source.failures = 1

    async def main():
        copying = catch_up.CatchUp(store)
        await copying.run([source])
        source.epoch = epoch
        for _ in range(2):
            await copying.run([source])

    asyncio.run(main())
    assert source.asked == [0, 1, 1, 0, 1, 2]
    assert store.log.identity.is_witness


PART = ('log', [], 3, True, 2)


class PulledBefore(Message, frozen=True, tag='Pulled'):
    """The reply of the build before."""

    log_id: str
    entries: list
    head: int
    is_witness: bool
    end: int = 0


@pytest.mark.parametrize(
    ('message', 'received_as', 'expected'),
    [
        (
            Pulled('a', [], 3, True, 2, 'e'),
            PulledBefore,
            PulledBefore('a', [], 3, True, 2),
        ),
        (
            PulledBefore('a', [], 3, True, 2),
            Pulled,
            Pulled('a', [], 3, True, 2),
        ),
    ],
)
def test_parts_are_read_by_the_other_build(message, received_as, expected):
    encoded = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(encoded, type=received_as) == expected


def test_epochs_of_logs_differ():
    random.seed(1)
    first = EntryIndex().epoch
    random.seed(1)
    assert EntryIndex().epoch != first


# Gateways tell each other which parts of prompts engines have read, some
# thousands of them; with long ids the list closed the connection of each
# gateway that had been restarted, again and again.
def test_list_of_parts_with_long_ids_fits_in_a_message():
    read = ReadParts()
    for number in range(MAX_ENTRIES):
        header = f'{long_id(number)}:10,last:10'.encode()
        read.add(
            ReadPart('engine-1', 1, *part)
            for part in parse_prompt_parts(header)
        )
    update = read.since(ListPosition())
    assert len(update.parts) >= MAX_ENTRIES
    frame = encode_frame(1, LoadSums({}, update.parts))
    assert len(frame) < MAX_FRAME_BYTES


def test_short_ids_are_told_as_they_are_and_long_ones_apart():
    assert parse_prompt_parts(b'a:1, b:2') == (('a', 1), ('b', 2))
    assert short_id('x' * 64) == 'x' * 64
    assert short_id(long_id(1)) != short_id(long_id(2))

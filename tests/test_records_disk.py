"""Segment files and the log after crashes, torn tails and lost disks."""

import asyncio
import math
import random
import tracemalloc

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusledge.records.disk import SEGMENT_BYTES, list_segments, read_folder
from cactusledge.records.entries import (
    ENCODER,
    ENTRY_DECODER,
    Reserved,
    Settled,
    Turn,
)
from cactusledge.records.log import RecordLog
from cactusledge.records.segment import frame_entries, parse_segment
from cactusledge.records.state import RecordState

TEXTS = 60
TEXT_BYTES = 1024 * 1024
MOST_FOR_A_START = SEGMENT_BYTES + 4 * TEXT_BYTES
ENTRIES = st.lists(st.binary(min_size=1, max_size=60), max_size=12)


def turn(turn_id, parent_id='', tokens=5):
    return Turn(turn_id, parent_id, 'p', b'in', b'out', tokens, 'engine-1', ())


@given(ENTRIES)
def test_segment_is_read_back(entries):
    content = frame_entries(entries)
    assert list(parse_segment(content)) == entries


@given(ENTRIES, st.data())
def test_torn_tail_keeps_the_entries_before_it(entries, data):
    content = frame_entries(entries)
    cut = data.draw(st.integers(0, len(content)))
    found = list(parse_segment(content[:cut]))
    assert found == entries[: len(found)]
    assert len(frame_entries(found)) <= cut


@given(ENTRIES.filter(bool), st.data())
def test_corrupt_byte_hides_only_later_entries(entries, data):
    content = bytearray(frame_entries(entries))
    position = data.draw(st.integers(0, len(content) - 1))
    content[position] ^= data.draw(st.integers(1, 255))
    found = list(parse_segment(bytes(content)))
    assert found == entries[: len(found)]
    assert len(frame_entries(found)) <= position


@given(st.binary(max_size=200))
def test_any_bytes_are_read_without_an_error(content):
    assert len(frame_entries(parse_segment(content))) <= len(content)


@pytest.mark.parametrize(
    'entry',
    [turn('t1', 't0'), Reserved('p', 't1', 40), Settled('p', 't1', 3)],
)
def test_entry_is_read_back(entry):
    assert ENTRY_DECODER.decode(ENCODER.encode(entry)) == entry


def test_acknowledged_entries_survive_a_kill(tmp_path):
    async def write():
        log = RecordLog(tmp_path, is_first_start=True)
        await log.append((Reserved('p', 't1', 40), turn('t1')))
        return log

    log = asyncio.run(write())
    reopened = RecordLog(tmp_path, is_first_start=False)
    assert reopened.state.chain('t1') == [turn('t1').without_text()]
    assert asyncio.run(reopened.texts.read(['t1'])) == [turn('t1')]
    assert reopened.state.spent('p') == {'t1': (5, True)}
    assert reopened.identity == log.identity
    log.stop()
    reopened.stop()


def test_write_after_a_torn_tail_is_found_at_the_next_start(tmp_path):
    async def write(turn_id):
        log = RecordLog(tmp_path, is_first_start=False)
        await log.append((turn(turn_id),))
        log.stop()

    asyncio.run(write('t1'))
    path = list_segments(tmp_path)[-1]
    with path.open('ab') as stream:
        stream.write(b'\0\0\0\7half')
    asyncio.run(write('t2'))
    found = RecordLog(tmp_path, is_first_start=False)
    assert set(found.state.turns) == {'t1', 't2'}
    found.stop()


# A start took the memory of the texts, once twice of it: a store that was near
# its limit was killed at each start, for good.
def test_start_takes_the_memory_of_one_segment(tmp_path):
    async def fill():
        log = RecordLog(tmp_path, is_first_start=True)
        for number in range(TEXTS):
            text = random.randbytes(TEXT_BYTES)
            found = msgspec.structs.replace(turn(f't{number}'), request=text)
            await log.append((found,))
        log.stop()

    asyncio.run(fill())
    tracemalloc.start()
    log = RecordLog(tmp_path, is_first_start=False)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    log.stop()
    assert len(log.state.turns) == TEXTS
    assert all(map(log.state.has_text, log.state.turns))
    assert peak <= MOST_FOR_A_START


def test_empty_disk_is_a_witness_only_at_the_first_start(tmp_path):
    first = read_folder(tmp_path / 'first', is_first_start=True)
    wiped = read_folder(tmp_path / 'wiped', is_first_start=False)
    assert first.identity.is_witness
    assert not wiped.identity.is_witness


def test_wiped_disk_stays_a_non_witness_over_restarts(tmp_path):
    read_folder(tmp_path, is_first_start=False)
    assert not read_folder(tmp_path, is_first_start=True).identity.is_witness


def test_caught_up_store_stays_a_witness_over_restarts(tmp_path):
    log = RecordLog(tmp_path, is_first_start=False)
    asyncio.run(log.mark_witness())
    log.stop()
    assert read_folder(tmp_path, is_first_start=False).identity.is_witness


def test_chain_is_returned_back_to_a_gap():
    state = RecordState()
    state.apply(turn('t2', 't1'))
    assert [found.turn_id for found in state.chain('t2')] == ['t2']
    state.apply(turn('t1'))
    assert [found.turn_id for found in state.chain('t2')] == ['t1', 't2']


def test_settled_turn_ignores_a_later_reservation():
    state = RecordState()
    state.apply(Settled('p', 't1', 3))
    assert not state.apply(Reserved('p', 't1', 40))
    assert not state.apply(Settled('p', 't1', 9))
    assert state.spent('p') == {'t1': (3, True)}


def test_expired_entries_are_skipped_by_a_reader(tmp_path):
    """A store that caught up from such a log asked for its start for ever."""

    async def scenario():
        log = RecordLog(tmp_path, is_first_start=True)
        await log.append([turn('t1'), turn('t2')])
        log.expire(math.inf)
        assert log.head == 2
        assert log.pull(0).end == 2
        await log.append([turn('t3')])
        part = log.pull(0)
        assert ([found.turn_id for found in part.entries], part.end) == (
            ['t3'],
            3,
        )
        log.stop()

    asyncio.run(scenario())

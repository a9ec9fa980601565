"""What a store's log takes in memory and on disk, and what it keeps."""

import asyncio
import os
import random
import time
import tracemalloc

import pytest

from cactusledge.records import disk, log_texts, room_account
from cactusledge.records.entries import Reserved, Settled, Turn
from cactusledge.records.lifetimes import SLACK_S
from cactusledge.records.log import RecordLog
from cactusledge.records.segment_names import (
    NS_PER_S,
    SEGMENT_S,
    ages,
    new_name,
)

TEXTS = 60
TEXT_BYTES = 1_000_000
MOST_IN_MEMORY = 20 * TEXT_BYTES  # of 60 MB
RETENTION_S = 60.0
KEPT_S = RETENTION_S + SLACK_S


def turn(turn_id, parent_id='', *, size=10, program_id='p', **fields):
    return Turn(
        turn_id,
        parent_id,
        program_id,
        random.randbytes(size),
        b'out',
        7,
        'engine-1',
        (),
        retention_s=RETENTION_S,
        **fields,
    )


@pytest.fixture
def move_clocks(monkeypatch):
    """Returns a function that moves all clocks on."""
    past_s = [0]
    for name in ('monotonic', 'time', 'time_ns'):
        monkeypatch.setattr(time, name, moved(getattr(time, name), past_s))

    def move_on(seconds):
        past_s[0] += seconds

    return move_on


def moved(clock, past_s):
    """Returns a clock that is ahead by some seconds."""
    unit = NS_PER_S if clock is time.time_ns else 1
    return lambda: clock() + int(past_s[0] * unit)


@pytest.fixture
def one_segment_each(monkeypatch):
    """Makes each batch a segment of its own."""
    monkeypatch.setattr(disk, 'SEGMENT_BYTES', 1)


@pytest.fixture
def open_log(tmp_path):
    """Returns a function that opens the log of one folder again and again."""
    logs = []

    def reopen(disk_mb=None):
        for log in logs:
            log.stop()
        limits = room_account.StoreLimits(disk_mb=disk_mb)
        logs.append(RecordLog(tmp_path, is_first_start=True, limits=limits))
        return logs[-1]

    yield reopen
    for log in logs:
        log.stop()


def disk_bytes(folder):
    return sum(path.stat().st_size for path in disk.list_segments(folder))


# A store kept all texts in memory for ten minutes, whatever came, until it
# exceeded its limit; it then read them back at each start, for ever.
def test_texts_do_not_stay_in_memory(tmp_path):
    async def fill():
        log = RecordLog(tmp_path, is_first_start=True)
        for number in range(TEXTS):
            text = random.randbytes(TEXT_BYTES)
            await log.append([
                Turn(f't{number}', '', 'p', text, b'out', 1, 'engine-1', ())
            ])
        log.stop()
        return log

    tracemalloc.start()
    log = asyncio.run(fill())
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(log.state.turns) == TEXTS
    assert kept <= MOST_IN_MEMORY


# The same texts, asked for: they come from disk.
def test_texts_that_left_the_memory_are_read_from_disk(open_log, monkeypatch):
    monkeypatch.setattr(log_texts, 'CACHE_BYTES', 1)
    turns = [turn(f't{number}', size=1000) for number in range(5)]

    async def main():
        log = open_log()
        await log.append(turns)
        assert not any(known.has_text for known in log.state.turns.values())
        ids = [one.turn_id for one in turns]
        assert await log.texts.read(ids) == turns
        assert await open_log().texts.read(ids) == turns

    asyncio.run(main())


# A segment was kept for twenty minutes, whatever the retention of its turns.
@pytest.mark.usefixtures('one_segment_each')
def test_expired_turns_leave_the_disk(open_log, tmp_path):
    async def main():
        log = open_log()
        for number in range(10):
            await log.append([turn(f't{number}', size=1000)])
        log.expire()
        assert disk_bytes(tmp_path) > 10_000
        log.expire(time.monotonic() + KEPT_S + 1)
        log.stop()
        assert not log.state.turns
        assert not log.state.spending
        assert disk_bytes(tmp_path) < 2000

    asyncio.run(main())


# A start read what was long past its retention, and kept it as long again.
def test_start_leaves_out_what_is_past_its_retention(open_log, move_clocks):
    async def write():
        log = open_log()
        await log.append([turn('old'), Reserved('q', 't', 4, RETENTION_S)])
        log.stop()

    asyncio.run(write())
    move_clocks(KEPT_S + SEGMENT_S + 1)
    log = open_log()
    assert not log.state.turns
    assert not log.state.spending
    assert not len(log.index)


# The file system of the users' bench keeps no times of files: all records were
# taken for older than their retention at a start.
def test_start_keeps_records_where_files_have_no_times(open_log, tmp_path):
    async def write():
        await open_log().append([turn('t1')])

    asyncio.run(write())
    for path in disk.list_segments(tmp_path):
        os.utime(path, (0, 0))
    assert set(open_log().state.turns) == {'t1'}


# Builds before named no end; their last segment may have been written to
# until just now, the others until the next one was begun.
def test_ages_of_segments_follow_from_their_names():
    old = ['00000001000000000000-ab12.log', '00000001100000000000-ab12.log']
    names = [*old, new_name(1200 * NS_PER_S), old[1].replace('11', '13')]
    found = [round(one.age_s) for one in ages(names, 1400)]
    assert found == [300, 200, 200 - SEGMENT_S, 0]
    assert [one.age_s for one in ages([new_name(NS_PER_S)], 0)] == [0]
    assert [one.age_s for one in ages(['odd.log'], 1400)] == [0]


# A turn that is continued was dropped before the turns that continue it.
@pytest.mark.usefixtures('one_segment_each')
def test_turns_are_kept_with_the_chain_that_continues_them(
    open_log, move_clocks
):
    async def main():
        log = open_log()
        await log.append([turn('t1'), turn('t0')])
        move_clocks(KEPT_S / 2)
        await log.append([turn('t2', 't1')])
        move_clocks(KEPT_S * 0.75)
        log.expire()
        assert set(log.state.turns) == {'t1', 't2'}
        reopened = open_log()
        assert set(reopened.state.turns) == {'t1', 't2'}
        move_clocks(KEPT_S)
        reopened.expire()
        assert not reopened.state.turns

    asyncio.run(main())


# Chains are known from their youngest turn on where a store catches up.
def test_parent_that_comes_late_is_kept_with_its_chain(open_log, move_clocks):
    async def main():
        log = open_log()
        await log.append([turn('t2', 't1')])
        move_clocks(KEPT_S / 2)
        await log.append([turn('t3', 't2')])
        await log.append([turn('t1')])
        move_clocks(KEPT_S - 1)
        log.expire()
        assert set(log.state.turns) == {'t1', 't2', 't3'}
        move_clocks(2)
        log.expire()
        assert not log.state.turns

    asyncio.run(main())


# A budget would be larger once the first turns of a program have expired.
@pytest.mark.parametrize('is_reopened', [False, True])
@pytest.mark.usefixtures('one_segment_each')
def test_spending_is_kept_while_the_program_goes_on(
    open_log, move_clocks, is_reopened
):
    async def main():
        log = open_log()
        await log.append([
            turn('t1'),
            turn('free', has_budget=False),
            Settled('p', 't2', 3, RETENTION_S),
        ])
        move_clocks(KEPT_S * 0.75)
        await log.append([Reserved('p', 't3', 5, RETENTION_S)])
        move_clocks(KEPT_S * 0.75)
        log.expire()
        await log.append([Reserved('p', 't4', 5, RETENTION_S)])
        if is_reopened:
            log = open_log()
        assert not log.state.turns
        assert log.state.spent('p') == {
            't1': (7, True),
            't2': (3, True),
            't3': (5, False),
            't4': (5, False),
        }
        move_clocks(2 * KEPT_S)
        log.expire()
        assert not log.state.spending

    asyncio.run(main())


# One turn that is needed for long kept the space of all others of its segment.
@pytest.mark.parametrize('is_reopened', [False, True])
def test_sparse_segments_are_written_anew(
    open_log, tmp_path, move_clocks, monkeypatch, is_reopened
):
    monkeypatch.setattr(log_texts, 'CACHE_BYTES', 1)
    monkeypatch.setattr(disk, 'SEGMENT_BYTES', 1_000_000)
    kept = turn('kept', size=1000)

    async def main():
        log = open_log(disk_mb=8)
        for number in range(100):
            await log.append([turn(f't{number}', size=200_000)])
        await log.append([kept])
        move_clocks(KEPT_S / 2)
        for number in range(3):
            await log.append([turn(f'{number}', 'kept', size=400_000)])
        move_clocks(KEPT_S * 0.75)
        log.expire()
        await log.clean()
        log.expire()
        log.stop()
        if is_reopened:
            log = open_log(disk_mb=8)
        assert disk_bytes(tmp_path) < 2_500_000
        assert await log.texts.read(['kept']) == [kept]

    asyncio.run(main())


# A segment is not given up while its last entries are only being written.
def test_segment_stays_while_its_entries_are_written_anew(
    open_log, move_clocks, monkeypatch
):
    monkeypatch.setattr(room_account, 'LEAST_DEAD_SHARE_IF_SCARCE', 0)
    monkeypatch.setattr(disk, 'SEGMENT_BYTES', 1)

    async def main():
        log = open_log(disk_mb=1)
        log.account.disk_bytes = 1
        for turn_id in ('t1', 't2', 't3'):
            await log.append([turn(turn_id, size=100)])
        names = {one.segment.name for one in log.index.records()}
        cleaning = asyncio.ensure_future(log.clean())
        while not cleaning.done():
            log.expire()
            ids = ['t1', 't2', 't3']
            assert len(await log.texts.read(ids)) == len(ids)
            await asyncio.sleep(0)
        assert names != {one.segment.name for one in log.index.records()}

    asyncio.run(main())


# Entries in the middle and at the end may be gone while earlier ones are kept.
def test_parts_of_a_log_pass_over_what_has_been_dropped(open_log, move_clocks):
    async def main():
        log = open_log()
        await log.append([turn('t1'), turn('t2', has_budget=False)])
        move_clocks(KEPT_S / 2)
        await log.append([turn('t3', 't1')])
        move_clocks(KEPT_S * 0.75)
        log.expire()
        part = log.pull(0)
        assert [found.turn_id for found in part.entries] == ['t1', 't3']
        assert part.end == log.head
        assert log.pull(1, 1).end == log.head
        assert log.index.part(0, 9, before=2).end == 2
        assert log.index.part(0, 9, before=1).entries == [part.entries[0]]

    asyncio.run(main())


def test_disk_that_is_scarce_is_cleaned_more_thoroughly(open_log):
    account = open_log(disk_mb=124).account
    shares = []
    for disk_total in (40, 60, 90):
        account.use = account.use._replace(disk_total=disk_total * 1_000_000)
        shares.append((account.needs_cleaning, account.least_dead_share))
    assert shares == [(False, 0.5), (True, 0.5), (True, 0.1)]

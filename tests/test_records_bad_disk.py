"""Failing writes, as on a full disk, and restarts after them."""

import asyncio
import errno
import math
import os

import pytest

from cactusledge.records import disk
from cactusledge.records.entries import Reserved, Turn
from cactusledge.records.log import RecordLog
from tests.records_support import cluster_of, read_entries, wait_until


def turn(turn_id):
    return Turn(turn_id, '', 'p', b'in', b'out', 5, 'engine-1', ())


class FullDisk:
    """Makes fsync and fdatasync fail while `is_full` is set."""

    def __init__(self, monkeypatch):
        self.is_full = False
        self._sync = os.fsync
        monkeypatch.setattr(disk.os, 'fdatasync', self._refuse_or_sync)
        monkeypatch.setattr(disk.os, 'fsync', self._refuse_or_sync)

    def _refuse_or_sync(self, descriptor):
        if self.is_full:
            raise OSError(errno.ENOSPC, 'no space left on device')
        self._sync(descriptor)


@pytest.fixture
def full_disk(monkeypatch):
    """A disk that a test can set to full or not."""
    return FullDisk(monkeypatch)


def durable_turns(folder):
    """Returns the turns that would survive a crash now."""
    log = RecordLog(folder, is_first_start=False)
    log.stop()
    return set(log.state.turns)


def append_refused(log, entry):
    """Returns an append that is expected to fail on the full disk."""

    async def append():
        with pytest.raises(OSError, match='no space'):
            await log.append((entry,))

    return append()


def test_retry_of_a_refused_write_is_not_reported_durable(full_disk, tmp_path):
    async def scenario():
        log = RecordLog(tmp_path, is_first_start=True)
        full_disk.is_full = True
        await append_refused(log, turn('t1'))
        await append_refused(log, turn('t1'))
        log.stop()

    asyncio.run(scenario())


def test_refused_write_is_written_with_the_next_batch(
    full_disk, tmp_path, monkeypatch
):
    async def scenario():
        log = RecordLog(tmp_path, is_first_start=True)
        with monkeypatch.context() as patch:
            patch.setattr(disk.DiskActor, '_write', no_space)
            await append_refused(log, turn('t1'))
            await append_refused(log, Reserved('p', 't2', 4))
        await log.append((turn('t1'),))
        log.stop()

    asyncio.run(scenario())
    assert durable_turns(tmp_path) == {'t1'}
    assert len(read_entries(tmp_path)) == 2


def no_space(*_args, **_options):
    raise OSError(errno.ENOSPC, 'no space left on device')


def test_log_writes_again_once_the_disk_has_space(full_disk, tmp_path):
    async def scenario():
        log = RecordLog(tmp_path, is_first_start=False)
        full_disk.is_full = True
        with pytest.raises(OSError, match='no space'):
            await log.mark_witness()
        assert not log.identity.is_witness
        log.expire(math.inf)
        full_disk.is_full = False
        await log.append((turn('t1'),))
        await log.mark_witness()
        log.stop()

    asyncio.run(scenario())
    assert durable_turns(tmp_path) == {'t1'}
    assert disk.read_folder(tmp_path, is_first_start=False).identity.is_witness


def test_witness_status_is_cleared_on_disk(full_disk, tmp_path):
    async def scenario():
        log = RecordLog(tmp_path, is_first_start=True)
        full_disk.is_full = True
        with pytest.raises(OSError, match='no space'):
            await log.clear_witness()
        assert not log.identity.is_witness
        full_disk.is_full = False
        await log.clear_witness()
        log.stop()

    asyncio.run(scenario())
    assert not disk.read_folder(
        tmp_path, is_first_start=False
    ).identity.is_witness


@pytest.mark.process
def test_store_catches_up_once_its_disk_has_space(
    full_disk, tmp_path, store, monkeypatch
):
    monkeypatch.setattr(
        'cactusledge.records.group_manager.FORMATION_DELAY_S', 0.5
    )

    async def scenario():
        async with cluster_of(3, tmp_path, store) as cluster:
            assert await cluster.client.record(turn('t1'))
            node = cluster.nodes['store-0']
            await node.kill()
            node.wipe()
            await node.start()
            full_disk.is_full = True
            await asyncio.sleep(1.5)
            assert not node.is_witness
            full_disk.is_full = False
            await wait_until(lambda: node.is_witness)

    asyncio.run(scenario())


def test_segment_that_cannot_be_opened_is_retried_on_the_next_append(
    tmp_path, monkeypatch
):
    """The disk has no space for a new file when the last segment is full."""
    monkeypatch.setattr(disk, 'SEGMENT_BYTES', 1)

    async def scenario():
        log = RecordLog(tmp_path, is_first_start=False)
        await log.append((turn('t1'),))
        with monkeypatch.context() as patch:
            patch.setattr(disk.Path, 'open', no_space)
            await append_refused(log, turn('t2'))
        await log.append((turn('t3'),))
        log.stop()

    asyncio.run(scenario())
    assert durable_turns(tmp_path) == {'t1', 't2', 't3'}

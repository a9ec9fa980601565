"""Disks that refuse writes, as a full one does, and crashes after that."""

import asyncio
import errno
import os

import pytest

from cactusledge.records import disk
from cactusledge.records.entries import Reserved, Turn
from cactusledge.records.log import RecordLog
from tests.records_support import cluster_of, until


def turn(turn_id):
    return Turn(turn_id, '', 'p', b'in', b'out', 5, 'engine-1', ())


class FullDisk:
    """Refuses syncs while it is full."""

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
    """A disk that a test can fill and empty."""
    return FullDisk(monkeypatch)


def kept_turns(folder):
    """Returns the turns that a crash now would leave."""
    log = RecordLog(folder, is_first_start=False)
    log.stop()
    return set(log.state.turns)


def refuse(log, entry):
    """Returns an append that the full disk has to refuse."""

    async def append():
        with pytest.raises(OSError, match='no space'):
            await log.append((entry,))

    return append()


def test_repeat_of_a_refused_write_is_not_told_durable(full_disk, tmp_path):
    async def scene():
        log = RecordLog(tmp_path, is_first_start=True)
        full_disk.is_full = True
        await refuse(log, turn('t1'))
        await refuse(log, turn('t1'))
        log.stop()

    asyncio.run(scene())


def test_refused_write_is_made_up_for_with_the_next(
    full_disk, tmp_path, monkeypatch
):
    async def scene():
        log = RecordLog(tmp_path, is_first_start=True)
        with monkeypatch.context() as patch:
            patch.setattr(disk.DiskActor, '_write', no_space)
            await refuse(log, turn('t1'))
            await refuse(log, Reserved('p', 't2', 4))
        await log.append((turn('t1'),))
        log.stop()

    asyncio.run(scene())
    found = disk.read_folder(tmp_path, is_first_start=False)
    assert kept_turns(tmp_path) == {'t1'}
    assert len(found.entries) == 2


def no_space(*_args, **_options):
    raise OSError(errno.ENOSPC, 'no space left on device')


def test_log_writes_again_once_there_is_room(full_disk, tmp_path):
    async def scene():
        log = RecordLog(tmp_path, is_first_start=False)
        full_disk.is_full = True
        with pytest.raises(OSError, match='no space'):
            await log.become_witness()
        assert not log.identity.is_witness
        log.expire(0)
        full_disk.is_full = False
        await log.append((turn('t1'),))
        await log.become_witness()
        log.stop()

    asyncio.run(scene())
    assert kept_turns(tmp_path) == {'t1'}
    assert disk.read_folder(tmp_path, is_first_start=False).identity.is_witness


def test_store_joins_only_when_the_disk_knows_that_it_may_lack_records(
    full_disk, tmp_path
):
    async def scene():
        log = RecordLog(tmp_path, is_first_start=True)
        full_disk.is_full = True
        with pytest.raises(OSError, match='no space'):
            await log.stop_witnessing()
        assert not log.identity.is_witness
        full_disk.is_full = False
        await log.stop_witnessing()
        log.stop()

    asyncio.run(scene())
    assert not disk.read_folder(
        tmp_path, is_first_start=False
    ).identity.is_witness


@pytest.mark.process
def test_store_catches_up_once_its_disk_has_room(
    full_disk, tmp_path, store, monkeypatch
):
    monkeypatch.setattr('cactusledge.records.keeper.FORM_AFTER_S', 0.5)

    async def scene():
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
            await until(lambda: node.is_witness)

    asyncio.run(scene())


def test_segment_that_cannot_be_opened_is_opened_the_next_time(
    tmp_path, monkeypatch
):
    """The disk has no room for a new file when the last segment is full."""
    monkeypatch.setattr(disk, 'SEGMENT_BYTES', 1)

    async def scene():
        log = RecordLog(tmp_path, is_first_start=False)
        await log.append((turn('t1'),))
        with monkeypatch.context() as patch:
            patch.setattr(disk.Path, 'open', no_space)
            await refuse(log, turn('t2'))
        await log.append((turn('t3'),))
        log.stop()

    asyncio.run(scene())
    assert kept_turns(tmp_path) == {'t1', 't2', 't3'}

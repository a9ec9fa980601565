"""Power loss: each unsynced write is kept, dropped or torn independently.

The disk actor writes to a fake file that tracks the writes since its last
sync. A power loss at any step leaves the synced content and, of each later
write, all of it, a part or nothing; see the documentation of the platform's
disks. Everything reported durable must be read back from every such file.
"""

import errno
import itertools
import tempfile
from collections import Counter
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusledge.records import disk
from tests.records_support import read_entries

ENTRY = st.binary(min_size=1, max_size=40)
BATCHES = st.lists(st.lists(ENTRY, min_size=1, max_size=4), max_size=6)
KEPT, DROPPED, TORN = 'kept', 'dropped', 'torn'
WRITE, SYNC = 'write', 'sync'


def no_space():
    return OSError(errno.ENOSPC, 'no space left on device')


class Write(NamedTuple):
    """A write since the last sync."""

    offset: int
    content: bytes


class VolatileFile:
    """A segment file whose unsynced writes may be lost on power loss."""

    def __init__(self, path):
        self.path = path
        self.failing_call = ''  # next call to fail, as on a full disk
        self.partial_bytes = 0  # written by a failing write
        self._synced = b''
        self._content = b''
        self._writes = []

    def write(self, content):
        if self.failing_call == WRITE:
            self.failing_call = ''
            self.write(content[: self.partial_bytes])
            raise no_space()
        self._writes.append(Write(len(self._content), bytes(content)))
        self._content += bytes(content)
        return len(content)

    def truncate(self, size):
        self._content = self._content[:size]

    def fileno(self):
        return self

    def sync(self):
        if self.failing_call == SYNC:
            self.failing_call = ''
            raise no_space()
        self._synced = self._content
        self._writes = []

    def close(self):
        """Does nothing; the content stays in memory."""

    def lose_power(self, draw):
        """Writes to disk what might be left after a power loss."""
        found = self._synced
        for write in self._writes:
            fate = draw(st.sampled_from((KEPT, DROPPED, TORN)))
            content = write.content
            if fate == TORN:
                content = content[: draw(st.integers(0, len(content)))]
            if fate == DROPPED:
                continue
            end = write.offset + len(content)
            gap = bytes(max(0, write.offset - len(found)))
            found = found[: write.offset] + gap + content + found[end:]
        self.path.write_bytes(found)


class VolatileSegments:
    """Opens volatile files as segments of the disk actor."""

    def __init__(self, folder):
        self.folder = folder
        self.files = []

    @property
    def last(self):
        return self.files[-1]

    def open_segment(self, actor):
        path = self.folder / f'{len(self.files):020d}.log'
        self.files.append(VolatileFile(path))
        actor._stream = self.last
        actor._synced_bytes = 0


@contextmanager
def volatile_disk():
    """A data folder in which segments are volatile files."""
    with (
        tempfile.TemporaryDirectory() as folder,
        pytest.MonkeyPatch.context() as patch,
    ):
        found = VolatileSegments(Path(folder))
        disk.read_folder(found.folder, is_first_start=True)
        patch.setattr(disk.os, 'fdatasync', VolatileFile.sync)
        patch.setattr(
            disk.DiskActor,
            '_open_segment',
            lambda actor: found.open_segment(actor),
        )
        yield found


def append(actor, batch):
    """Appends a batch; returns whether it was reported durable."""
    results = []
    actor._append_batch(disk.AppendBatch(list(batch), results.append))
    return isinstance(results[0], disk.BatchPlace)


def inject_failure(segments, draw):
    """Makes the next write or sync of the current segment fail, or neither."""
    if segments.files:
        segments.last.failing_call = draw(st.sampled_from(('', WRITE, SYNC)))
        segments.last.partial_bytes = draw(st.integers(0, 20))


def lose_power(segments, draw):
    """Cuts power during a write; returns the entries being written."""
    unsynced = draw(st.lists(ENTRY, max_size=3))
    if segments.files:
        segments.last.failing_call = ''
        segments.last.write(disk.frame_entries(unsynced))
    for segment in segments.files:
        segment.lose_power(draw)
    return unsynced


@given(batches=BATCHES, data=st.data())
def test_durable_entries_survive_a_power_loss(batches, data):
    with volatile_disk() as segments:
        actor = disk.DiskActor(segments.folder)
        durable = []
        for batch in batches:
            inject_failure(segments, data.draw)
            if append(actor, batch):
                durable.extend(batch)
        unsynced = lose_power(segments, data.draw)
        recovered = read_entries(segments.folder)
    written = [*unsynced, *itertools.chain.from_iterable(batches)]
    assert not Counter(durable) - Counter(recovered)
    assert not Counter(recovered) - Counter(written)


@pytest.mark.parametrize('torn_bytes', range(0, 60, 7))
def test_torn_document_leaves_the_previous_one(tmp_path, torn_bytes):
    before = disk.read_folder(tmp_path, is_first_start=True).identity
    content = (tmp_path / disk.IDENTITY_FILE).read_bytes()
    torn = tmp_path / f'{disk.IDENTITY_FILE}.new'
    torn.write_bytes(content[:torn_bytes])
    assert disk.read_folder(tmp_path, is_first_start=False).identity == before

"""The data folder of a record store; one actor writes it, with group commit."""

import json
import os
import secrets
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from io import FileIO
from pathlib import Path
from typing import Any, NamedTuple

import pykka
import structlog

from cactusledge.records.segment import (
    HEADER,
    FramedEntry,
    entry_at,
    frame_entries,
    framed_entries,
)
from cactusledge.records.segment_names import (
    SEGMENT_S,
    SEGMENT_SUFFIX,
    ages,
    new_name,
)

IDENTITY_FILE = 'identity.json'
SEGMENT_BYTES = 8 * 1024 * 1024
ID_BYTES = 8

log = structlog.get_logger('records')


class Identity(NamedTuple):
    """Which disk this is, and whether its log is complete.

    A witness has a complete log: an entry that it lacks was never durable, or
    has expired.
    """

    log_id: str
    is_witness: bool


class StoredSegment(NamedTuple):
    """A segment file; read when its entries are asked for."""

    path: Path
    age_s: float  # since it was last written, at least

    def frames(self) -> Iterator[FramedEntry]:
        """Yields its entries and where they are."""
        yield from framed_entries(self.path.read_bytes())

    def entries(self) -> Iterator[bytes]:
        """Yields its entries."""
        for framed in self.frames():
            yield framed.entry

    def newest_first(self) -> Iterator[FramedEntry]:
        """Yields its entries from the last one on, in little memory."""
        content = self.path.read_bytes()
        places = [
            (framed.offset, len(framed.entry))
            for framed in framed_entries(content)
        ]
        for offset, size in reversed(places):
            start = offset + HEADER.size
            yield FramedEntry(offset, content[start : start + size])


class FolderContent(NamedTuple):
    """The identity and the segments of a data folder, oldest first."""

    identity: Identity
    segments: tuple[StoredSegment, ...] = ()


class BatchPlace(NamedTuple):
    """Where a batch is on disk; its frames follow each other."""

    segment: str  # name of the file
    offset: int  # bytes, of the first frame


class AppendBatch(NamedTuple):
    """Entries to append; `on_synced` is called in the actor's thread.

    With where they are, or with why they are not durable.
    """

    entries: list[bytes]
    on_synced: Callable[[BatchPlace | OSError], None]


class WriteDocument(NamedTuple):
    """A small file to replace atomically; `on_synced` as for a batch."""

    name: str
    content: Mapping[str, Any]
    on_synced: Callable[[OSError | None], None]


class RemoveSegments(NamedTuple):
    """Remove segments by the names of their files."""

    names: tuple[str, ...]


def read_folder(folder: Path, *, is_first_start: bool) -> FolderContent:
    """Reads the data folder; an empty one gets a new identity.

    An empty disk counts as a complete log (see `Identity`) only at the first
    start of the whole system, when there are no records yet. After it, the
    group manager decides whether there can be any.
    """
    folder.mkdir(parents=True, exist_ok=True)
    found = read_document(folder, IDENTITY_FILE)
    if found is None:
        identity = Identity(secrets.token_hex(ID_BYTES), is_first_start)
        write_document(folder, IDENTITY_FILE, identity._asdict())
        return FolderContent(identity)
    identity = Identity(found['log_id'], found['is_witness'])
    names = [path.name for path in list_segments(folder)]
    segments = tuple(
        StoredSegment(folder / found.name, found.age_s)
        for found in ages(names, time.time())
    )
    return FolderContent(identity, segments)


def list_segments(folder: Path) -> list[Path]:
    """Returns the segment files, oldest first."""
    return sorted(folder.glob(f'*{SEGMENT_SUFFIX}'))


def read_entry(path: Path, offset: int, size: int) -> bytes | None:
    """Returns an entry of a segment, None if its frame is invalid.

    Raises:
        OSError: The file cannot be read, as when it has been removed.
    """
    with path.open('rb', buffering=0) as stream:
        stream.seek(offset)
        return entry_at(stream.read(HEADER.size + size), 0)


def read_document(folder: Path, name: str) -> Any:
    """Returns the content of a JSON file, None if it is absent or torn."""
    try:
        return json.loads((folder / name).read_bytes())
    except (FileNotFoundError, ValueError):
        return None


def write_document(folder: Path, name: str, content: Mapping[str, Any]) -> None:
    """Replaces a JSON file so that a crash leaves the old or the new one."""
    temporary = folder / f'{name}.new'
    with temporary.open('wb') as stream:
        stream.write(json.dumps(content).encode())
        stream.flush()
        os.fsync(stream.fileno())
    temporary.replace(folder / name)
    sync_folder(folder)


def write_all(stream: FileIO, content: bytes) -> None:
    """Writes all bytes to an unbuffered file; raises OSError."""
    left = memoryview(content)
    while left:
        left = left[stream.write(left) :]


def sync_folder(folder: Path) -> None:
    """Syncs the folder, so that new, renamed and removed files last."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class DiskActor(pykka.ThreadingActor):
    """Appends batches to segments and syncs each batch once."""

    def __init__(self, folder: Path) -> None:
        """Starts without a segment; the first append opens one."""
        super().__init__()
        self._folder = folder
        self._stream: FileIO | None = None
        self._segment = ''  # name of the current one
        self._opened_s = float(0)
        self._synced_bytes = 0  # in the current segment

    def on_receive(self, message: Any) -> None:
        """Handles one message; a write's OSError goes to `on_synced`."""
        if isinstance(message, AppendBatch):
            self._append_batch(message)
        elif isinstance(message, WriteDocument):
            self._write_document(message)
        else:
            self._remove_segments(message.names)

    def on_stop(self) -> None:
        """Closes the current segment."""
        if self._stream is not None:
            self._stream.close()

    def _append_batch(self, batch: AppendBatch) -> None:
        content = frame_entries(batch.entries)
        try:
            self._write(content)
        except OSError as exc:
            self._truncate_to_synced()
            batch.on_synced(exc)
        else:
            offset = self._synced_bytes - len(content)
            batch.on_synced(BatchPlace(self._segment, offset))

    def _truncate_to_synced(self) -> None:
        """Removes what a failed write has left behind.

        If that fails too, the next append opens a new segment.
        """
        stream = self._stream
        if stream is None:
            return
        try:
            stream.truncate(self._synced_bytes)
        except OSError as exc:
            log.warning(
                'records: segment abandoned after a failed write',
                error=repr(exc),
            )
            self._stream = None
            stream.close()

    def _write_document(self, message: WriteDocument) -> None:
        try:
            write_document(self._folder, message.name, message.content)
        except OSError as exc:
            message.on_synced(exc)
        else:
            message.on_synced(None)

    def _write(self, content: bytes) -> None:
        if self._stream is None or self._is_complete():
            self._open_segment()
            self._opened_s = time.monotonic()
        stream = self._stream
        if stream is None:
            raise OSError('no segment is open')
        write_all(stream, content)
        os.fdatasync(stream.fileno())
        self._synced_bytes += len(content)

    def _is_complete(self) -> bool:
        """Returns whether the current segment is large or old enough."""
        is_old = time.monotonic() - self._opened_s > SEGMENT_S
        return is_old or self._synced_bytes > SEGMENT_BYTES

    def _open_segment(self) -> None:
        stream = self._stream
        self._stream = None  # also when opening the next segment fails
        if stream is not None:
            stream.close()
        name = new_name(time.time_ns())
        path = self._folder / name
        self._stream = path.open('ab', buffering=0)
        self._segment = name
        self._synced_bytes = 0
        sync_folder(self._folder)

    def _remove_segments(self, names: Iterable[str]) -> None:
        """Removes segments; those left by an error go at the next start."""
        try:
            for name in names:
                (self._folder / name).unlink(missing_ok=True)
            sync_folder(self._folder)
        except OSError as exc:
            log.warning('records: old segments not removed', error=repr(exc))

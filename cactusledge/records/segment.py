"""Framing of entries in segment files: length, checksum, entry.

A crash may leave the tail of a segment missing or torn. Reading stops at the
first invalid frame; everything synced before is ahead of it.
"""

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import xxhash

HEADER = struct.Struct('>IQ')  # length and checksum of the entry
MAX_ENTRY_BYTES = 1 << 24


class FramedEntry(NamedTuple):
    """An entry of a segment, and where its frame begins."""

    offset: int  # bytes
    entry: bytes


def frame_entry(entry: bytes) -> bytes:
    """Returns an entry as it is written to a segment."""
    return HEADER.pack(len(entry), xxhash.xxh64_intdigest(entry)) + entry


def frame_entries(entries: Iterable[bytes]) -> bytes:
    """Returns several entries as they are written to a segment."""
    return b''.join(frame_entry(entry) for entry in entries)


def framed_entries(content: bytes) -> Iterator[FramedEntry]:
    """Yields the entries ahead of the first invalid frame, with offsets."""
    position = 0
    while True:
        entry = entry_at(content, position)
        if entry is None:
            return
        yield FramedEntry(position, entry)
        position += HEADER.size + len(entry)


def parse_segment(content: bytes) -> Iterator[bytes]:
    """Yields the entries ahead of the first invalid frame."""
    for framed in framed_entries(content):
        yield framed.entry


def entry_at(content: bytes, position: int) -> bytes | None:
    """Returns the entry at a position, None if its frame is invalid."""
    start = position + HEADER.size
    if start > len(content):
        return None
    length, checksum = HEADER.unpack_from(content, position)
    if not length or length > MAX_ENTRY_BYTES:
        return None
    entry = content[start : start + length]
    if len(entry) < length or xxhash.xxh64_intdigest(entry) != checksum:
        return None
    return entry

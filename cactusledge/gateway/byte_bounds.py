"""Bounds the bytes of an endpoint that are no part of an answer; pure.

Heads, trailers, chunk extensions, interim answers and answers to other requests
may come without end. Bytes of the body that is waited for are not bounded here.
"""

from typing import NamedTuple

FRAMING_BYTES = 65536
SKIPPED_BYTES = 1048576


class ByteBounds(NamedTuple):
    """How many bytes in a row may be no part of the awaited body."""

    framing: int = FRAMING_BYTES  # a head, trailers or the extension of a chunk
    skipped: int = SKIPPED_BYTES  # interim answers, answers to other requests


class ByteCount:
    """The bytes received since the answer last made progress."""

    def __init__(self, bounds: ByteBounds) -> None:
        """Starts before the first byte."""
        self._bounds = bounds
        self._framing = 0
        self._skipped = 0
        self._has_progress = False
        self._is_skipping = False

    def begin_request(self) -> None:
        """Starts to count for the next request."""
        self._framing = 0
        self._skipped = 0

    def add_progress(self) -> None:
        """Notes that the awaited answer has got its head or more body."""
        self._has_progress = True

    def add_skipped(self) -> None:
        """Notes that a head or a body was skipped."""
        self._is_skipping = True

    def add_received(self, size: int) -> bool:
        """Adds bytes that have been parsed; returns whether to read on."""
        if self._has_progress:
            self.begin_request()
        elif self._is_skipping:
            self._skipped += size
        else:
            self._framing += size
        self._has_progress = False
        self._is_skipping = False
        return (
            self._framing <= self._bounds.framing
            and self._skipped <= self._bounds.skipped
        )

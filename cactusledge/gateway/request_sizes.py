"""Counts the bytes of a request as it arrives, against its limits; pure.

No count exceeds the bytes that were sent, so a request inside the limits is
never refused.
"""

import enum

from cactusledge.gateway.client_bounds import Bound, BoundMetError
from cactusledge.gateway.messages import Limits

REQUEST_LINE_BYTES = 13  # spaces, version and line ends, of the shortest head
FIELD_LINE_BYTES = 3  # colon and line end
FIELD_OBJECTS_BYTES = 150  # what a field takes in memory beside its text
REQUEST_OBJECTS_BYTES = 2048  # what a request takes beside its text
FRAMING_BYTES = 4096  # of a body, beside its trailers
FRAMING_BYTES_PER_BODY_BYTE = 32  # a chunk may be of one byte


class Phase(enum.Enum):
    """What arrives."""

    BETWEEN = 'between'  # no request has begun
    HEAD = 'head'
    BODY = 'body'  # with chunk sizes and trailers


class RequestSizes:
    """The sizes of one request, and of the empty lines before it."""

    def __init__(self, limits: Limits) -> None:
        """Starts before the request."""
        self.limits = limits
        self.phase = Phase.BETWEEN
        self.body = 0  # bytes
        self._fields = 0  # fields of the head and their text, bytes
        self._field_count = 0
        self._target = 0  # bytes
        self._trailers = 0  # bytes
        self._received = 0  # bytes in this phase, in pieces of it alone

    @property
    def held(self) -> int:
        """The bytes that the request takes in memory."""
        head = self._fields + self._target
        objects = self._field_count * FIELD_OBJECTS_BYTES
        return REQUEST_OBJECTS_BYTES + head + objects + self.body

    def enter(self, phase: Phase) -> None:
        """Notes that something else arrives from here on."""
        self.phase = phase
        self._received = 0

    def add_target(self, size: int) -> None:
        """Adds a part of the path and query."""
        self._target += size
        if self._target > self.limits.header_bytes:
            raise BoundMetError(Bound.TARGET)

    def add_field(self, name: bytes, text: bytes) -> None:
        """Adds a field of the head."""
        self._fields += len(name) + len(text) + FIELD_LINE_BYTES
        self._field_count += 1
        head = REQUEST_LINE_BYTES + self._target + self._fields
        if head > self.limits.header_bytes:
            raise BoundMetError(Bound.HEADER)

    def add_trailer(self, name: bytes, text: bytes) -> None:
        """Adds a field behind the body."""
        self._trailers += len(name) + len(text) + FIELD_LINE_BYTES
        if self._trailers > self.limits.header_bytes:
            raise BoundMetError(Bound.HEADER)

    def add_body(self, size: int) -> None:
        """Adds a part of the body."""
        self.body += size
        if self.body > self.limits.body_bytes:
            raise BoundMetError(Bound.BODY)

    def add_received(self, size: int) -> None:
        """Adds a parsed piece that was all of the present phase."""
        self._received += size
        header_bytes = self.limits.header_bytes
        if self.phase is Phase.BODY:
            framing = self._received - self.body
            per_body = self.body * FRAMING_BYTES_PER_BODY_BYTE
            if framing > header_bytes + FRAMING_BYTES + per_body:
                raise BoundMetError(Bound.FRAMING)
        elif self._received > header_bytes:
            raise BoundMetError(self._endless())

    def _endless(self) -> Bound:
        """Returns the bound of what does not end."""
        if self.phase is Phase.BETWEEN:
            return Bound.EMPTY_LINES
        return Bound.HEADER if self._field_count else Bound.TARGET

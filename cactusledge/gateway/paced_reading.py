"""Reads a connection in bounded parts, and not at all while it is paused."""

import asyncio

from cactusledge.gateway.backpressure import Backpressure
from cactusledge.gateway.buffer_space import (
    READ_BYTES,
    BufferSpace,
    HeldBytes,
)

# One for all connections: what is read is parsed before the next read.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))
# Of an answer that is held back; the caller's connection counts what it has.
PAUSED_BYTES = READ_BYTES


class PacedReader(asyncio.BufferedProtocol):
    """A connection whose reading follows the pace of a caller."""

    def __init__(self, space: BufferSpace) -> None:
        """Starts before the connection is made."""
        self._transport: asyncio.Transport | None = None
        self._flow: Backpressure | None = None
        self._is_paused = False
        self._activity_s = float(0)  # loop clock
        self._paused_bytes = HeldBytes(space)

    @property
    def last_activity_s(self) -> float:
        """When data was last sent or received; now while paused."""
        if self._is_paused:
            return asyncio.get_running_loop().time()
        return self._activity_s

    def join_flow(self, flow: Backpressure) -> None:
        """Lets a caller hold this connection back."""
        self._flow = flow
        flow.connect(self)

    def leave_flow(self) -> None:
        """Reads on at its own pace."""
        if self._flow is not None:
            self._flow.disconnect(self)
        self._flow = None
        self.resume_reading()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where to read to."""
        return _READ_BUFFER[: self._paused_bytes.space.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Handles the bytes that were read."""
        self.data_received(_READ_BUFFER[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Handles received bytes; they are only valid during the call."""
        raise NotImplementedError

    def pause_reading(self) -> None:
        """Reads no more until resumed."""
        if self._transport is not None and not self._is_paused:
            self._is_paused = True
            self._paused_bytes.add(PAUSED_BYTES)
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads on; the time of the pause does not count as silence."""
        if not self._is_paused:
            return
        self._is_paused = False
        self._paused_bytes.release()
        self._activity_s = asyncio.get_running_loop().time()
        if self._transport is not None:
            self._transport.resume_reading()

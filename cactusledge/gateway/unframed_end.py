"""Ends a response without a framing, whose end is that of its connection.

A caller takes an orderly end of the connection for that of the response. Until
the kernel has all of the response, any end is a reset, also that of a killed
process.
"""

import asyncio
import socket
import struct

RESET_AT_CLOSE = struct.pack('ii', 1, 0)  # SO_LINGER: on, for no time
CLOSE_IN_ORDER = struct.pack('ii', 0, 0)  # SO_LINGER: off


class UnframedEnd:
    """The end of a response without a framing, the last of its connection."""

    def __init__(self) -> None:
        """Starts before the response."""
        self.is_pending = False  # the response has ended, but is not written
        self._transport: asyncio.Transport | None = None

    def begin(self, transport: asyncio.Transport | None) -> None:
        """Has the connection reset if it closes from now on."""
        self._transport = transport
        set_linger(transport, RESET_AT_CLOSE)

    def end(self) -> None:
        """Closes the connection in order as soon as all is written."""
        if self._transport is not None:
            self.is_pending = True
            self._transport.set_write_buffer_limits(high=0)
            self.close_if_written()

    def close_if_written(self) -> None:
        """Closes the connection if that is due and nothing is left to write."""
        transport = self._transport
        if transport is None or not self.is_pending:
            return
        if not transport.get_write_buffer_size():
            set_linger(transport, CLOSE_IN_ORDER)
            transport.close()


def set_linger(transport: asyncio.Transport | None, linger: bytes) -> None:
    """Sets how a connection closes, if it is still open."""
    sock = transport.get_extra_info('socket') if transport else None
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

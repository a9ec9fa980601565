"""Whether a peer ended its side of a connection in order, as the kernel has it.

A peer that closes with a part of a request unread resets the connection, and
what it had sent may be lost with that. If it ends its own side before that, the
end arrives first and looks orderly.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from contextlib import suppress

TCP_CLOSED = 7  # state of a connection that was reset, in Linux
COUNT = struct.Struct('i')


def is_end_in_order(transport: asyncio.Transport) -> bool:
    """Returns whether the peer has taken all that was sent, and no reset came.

    To be called when its end has been received. What the kernel does not tell
    counts as in order.
    """
    if transport.get_write_buffer_size() > 0:
        return False
    sock = transport.get_extra_info('socket')
    with suppress(OSError):
        return not (unacknowledged_bytes(sock) or is_reset(sock))
    return True


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns how many bytes the kernel still holds for the peer."""
    found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(COUNT.size))
    return int(COUNT.unpack(found)[0])


def is_reset(sock: socket.socket) -> bool:
    """Returns whether the peer has reset the connection.

    The state is the first byte of the kernel's record of it.
    """
    found = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return found[0] == TCP_CLOSED

"""Callers that take their answers slowly, on connections with small buffers."""

import socket

from tests.records_support import wait_until

BUFFER_BYTES = 16384  # of the kernel for each side of a connection


async def slow_caller(harness):
    """Returns a caller that takes nothing until its transport resumes reading.

    Returns also the transport of its connection, as the gateway has it.
    """
    caller = await harness.connect()
    caller.writer.transport.pause_reading()
    sock = caller.writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    await wait_until(lambda: harness.gateway.connections)
    conn = next(iter(harness.gateway.connections))
    sock = conn._link.transport.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    return caller, conn._link.transport

"""Clients outside the limits: what each sends, and how many there are.

A client sends its start, then its part again and again, and reads nothing. It
stops once all is sent, its connection is closed, or none of it is taken.
"""

import asyncio
import contextlib
import socket
from pathlib import Path
from typing import NamedTuple

HOST = '127.0.0.1'
STALL_S = 2.0  # for which nothing is taken
CONNECT_S = 5.0
READ_LIMIT_S = 60.0  # of an ordinary caller
KIB = 1024
MIB = 1024 * KIB
BATCH_BYTES = 64 * KIB
RECEIVE_BYTES = 4 * KIB
REST_S = 0.5
REST_LIMIT_S = 15.0
IDLE_TICKS = 5  # fewer in REST_S: it rests
AT_ONCE = 50  # connections that are opened at the same time

HEAD = b'POST /once/x HTTP/1.1\r\nHost: shop.example\r\n'
CHUNKED_HEAD = b'%bTransfer-Encoding: chunked\r\n\r\n' % HEAD


class Crowd(NamedTuple):
    """Clients that all send the same."""

    name: str
    connections: int
    start: bytes
    part: bytes = b''
    sent: int = 0  # bytes of parts that each connection sends at most
    descriptors: int = 4100  # of the machine that must bear them


def head_of(path, *headers, length=0):
    """Returns the head of a request."""
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: shop.example',
        'X-Cactusledge-Request-Id: r1',
        f'Content-Length: {length}',
        *headers,
    ]
    return b'%b\r\n\r\n' % '\r\n'.join(lines).encode()


def chunk_of(size):
    """Returns one chunk of a body."""
    return b'%x\r\n%b\r\n' % (size, bytes(size))


class Client:
    """One client of a crowd."""

    def __init__(self, crowd):
        self.taken = 0  # bytes of parts, with what the kernel holds
        self.is_refused = False  # no more is taken
        self._crowd = crowd
        self._writer = None

    async def send(self, port):
        """Sends all that the crowd sends."""
        try:
            async with asyncio.timeout(CONNECT_S):
                await self._connect(port)
            await self._send()
        except (ConnectionError, TimeoutError):
            self.is_refused = self.taken < self._crowd.sent

    def close(self):
        if self._writer is not None:
            self._writer.transport.abort()

    async def _connect(self, port):
        """Connects; hardly anything fits into the kernel's buffer."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, (HOST, port))
        except OSError:
            sock.close()
            raise
        reader, writer = await asyncio.open_connection(sock=sock)
        self._writer = writer
        reader._transport.pause_reading()

    async def _send(self):
        self._writer.write(self._crowd.start)
        part = self._crowd.part
        batch = part * max(1, BATCH_BYTES // len(part)) if part else b''
        while batch and self.taken < self._crowd.sent:
            left = self._crowd.sent - self.taken
            self._writer.write(batch[:left])
            async with asyncio.timeout(STALL_S):
                await self._writer.drain()
            self.taken += min(len(batch), left)


@contextlib.asynccontextmanager
async def crowd_at(port, crowd):
    """Lets a crowd send; its connections stay open until the end."""
    clients = [Client(crowd) for _ in range(crowd.connections)]
    gate = asyncio.Semaphore(AT_ONCE)

    async def send(client):
        async with gate:
            await client.send(port)

    await asyncio.gather(*map(send, clients))
    try:
        yield clients
    finally:
        for client in clients:
            client.close()


async def ask(port, request):
    """Sends a request on a new connection; returns the answer's status.

    0 if there is none.
    """
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(request)
        async with asyncio.timeout(READ_LIMIT_S):
            line = await reader.readline()
    except (ConnectionError, TimeoutError):
        return 0
    writer.transport.abort()
    return int(line.split()[1]) if line else 0


class Watched(NamedTuple):
    """A process whose use of its machine is read from the kernel."""

    pid: int

    def peak_bytes(self):
        """Returns the most memory that it ever had."""
        for line in Path(f'/proc/{self.pid}/status').read_text().splitlines():
            if line.startswith('VmHWM'):
                return int(line.split()[1]) * KIB
        return 0

    async def rests(self):
        """Waits until it has done all that its clients let it do."""
        ends_s = asyncio.get_running_loop().time() + REST_LIMIT_S
        ticks = -IDLE_TICKS
        while self._ticks() - ticks >= IDLE_TICKS:
            ticks = self._ticks()
            await asyncio.sleep(REST_S)
            if asyncio.get_running_loop().time() > ends_s:
                return

    def descriptors(self):
        """Returns how many descriptors it has open."""
        return len(tuple(Path(f'/proc/{self.pid}/fd').iterdir()))

    def _ticks(self):
        """Returns the processor time that it has used, in ticks of 10 ms."""
        fields = Path(f'/proc/{self.pid}/stat').read_text().split()
        return int(fields[13]) + int(fields[14])

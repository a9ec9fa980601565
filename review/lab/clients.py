"""A client: sends one attempt and tells what it has seen of the answer."""

import asyncio
import itertools
import time
from typing import NamedTuple

from lab import wire

_numbers = itertools.count(1)


class Request(NamedTuple):
    """One client attempt."""

    path: str
    body: bytes = b''
    fields: tuple[tuple[str, str], ...] = ()
    deadline_ms: int = 4000
    method: str = 'POST'


class Answer(NamedTuple):
    """What a client has seen."""

    request: str  # its id
    status: int  # 0 without an answer
    is_whole: bool
    body: bytes
    sent_s: float
    ended_s: float
    events: int = 0
    error: str = ''
    retry_after: str = ''


class Channel:
    """A connection to a front."""

    def __init__(self, host: str, port: int, name: str = 'lab.example') -> None:
        """Keeps the address; `open` connects."""
        self.address = (host, port)
        self._name = name
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether the front has not closed it, as far as one can see."""
        reader = self._reader
        return reader is not None and not reader.at_eof()

    async def open(self) -> None:
        """Connects."""
        self._reader, self._writer = await asyncio.open_connection(
            *self.address, limit=1 << 24
        )

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()

    async def send(self, request: Request) -> Answer:
        """Sends a request and reads its answer, whatever becomes of it."""
        number = f'{next(_numbers):016x}'
        sent_s = time.monotonic()
        seen: dict = {}
        try:
            async with asyncio.timeout(request.deadline_ms / 1000 + 1):
                self._writer.write(self._encode(request, number))
                await self._read(seen)
        except (
            OSError,
            asyncio.IncompleteReadError,
            TimeoutError,
        ) as exc:
            seen['error'] = repr(exc)
        found = {'status': 0, 'is_whole': False, 'body': b'', **seen}
        return Answer(number, sent_s=sent_s, ended_s=time.monotonic(), **found)

    def _encode(self, request: Request, number: str) -> bytes:
        lines = [
            f'{request.method} {request.path} HTTP/1.1',
            f'Host: {self._name}',
            f'X-Cactusledge-Request-Id: {number}',
            f'X-Cactusledge-Deadline-Ms: {request.deadline_ms}',
            *(f'{name}: {text}' for name, text in request.fields),
        ]
        if request.method == 'POST':
            lines.append(f'Content-Length: {len(request.body)}')
        head = '\r\n'.join(lines)
        return f'{head}\r\n\r\n'.encode() + request.body

    async def _read(self, seen: dict) -> None:
        head = await wire.read_head(self._reader)
        if head is None:
            raise ConnectionError('closed without an answer')
        seen['status'] = int(head.line.split(' ')[1])
        seen['retry_after'] = head.get('retry-after')
        if 'chunked' in head.get('transfer-encoding'):
            parts = []
            async for part in wire.chunks(self._reader):
                parts.append(part)
                seen['body'] = b''.join(parts)
                seen['events'] = seen['body'].count(b'\n\n')
        else:
            seen['body'] = await wire.read_body(self._reader, head)
        seen['is_whole'] = True


async def ask(address: tuple[str, int], request: Request) -> Answer:
    """Sends a request on a channel of its own."""
    channel = Channel(*address)
    sent_s = time.monotonic()
    try:
        async with asyncio.timeout(1):
            await channel.open()
    except (OSError, TimeoutError) as exc:
        number = f'{next(_numbers):016x}'
        now_s = time.monotonic()
        return Answer(number, 0, False, b'', sent_s, now_s, error=repr(exc))
    try:
        return await channel.send(request)
    finally:
        channel.close()


async def is_ready(host: str, port: int) -> bool:
    """Asks a front's ready address as the platform's balancer does."""
    try:
        async with asyncio.timeout(0.8):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b'GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n')
            head = await wire.read_head(reader)
            writer.close()
    except (OSError, TimeoutError):
        return False
    return head is not None and ' 200 ' in head.line

"""Callers that send requests byte by byte and judge the responses."""

import asyncio
from typing import NamedTuple

import httptools

from tests.gateway_endpoints import length_of, read_head

HOST = 'shop.example'
READ_S = 5.0
READ_BYTES = 65536


class Seen(NamedTuple):
    """A response as a caller sees it."""

    end: str  # 'complete', 'unproven' (ended by a close) or 'broken'
    body: bytes


class _Collector:
    """Receives what a parser of responses reports."""

    def __init__(self):
        self.body = b''
        self.has_framing = False
        self.is_complete = False

    def on_header(self, name, _):
        if name.lower() in {b'content-length', b'transfer-encoding'}:
            self.has_framing = True

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.is_complete = True


class Caller:
    """Sends requests on one connection."""

    def __init__(self, reader, writer, request_id='r1'):
        self.reader = reader
        self.writer = writer
        self.request_id = request_id

    async def send(self, path, *headers, body=b''):
        lines = [
            f'POST {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Cactusledge-Request-Id: {self.request_id}',
            f'Content-Length: {len(body)}',
            *headers,
        ]
        head = '\r\n'.join(lines).encode()
        self.writer.write(b'%b\r\n\r\n%b' % (head, body))

    async def read(self):
        """Returns the status, head and body; (0, [], b'') if closed."""
        async with asyncio.timeout(READ_S):
            head = await read_head(self.reader)
            if not head:
                return 0, [], b''
            body = await self.reader.readexactly(length_of(head))
        return int(head[0].split()[1]), head, body

    async def read_all(self):
        """Returns all bytes until the connection ends."""
        async with asyncio.timeout(READ_S):
            return await self.reader.read()

    async def see(self):
        """Reads until the connection ends and judges the response."""
        collector = _Collector()
        parser = httptools.HttpResponseParser(collector)
        is_reset = False
        try:
            async with asyncio.timeout(READ_S):
                while received := await self.reader.read(READ_BYTES):
                    parser.feed_data(received)
        except ConnectionResetError:
            is_reset = True
        if collector.is_complete:
            return Seen('complete', collector.body)
        is_broken = is_reset or collector.has_framing
        return Seen('broken' if is_broken else 'unproven', collector.body)

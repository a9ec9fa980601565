"""Scripted endpoints and their responses, for tests of the gateway."""

import asyncio
import socket
import struct

SEAL = 'X-Cactusledge-Response-Seal: s'
LAST_CHUNK = b'0\r\n\r\n'
RESET_AFTER_S = 0.05  # for the response to be read first
RESET_AT_CLOSE = struct.pack('ii', 1, 0)  # linger for no time


class Endpoint:
    """Scripted endpoint: `reply` maps a request head to a response.

    `reply` returns the bytes to send, or None to leave the request without a
    response. `closes` closes the connection after the response, `resets` makes
    it fail instead. All requests are kept in `requests`.
    """

    def __init__(self, reply, *, closes=False, resets=False):
        self.reply = reply
        self.closes = closes
        self.resets = resets
        self.requests = []
        self.left = asyncio.Event()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _serve(self, reader, writer):
        try:
            has_next = True
            while has_next:
                has_next = await self._answer_next(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.left.set()
        writer.close()

    async def _answer_next(self, reader, writer):
        """Answers one request; returns whether another one may follow."""
        head = await read_head(reader)
        if not head:
            return False
        body = await reader.readexactly(length_of(head))
        self.requests.append((head, body))
        sent = self.reply(head)
        if sent is None:
            await reader.read()
            self.left.set()
            return False
        writer.write(sent)
        if self.resets:
            await self._reset(writer)
        return not (self.closes or self.resets)

    async def _reset(self, writer):
        """Makes the connection fail once the response has gone out."""
        await writer.drain()
        await asyncio.sleep(RESET_AFTER_S)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)


async def read_head(reader):
    """Returns the lines of a message head, [] at the end of the stream."""
    lines = []
    line = await reader.readline()
    while line.strip():
        lines.append(line.decode().strip())
        line = await reader.readline()
    return lines


def length_of(head):
    """Returns the length of the body after a head."""
    return int(field(head, 'content-length') or 0)


def field(head, name):
    """Returns a header's value, '' if it is missing."""
    for line in head[1:]:
        found, _, content = line.partition(':')
        if found.lower() == name:
            return content.strip()
    return ''


def request_id(head):
    """Returns the id of the request."""
    return field(head, 'x-cactusledge-request-id')


def reply_of(status, head, *headers, body=b''):
    """Returns a complete response to a request."""
    lines = [
        f'HTTP/1.1 {status} X',
        f'X-Cactusledge-Request-Id: {request_id(head)}',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    return b'%b\r\n\r\n%b' % ('\r\n'.join(lines).encode(), body)


def answered(head):
    """The response of a healthy endpoint."""
    return reply_of(200, head, SEAL, body=b'done')


def overloaded(head):
    """The response of a full endpoint that did not run the request."""
    return reply_of(503, head, 'X-Cactusledge-Not-Executed: 1')


def unframed(head, body):
    """A response with neither a length nor chunks; ends by a close."""
    empty = reply_of(200, head, SEAL)
    return empty.replace(b'Content-Length: 0\r\n', b'') + body


def chunked(head, body, *, is_whole=True):
    """A response in one chunk, with or without the last chunk."""
    sent = reply_of(200, head, SEAL).replace(
        b'Content-Length: 0', b'Transfer-Encoding: chunked'
    )
    end = LAST_CHUNK if is_whole else b''
    return sent + chunk_of(body) + end


def chunk_of(body):
    """One chunk of a response."""
    return b'%x\r\n%b\r\n' % (len(body), body)

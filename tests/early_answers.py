"""An endpoint that answers a long upload early and ends its connection."""

import asyncio
import socket

from tests.gateway_endpoints import (
    RESET_AT_CLOSE,
    Endpoint,
    length_of,
    read_head,
)

UPLOAD = b'u' * 1_000_000  # more than the endpoint's socket takes unread
RECEIVE_BUFFER_BYTES = 16384
PAUSE_S = 0.1  # for the answer to be read, and between two ends


class EarlyEndpoint(Endpoint):
    """Answers a request after its head and a part of its body.

    `end` says how the connection ends after that: `reset`, `close` with the
    rest unread, `shut` for sending only, or `shut and reset`. With `keep` the
    rest is read later and the connection stays.
    """

    def __init__(self, reply, end):
        super().__init__(reply)
        self.end = end

    async def start(self):
        """Listens with a small buffer, so that uploads have to wait."""
        listener = socket.create_server(('127.0.0.1', 0))
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.port = listener.getsockname()[1]
        return await asyncio.start_server(
            self._serve, sock=listener, limit=RECEIVE_BUFFER_BYTES
        )

    async def _answer_next(self, reader, writer):
        head = await read_head(reader)
        if not head:
            return False
        sent = self.reply(head)
        writer.write(sent)
        await asyncio.sleep(PAUSE_S)
        if self.end == 'keep':
            body = await reader.readexactly(length_of(head))
            self.requests.append((head, body))
            return True
        self.requests.append((head, b''))
        if 'shut' in self.end:
            writer.write_eof()
            await asyncio.sleep(PAUSE_S)
        if 'reset' in self.end:
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        return False

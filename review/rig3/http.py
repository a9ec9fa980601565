"""Small HTTP/1.1 helpers on asyncio streams; the standard library only."""

import asyncio
from typing import NamedTuple

LIMIT = 1 << 20  # bytes of one line of a head


class Message(NamedTuple):
    """A request or an answer: its first line, fields in lower case, body."""

    first: str
    fields: dict[str, str]
    body: bytes


async def read_head(reader):
    """Returns the first line and the fields, None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    first = line.decode('latin-1').strip()
    fields = {}
    while line := (await reader.readline()).strip():
        name, _, text = line.decode('latin-1').partition(':')
        fields.setdefault(name.strip().lower(), text.strip())
    return first, fields


async def read_chunk(reader):
    """Returns the next chunk, b'' for the last one."""
    line = await reader.readline()
    if not line:
        raise EOFError('the stream ended inside a chunked body')
    size = int(line.split(b';')[0], 16)
    chunk = await reader.readexactly(size) if size else b''
    await reader.readline()
    return chunk


async def read_body(reader, fields):
    """Returns a body with a length or in chunks."""
    if 'chunked' in fields.get('transfer-encoding', '').lower():
        parts = []
        while chunk := await read_chunk(reader):
            parts.append(chunk)
        return b''.join(parts)
    return await reader.readexactly(int(fields.get('content-length') or 0))


async def read_message(reader):
    """Returns the next message, None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    return Message(*head, await read_body(reader, head[1]))


def head_bytes(first, fields):
    """Returns a head as it is sent."""
    lines = [first, *(f'{name}: {text}' for name, text in fields.items())]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def message_bytes(first, fields, body=b''):
    """Returns a message with its length."""
    return head_bytes(first, {**fields, 'Content-Length': len(body)}) + body


async def serve(handle, host, port):
    """Starts a server that calls `handle(reader, writer)` for a connection."""

    async def guarded(reader, writer):
        try:
            await handle(reader, writer)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(guarded, host, port, limit=LIMIT)

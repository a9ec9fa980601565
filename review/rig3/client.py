"""A client's request on a new connection, and what came back."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from review.rig3.http import LIMIT, head_bytes, read_chunk, read_head

CONNECT_TIMEOUT_S = 1.0
NOTHING = 0  # status if no answer came
NO_FIELDS: Mapping[str, str] = MappingProxyType({})


class Seen(NamedTuple):
    """What a client saw of an answer."""

    status: int = NOTHING
    is_whole: bool = False
    body: bytes = b''
    fields: Mapping[str, str] = NO_FIELDS
    error: str = ''

    @property
    def retry_s(self):
        """What the answer says of the next attempt, in seconds."""
        return float(self.fields.get('retry-after') or 0)


async def send(record, front, ask, *, timeout_s=10.0):
    """Sends a request to a front; returns what came of it.

    `ask` has `line` (method and path), `fields` and `body`.
    """
    request_id = ask['fields']['X-Cactusledge-Request-Id']
    record.add(
        'sent',
        id=request_id,
        to=front[0],
        path=ask['line'].partition(' ')[2][:40],
        bytes=len(ask['body']),
        previous=ask['fields'].get('X-Cactusledge-Previous-Turn', ''),
    )
    seen = await exchange(front, ask, timeout_s)
    record.add(
        'answered',
        id=request_id,
        status=seen.status,
        whole=seen.is_whole,
        retry_after_s=seen.retry_s,
        error=seen.error,
    )
    return seen


async def exchange(front, ask, timeout_s):
    """Sends a request and reads its answer, whatever becomes of it."""
    seen = Seen()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*front, limit=LIMIT)
    except (OSError, TimeoutError) as exc:
        return seen._replace(error=f'not connected: {exc!r}')
    parts = []
    try:
        async with asyncio.timeout(timeout_s):
            fields = {**ask['fields'], 'Content-Length': len(ask['body'])}
            writer.write(head_bytes(f'{ask["line"]} HTTP/1.1', fields))
            writer.write(ask['body'])
            head = await read_head(reader)
            if head is None:
                return seen._replace(error='closed without an answer')
            seen = seen._replace(status=int(head[0].split()[1]), fields=head[1])
            await read_answer(reader, head[1], parts)
            seen = seen._replace(is_whole=True)
    except (OSError, EOFError, ValueError, TimeoutError) as exc:
        seen = seen._replace(error=repr(exc))
    finally:
        writer.transport.abort()
    return seen._replace(body=b''.join(parts))


async def read_answer(reader, fields, parts):
    """Reads a body into parts, whatever its framing."""
    if 'chunked' in fields.get('transfer-encoding', '').lower():
        while chunk := await read_chunk(reader):
            parts.append(chunk)
    elif 'content-length' in fields:
        parts.append(await reader.readexactly(int(fields['content-length'])))
    else:
        parts.append(await reader.read())

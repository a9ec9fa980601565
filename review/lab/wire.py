"""HTTP/1.1 heads and bodies for the stand-ins, on asyncio streams."""

import asyncio
import contextlib
from typing import NamedTuple

MAX_HEAD_BYTES = 65536


class Head(NamedTuple):
    """The first line and the headers of a message, names in lower case."""

    line: str
    fields: dict[str, str]

    def get(self, name: str) -> str:
        """Returns a header's value, '' without it."""
        return self.fields.get(name.lower(), '')


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Returns the next head, None if the connection ends before it."""
    try:
        content = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    first, *lines = content[:-4].decode('latin-1').split('\r\n')
    fields: dict[str, str] = {}
    for line in lines:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    return Head(first, fields)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Returns the body that a head announces with a length or chunks."""
    if 'chunked' in head.get('transfer-encoding').lower():
        parts = [part async for part in chunks(reader)]
        return b''.join(parts)
    return await reader.readexactly(int(head.get('content-length') or 0))


async def chunks(reader: asyncio.StreamReader):
    """Yields the chunks of a body; raises if it ends before its last one."""
    while True:
        line = await reader.readuntil(b'\r\n')
        size = int(line.split(b';')[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return
        yield part[:-2]


async def serve(host: str, port: int, handle) -> asyncio.Server:
    """Listens; `handle` gets a reader and a writer for each connection."""

    async def run(reader, writer) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError
        ):
            await handle(reader, writer)
        writer.close()

    return await asyncio.start_server(
        run, host, port, limit=1 << 24, backlog=256
    )

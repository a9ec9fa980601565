"""The platform's store: objects by kind and name, with watches."""

import asyncio
import json
from urllib.parse import parse_qs, unquote

from lab import wire

ROOT = '/api/objects/'
MAX_WAIT_S = 30.0
PHRASES = {
    200: 'OK',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    503: 'Service Unavailable',
}


class Platform:
    """Objects in memory, linearizable; one revision counter."""

    def __init__(self) -> None:
        """Starts empty and up."""
        self.is_up = True
        self.revision = 100
        self._objects: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listens for calls."""
        self._server = await wire.serve(host, port, self._serve)

    def stop(self) -> None:
        """Listens no more and closes the open connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def put(self, kind: str, name: str, spec) -> int:
        """Writes an object as the operator or a server does."""
        async with self._changed:
            self._store(kind, name, {'spec': spec})
            self._changed.notify_all()
            return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object as the platform does."""
        async with self._changed:
            found = self._objects.pop((kind, name), None)
            if found is not None:
                self.revision += 1
                self._history.append((self.revision, kind, found, True))
                self._changed.notify_all()

    def read(self, kind: str, name: str) -> dict | None:
        """Returns an object, None without it."""
        return self._objects.get((kind, name))

    def names(self, kind: str) -> list[str]:
        """Returns the names of a kind's objects."""
        return sorted(name for other, name in self._objects if other == kind)

    def _store(self, kind: str, name: str, fields: dict) -> dict:
        old = self._objects.get((kind, name))
        self.revision += 1
        create_rev = old['metadata']['create_rev'] if old else self.revision
        found = {
            'spec': {},
            'status': None,
            **(old or {}),
            **fields,
            'metadata': {
                'name': name,
                'revision': self.revision,
                'create_rev': create_rev,
                'finalizers': [],
                'deleting': False,
            },
        }
        self._objects[kind, name] = found
        self._history.append((self.revision, kind, found, False))
        return found

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await self._serve_calls(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _serve_calls(self, reader, writer) -> None:
        while (head := await wire.read_head(reader)) is not None:
            body = await wire.read_body(reader, head)
            method, target, _ = head.line.split(' ', 2)
            if self.is_up:
                status, document = await self._answer(method, target, body)
            else:
                status, document = 503, {}
            content = json.dumps(document).encode()
            start = f'HTTP/1.1 {status} {PHRASES[status]}\r\n'
            fields = 'Content-Type: application/json\r\n'
            length = f'Content-Length: {len(content)}\r\n\r\n'
            writer.write(f'{start}{fields}{length}'.encode() + content)
            await writer.drain()

    async def _answer(self, method: str, target: str, body: bytes):
        path, _, query_text = target.partition('?')
        parts = [unquote(part) for part in path.removeprefix(ROOT).split('/')]
        if method == 'GET':
            return await self._get(parts, parse_qs(query_text))
        async with self._changed:
            answer = self._write(method, parts, json.loads(body or b'{}'))
            self._changed.notify_all()
        return answer

    async def _get(self, parts: list[str], query: dict):
        if len(parts) > 1:
            found = self.read(*parts[:2])
            return (404, {}) if found is None else (200, found)
        if 'watch' in query:
            return await self._watch(parts[0], query)
        names = self.names(parts[0])
        items = [self._objects[parts[0], name] for name in names]
        return 200, {
            'items': items,
            'has_more': False,
            'as_of': self.revision,
        }

    async def _watch(self, kind: str, query: dict):
        since = int(query['watch'][0])
        wait_s = min(float(query['wait_ms'][0]) / 1000, MAX_WAIT_S)

        def events() -> list:
            return [
                {'deleted': is_gone, 'object': found}
                for at, changed, found, is_gone in self._history
                if at > since and changed == kind
            ]

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(events)
            except TimeoutError:
                pass
            return 200, {'events': events(), 'as_of': self.revision}

    def _write(self, method: str, parts: list[str], document: dict):
        metadata = document.get('metadata', {})
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else metadata['name']
        old = self.read(kind, name)
        if method == 'POST':
            if old is not None:
                return 409, old
            return 200, self._store(kind, name, {'spec': document['spec']})
        if old is None:
            return 404, {}
        wanted = metadata.get('revision')
        if wanted is not None and wanted != old['metadata']['revision']:
            return 409, old
        field = 'status' if parts[-1] == 'status' else 'spec'
        return 200, self._store(kind, name, {field: document[field]})

"""The platform's object store: conditional writes, lists, watches."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from review.rig3.http import message_bytes, read_message, serve

ROOT = '/api/objects/'
TEXTS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone'}
JSON = {'Content-Type': 'application/json'}


class Platform:
    """All objects by kind and name, and what has changed."""

    def __init__(self):
        """Starts empty."""
        self.objects = {}
        self.events = []  # (revision, kind, object, deleted)
        self.revision = 100
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, host, port):
        """Listens."""
        self._server = await serve(self._serve, host, port)

    def stop(self):
        """Closes the port."""
        self._server.close()

    def put(self, kind, name, spec):
        """Creates or replaces an object, as its owner does."""
        known = self.objects.get((kind, name))
        if known is not None and known['spec'] == spec:
            return known
        return self._store(kind, name, spec, known)

    def delete(self, kind, name):
        """Removes an object."""
        known = self.objects.pop((kind, name), None)
        if known is not None:
            self._note(kind, known, deleted=True)
        return known

    def _store(self, kind, name, spec, known):
        created = (
            known['metadata']['create_rev'] if known else self.revision + 1
        )
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision + 1,
                'create_rev': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': known['status'] if known else None,
        }
        self.objects[kind, name] = stored
        self._note(kind, stored, deleted=False)
        return stored

    def _note(self, kind, stored, *, deleted):
        self.revision += 1
        self.events.append((self.revision, kind, stored, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            method, target, _ = request.first.split(' ')
            status, document = await self._answer(method, target, request.body)
            first = f'HTTP/1.1 {status} {TEXTS[status]}'
            body = json.dumps(document).encode()
            writer.write(message_bytes(first, JSON, body))
            await writer.drain()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        path = [
            unquote(part) for part in parts.path.removeprefix(ROOT).split('/')
        ]
        query = {
            name: found[0] for name, found in parse_qs(parts.query).items()
        }
        if method == 'GET':
            return await self._get(path, query)
        if method == 'DELETE':
            return 200, self.delete(*path[:2]) or {}
        return self._write(method, path, json.loads(body))

    async def _get(self, path, query):
        if len(path) > 1:
            known = self.objects.get((path[0], path[1]))
            return (200, known) if known else (404, {})
        if 'watch' in query:
            return 200, await self._watch(path[0], query)
        listed = sorted(key for key in self.objects if key[0] == path[0])
        items = [self.objects[key] for key in listed]
        return 200, {'items': items, 'has_more': False, 'as_of': self.revision}

    async def _watch(self, kind, query):
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + int(query.get('wait_ms', 0)) / 1000
        since = int(query['watch'])
        while not (found := self._since(kind, since)):
            try:
                async with asyncio.timeout_at(ends_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        return {'events': found, 'as_of': self.revision}

    def _since(self, kind, since):
        return [
            {'object': stored, 'deleted': deleted}
            for revision, of_kind, stored, deleted in self.events
            if revision > since and of_kind == kind
        ]

    def _write(self, method, path, document):
        kind = path[0]
        name = path[1] if len(path) > 1 else document['metadata']['name']
        known = self.objects.get((kind, name))
        if method == 'POST':
            if known is not None:
                return 409, known
            return 200, self._store(kind, name, document['spec'], None)
        if known is None:
            return 404, {}
        wanted = document.get('metadata', {}).get('revision')
        if wanted not in {None, known['metadata']['revision']}:
            return 409, known
        if path[-1] == 'status' and len(path) > 2:
            known['status'] = document['status']
            return 200, known
        return 200, self.put(kind, name, document['spec'])

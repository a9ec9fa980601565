"""Sound replicas: a model engine that streams events, or a plain service."""

import asyncio
import hashlib
import time

from review.rig3.http import head_bytes, message_bytes, read_message, serve

STREAM = {
    'Content-Type': 'text/event-stream',
    'Transfer-Encoding': 'chunked',
}
NOT_RUN = {'X-Cactusledge-Not-Executed': '1'}


class Replica:
    """Runs requests and writes each run to the record."""

    def __init__(self, record, name, service, place, *, slots=16):
        """Keeps who it is; `place` is its address and its zone."""
        self.id = f'i-{name}'
        self.service = service
        self.host, self.port, self.zone = place
        self.slots = slots
        self.runs = []  # request ids
        self._record = record
        self._born = int(time.time() * 1000)
        self._server = None

    @property
    def entry(self):
        """What it says of itself at the platform."""
        return {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 0,
            'born': self._born,
        }

    async def start(self):
        """Listens."""
        self._server = await serve(self._serve, self.host, self.port)

    def stop(self):
        """Closes the port."""
        self._server.close()

    async def _serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            await self.answer(request, writer)
            await writer.drain()

    async def answer(self, request, writer):
        """Answers one request."""
        fields = request.fields
        wanted = fields.get('x-cactusledge-expect-instance', self.id)
        if wanted != self.id:
            told = {'X-Cactusledge-Instance-Id': self.id}
            first = 'HTTP/1.1 421 Misdirected Request'
            writer.write(message_bytes(first, {**self.named(fields), **told}))
            return
        if request.first.startswith('GET /health'):
            told = {'X-Cactusledge-Instance-Id': self.id}
            writer.write(message_bytes('HTTP/1.1 200 OK', told))
            return
        self.note_run(request)
        await self.run(request, writer)

    def named(self, fields):
        """Returns the field that names the request."""
        return {
            'X-Cactusledge-Request-Id': fields.get(
                'x-cactusledge-request-id', ''
            )
        }

    def sealed(self, fields):
        """Returns the fields of the replica's own answer."""
        request_id = fields.get('x-cactusledge-request-id', '')
        seal = {'X-Cactusledge-Response-Seal': f'{self.id}.{request_id}'}
        return {**self.named(fields), **seal}

    def note_run(self, request):
        """Notes that the request has begun to run."""
        request_id = request.fields.get('x-cactusledge-request-id', '')
        self.runs.append(request_id)
        self._record.add(
            'run',
            id=request_id,
            by=self.id,
            bytes=len(request.body),
            sha=hashlib.sha256(request.body).hexdigest()[:8],
        )

    async def run(self, request, writer):
        """Streams events if the request has a token usage, else answers."""
        events = int(request.fields.get('x-case-events', 0))
        if not events:
            body = b'done ' + request.first.encode()
            told = self.sealed(request.fields)
            writer.write(message_bytes('HTTP/1.1 200 OK', told, body))
            return
        pace_s = int(request.fields.get('x-case-pace-ms', 20)) / 1000
        told = {**self.sealed(request.fields), **STREAM}
        writer.write(head_bytes('HTTP/1.1 200 OK', told))
        for number in range(1, events + 1):
            await asyncio.sleep(pace_s)
            event = f'id: {number}\ndata: {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')

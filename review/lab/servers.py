"""A replica: a model engine that streams, or a plain service."""

import asyncio
import contextlib
import hashlib
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from lab import wire
from lab.platform import Platform

BEAT_S = 1.2
IDLE_S = 20
SECRET = 'lab'


class Work(NamedTuple):
    """What a replica does with a request."""

    events: int = 0  # of a stream; 0 for a plain answer
    pace_s: float = 0.0  # between events, or until a plain answer
    first_s: float = 0.0  # until the first event
    crashes: bool = False


class Run(NamedTuple):
    """A request that a replica has begun to run."""

    server: str
    request: str
    at_s: float
    digest: str  # of its body
    line: str


Plan = Callable[[wire.Head, bytes], Work]


class Server:
    """One replica with a registration at the platform."""

    def __init__(
        self, platform: Platform, name: str, service: str, place, plan: Plan
    ) -> None:
        """Keeps who it is; `start` serves. `place` is host, port, zone."""
        self.name = name
        self.service = service
        self.host, self.port, self.zone = place
        self.runs: list[Run] = []
        self.ended: list[str] = []  # ids of requests answered in full
        self.broken: list[str] = []  # ids whose caller left before the end
        self.crashes = 0
        self.is_draining = False
        # Bytes that follow a complete answer, late; none while it is sound.
        self.leftover = b''
        self.leftover_share = 0.0
        self.leftovers = 0
        self._platform = platform
        self._plan = plan
        self._born_ms = 0
        self._lifetime = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def instance_id(self) -> str:
        """The id of this lifetime."""
        return f'i-{self.name}-{self._lifetime}'

    async def start(self) -> None:
        """Begins a lifetime: listens and registers."""
        self._lifetime += 1
        self._born_ms = int(time.time() * 1000)
        self.is_draining = False
        self._server = await wire.serve(self.host, self.port, self._serve)
        await self._report(0)
        self._beats = asyncio.ensure_future(self._beat())

    async def crash(self, back_after_s: float) -> None:
        """Ends at once: resets its connections; is back after some seconds."""
        self.crashes += 1
        self._end()
        name = self.instance_id
        await asyncio.sleep(back_after_s)
        await self._platform.remove('servers', name)
        await self.start()

    def stop(self) -> None:
        """Ends for good."""
        self._end()

    def _end(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _beat(self) -> None:
        seq = 0
        while True:
            await asyncio.sleep(BEAT_S)
            seq += 1
            await self._report(seq)

    async def _report(self, seq: int) -> None:
        spec = {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 24,
            'state': 'draining' if self.is_draining else 'ready',
            'cold_left_ms': 0,
            'seq': seq,
            'born': self._born_ms,
        }
        await self._platform.put('servers', self.instance_id, spec)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        has_leftover = False
        try:
            while (head := await wire.read_head(reader)) is not None:
                body = await wire.read_body(reader, head)
                if has_leftover:
                    self.leftovers += 1
                    writer.write(self.leftover)
                if not await self._answer(head, body, reader, writer):
                    return
                has_leftover = random.random() < self.leftover_share
        finally:
            self._writers.discard(writer)

    async def _answer(self, head, body, reader, writer) -> bool:
        """Answers a request; returns whether the connection stays open."""
        request = head.get('x-cactusledge-request-id')
        echo = f'X-Cactusledge-Request-Id: {request}\r\n'
        if head.get('x-cactusledge-expect-instance') != self.instance_id:
            refusal = 'X-Cactusledge-Not-Executed: 1\r\nContent-Length: 0\r\n'
            writer.write(f'HTTP/1.1 421 X\r\n{echo}{refusal}\r\n'.encode())
            await writer.drain()
            return True
        digest = hashlib.sha256(body).hexdigest()
        self.runs.append(
            Run(self.name, request, time.monotonic(), digest, head.line)
        )
        work = self._plan(head, body)
        if work.crashes:
            await asyncio.sleep(work.first_s)
            self._crashing = asyncio.ensure_future(self.crash(work.pace_s))
            return False
        seal = f'X-Cactusledge-Response-Seal: {SECRET}.{request}\r\n'
        alive = f'Keep-Alive: timeout={IDLE_S}\r\n'
        start = f'HTTP/1.1 200 OK\r\n{echo}{seal}{alive}'
        answer = self._stream if work.events else self._plain
        is_whole = await _unless_closed(reader, answer(writer, start, work))
        (self.ended if is_whole else self.broken).append(request)
        return is_whole

    async def _plain(self, writer, start: str, work: Work) -> None:
        await asyncio.sleep(work.pace_s)
        content = b'x' * 800
        fields = f'Content-Length: {len(content)}\r\n\r\n'
        writer.write(f'{start}{fields}'.encode() + content)
        await writer.drain()

    async def _stream(self, writer, start: str, work: Work) -> None:
        await asyncio.sleep(work.first_s)
        kind = 'Content-Type: text/event-stream\r\n'
        chunked = 'Transfer-Encoding: chunked\r\n\r\n'
        writer.write(f'{start}{kind}{chunked}'.encode())
        for number in range(1, work.events + 1):
            data = f'{number}-'.ljust(120, 'w')
            event = f'id: {number}\ndata: {data}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(work.pace_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()


async def _unless_closed(reader, answering) -> bool:
    """Answers unless the caller closes first; returns whether it was whole."""
    task = asyncio.ensure_future(answering)
    closed = asyncio.ensure_future(_closed(reader))
    await asyncio.wait((task, closed), return_when=asyncio.FIRST_COMPLETED)
    is_whole = task.done() and task.exception() is None
    for one in (task, closed):
        one.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await one
    return is_whole


async def _closed(reader) -> None:
    """Returns once the caller has closed; a connection carries one request."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)

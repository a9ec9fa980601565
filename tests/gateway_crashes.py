"""Endpoints that crash on a request, and come back as a new lifetime."""

import asyncio
from contextlib import asynccontextmanager, suppress

from cactusledge.gateway.end_watch import EndWatch
from tests.gateway_endpoints import SEAL, length_of, read_head, reply_of

DEADLY = b'deadly'  # the body on which an endpoint crashes
EVENT = b'id: 1\ndata: a\n\n'
RUN_S = 0.02  # until a request has ended, one way or the other
BACK_S = 0.5  # until a crashed endpoint is back
CHECK_S = 0.01


class CrashingEndpoint:
    """Answers requests; ends with all its connections on a deadly one.

    `on_back` is called once it listens again, at another port.
    """

    def __init__(self, name, on_back):
        self.name = name
        self.port = 0
        self.born_ms = 1
        self.deadly_s = []  # when deadly requests arrived
        self.ends_s = []
        self._on_back = on_back
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self):
        """Ends it; it comes back by itself."""
        if self._server is None:
            return
        self.ends_s.append(asyncio.get_running_loop().time())
        self.close()
        task = asyncio.ensure_future(self._come_back())
        self._tasks.add(task)

    def close(self):
        """Stops to listen and aborts all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def stop(self):
        """Ends it for good."""
        self.close()
        for task in self._tasks:
            task.cancel()

    async def _come_back(self):
        await asyncio.sleep(BACK_S)
        await self.start()
        self.born_ms += 1
        self._on_back(self)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await read_head(reader):
                body = await reader.readexactly(length_of(head))
                await self._run(writer, head, body)

    async def _run(self, writer, head, body):
        is_deadly = body.endswith(DEADLY)
        if is_deadly:
            self.deadly_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(RUN_S)
        if is_deadly:
            self.crash()
        else:
            writer.write(reply_of(200, head, SEAL, body=EVENT))


@asynccontextmanager
async def crashing_endpoints(harnesses, count):
    """Starts endpoints and lists them at all gateways, as they come back."""

    def list_again(endpoint):
        for harness in harnesses:
            harness.list_endpoint(endpoint.name, endpoint)

    endpoints = [
        CrashingEndpoint(f'e{number}', list_again) for number in range(count)
    ]
    for endpoint in endpoints:
        await endpoint.start()
        list_again(endpoint)
    try:
        yield endpoints
    finally:
        for endpoint in endpoints:
            endpoint.stop()


@asynccontextmanager
async def watching_ends(harnesses):
    """Lets gateways find out which endpoints have ended."""
    tasks = [
        asyncio.ensure_future(keep_stepping(EndWatch(harness.fleet)))
        for harness in harnesses
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


async def keep_stepping(watch):
    """Runs a watch until it is cancelled."""
    while True:
        await watch.step()
        await asyncio.sleep(CHECK_S)

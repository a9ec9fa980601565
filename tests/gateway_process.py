"""A gateway as a process on loopback, an endpoint, and its callers."""

import asyncio
import json
import signal
import sys
from contextlib import asynccontextmanager

from standins.ports import free_port
from tests.gateway_callers import Caller
from tests.gateway_endpoints import (
    LAST_CHUNK,
    SEAL,
    Endpoint,
    chunk_of,
    chunked,
    field,
    length_of,
    read_head,
    reply_of,
)

HOST = '127.0.0.1'
START_LIMIT_S = 20
POLL_S = 0.02
EVENT = b'id: 1\ndata: a\n\n'


class TimedEndpoint(Endpoint):
    """Answers after the seconds that the caller asks for."""

    def __init__(self):
        super().__init__(None)

    def sent_at_once(self, head):
        """Returns what the caller gets before the seconds have passed."""
        return b''

    def sent_at_the_end(self, head):
        """Returns the rest of the response."""
        return reply_of(200, head, SEAL, body=b'done')

    async def _answer_next(self, reader, writer):
        head = await read_head(reader)
        if not head:
            return False
        body = await self._body_of(head, reader)
        self.requests.append((head, body))
        writer.write(self.sent_at_once(head))
        await asyncio.sleep(float(field(head, 'x-takes-s') or 0))
        writer.write(self.sent_at_the_end(head))
        return True

    async def _body_of(self, head, reader):
        return await reader.readexactly(length_of(head))


class TimedStreams(TimedEndpoint):
    """Streams an event at once and another after the seconds asked for."""

    def sent_at_once(self, head):
        return chunked(head, EVENT, is_whole=False)

    def sent_at_the_end(self, head):
        return chunk_of(EVENT) + LAST_CHUNK


class StartedGateway:
    """A running process of a gateway."""

    def __init__(self, endpoint, grace_s, routes, **more):
        self.endpoint = endpoint
        self.port = 0
        self.page_port = 0  # of the page for the balancer
        self._document = {
            'endpoint': endpoint.port,
            'grace_s': grace_s,
            'routes': routes,
            **more,
        }
        self.process = None
        self.signalled_s = 0

    async def start(self):
        """Starts the process and waits until it takes connections.

        A port may have been taken since it was found free: it starts again.
        """
        async with asyncio.timeout(START_LIMIT_S):
            while not await self.takes_connections():
                if self.process is None or self.process.returncode is not None:
                    await self._run()
                await asyncio.sleep(POLL_S)

    async def takes_connections(self):
        """Tells whether the port for callers is open."""
        try:
            _, writer = await asyncio.open_connection(HOST, self.port)
        except ConnectionError:
            return False
        writer.close()
        return True

    def send_signal(self, number=signal.SIGTERM):
        """Sends a signal; the first one begins the stop."""
        self.signalled_s = self.signalled_s or asyncio.get_running_loop().time()
        self.process.send_signal(number)

    async def until(self, seconds):
        """Waits until a time after the signal."""
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0, self.signalled_s + seconds - now_s))

    async def ended(self):
        """Waits for the end; returns status, seconds since SIGTERM, lines."""
        logs, _ = await self.process.communicate()
        took_s = asyncio.get_running_loop().time() - self.signalled_s
        lines = [json.loads(line) for line in logs.splitlines()]
        return self.process.returncode, took_s, lines

    async def kill(self):
        """Ends the process if it still runs."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            # With its output unread, the process may be waited for in vain.
            await self.process.communicate()

    async def connect(self, request_id='r1'):
        """Returns a caller on a new connection."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        return Caller(reader, writer, request_id)

    async def call(self, path, *headers, body=b''):
        """Sends one request on a new connection."""
        caller = await self.connect()
        await caller.send(path, *headers, body=body)
        return caller

    async def ask(self, path, takes_s=0, request_id='r1'):
        """Sends a request on a new connection; returns its answer."""
        caller = await self.connect(request_id)
        return await ask_on(caller, path, takes_s)

    async def see(self, path, takes_s=0, request_id='r1'):
        """Sends a request on a connection of its own; returns what it saw."""
        caller = await self.connect(request_id)
        await caller.send(path, f'X-Takes-S: {takes_s}', 'Connection: close')
        return await caller.see()

    async def _run(self):
        self.port = free_port()
        self.page_port = free_port()
        ports = {
            'callers': self.port,
            'readiness': self.page_port,
            'peers': free_port(),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'tests.gateway_program',
            json.dumps(self._document | ports),
            stdout=asyncio.subprocess.PIPE,
        )


async def ask_on(caller, path, takes_s=0):
    """Sends a request; returns its status, head and body."""
    await caller.send(path, f'X-Takes-S: {takes_s}')
    return await caller.read()


@asynccontextmanager
async def gateway_processes(count, grace_s, routes, endpoint=None, **more):
    """Starts an endpoint and gateways; ends what still runs."""
    endpoint = endpoint or TimedEndpoint()
    server = await endpoint.start()
    gateways = [
        StartedGateway(endpoint, grace_s, routes, **more) for _ in range(count)
    ]
    try:
        yield gateways
    finally:
        for gateway in gateways:
            await gateway.kill()
        server.close()


@asynccontextmanager
async def gateway_process(grace_s, routes, endpoint=None, **more):
    """Does so for one gateway."""
    started = gateway_processes(1, grace_s, routes, endpoint, **more)
    async with started as gateways:
        yield gateways[0]

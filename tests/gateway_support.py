"""Test harness: a gateway on loopback, raw callers, scripted endpoints."""

import asyncio
from contextlib import asynccontextmanager

from cactusledge.gateway.context import Fleet
from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.http_server import ServerConnection
from cactusledge.gateway.loads import Loads
from cactusledge.gateway.messages import (
    Configuration,
    Engine,
    Limits,
    Repeatability,
    Replica,
    Route,
    Service,
    Share,
)
from cactusledge.gateway.partitions import Partitions
from cactusledge.gateway.pool import ConnectionPool
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.platform.headers import HeaderDialect
from cactusledge.telemetry.metrics import Metrics
from tests.fakes_records import FakeRecords

HOST = 'shop.example'
SEAL = 'X-Cactusledge-Response-Seal: s'
READ_S = 5.0


class Endpoint:
    """Scripted endpoint: `reply` maps a request head to a response.

    `reply` returns the bytes to send, or None to leave the request without a
    response. `closes` closes the connection after the response. All requests
    are kept in `requests`.
    """

    def __init__(self, reply, *, closes=False):
        self.reply = reply
        self.closes = closes
        self.requests = []
        self.left = asyncio.Event()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if not head:
                    break
                body = await reader.readexactly(length_of(head))
                self.requests.append((head, body))
                sent = self.reply(head)
                if sent is None:
                    await reader.read()
                    self.left.set()
                    break
                writer.write(sent)
                if self.closes:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            self.left.set()
        writer.close()


async def read_head(reader):
    """Returns the lines of a message head, [] at the end of the stream."""
    lines = []
    line = await reader.readline()
    while line.strip():
        lines.append(line.decode().strip())
        line = await reader.readline()
    return lines


def length_of(head):
    """Returns the length of the body after a head."""
    return int(field(head, 'content-length') or 0)


def field(head, name):
    """Returns a header's value, '' if it is missing."""
    for line in head[1:]:
        found, _, content = line.partition(':')
        if found.lower() == name:
            return content.strip()
    return ''


def request_id(head):
    """Returns the id of the request."""
    return field(head, 'x-cactusledge-request-id')


def reply_of(status, head, *headers, body=b''):
    """Returns a complete response to a request."""
    lines = [
        f'HTTP/1.1 {status} X',
        f'X-Cactusledge-Request-Id: {request_id(head)}',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    return b'%b\r\n\r\n%b' % ('\r\n'.join(lines).encode(), body)


def answered(head):
    """The response of a healthy endpoint."""
    return reply_of(200, head, SEAL, body=b'done')


def overloaded(head):
    """The response of a full endpoint that did not run the request."""
    return reply_of(503, head, 'X-Cactusledge-Not-Executed: 1')


class Caller:
    """Sends requests on one connection."""

    def __init__(self, reader, writer, request_id='r1'):
        self.reader = reader
        self.writer = writer
        self.request_id = request_id

    async def send(self, path, *headers, body=b''):
        lines = [
            f'POST {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Cactusledge-Request-Id: {self.request_id}',
            f'Content-Length: {len(body)}',
            *headers,
        ]
        head = '\r\n'.join(lines).encode()
        self.writer.write(b'%b\r\n\r\n%b' % (head, body))

    async def read(self):
        """Returns the status, head and body; (0, [], b'') if closed."""
        async with asyncio.timeout(READ_S):
            head = await read_head(self.reader)
            if not head:
                return 0, [], b''
            body = await self.reader.readexactly(length_of(head))
        return int(head[0].split()[1]), head, body

    async def read_all(self):
        """Returns all bytes until the connection ends."""
        async with asyncio.timeout(READ_S):
            return await self.reader.read()


def route(prefix, kind, **changes):
    """Returns a route to the service `svc`."""
    base = Route(
        name=prefix,
        host=HOST,
        prefix=prefix,
        repeatability=kind,
        timeout_ms=2000,
        target_latency_ms=100,
        priority=0,
        shares=(Share('svc', 1),),
        max_attempts=2,
        keeps_turns=False,
        retention_s=60,
    )
    return base._replace(**changes)


ROUTES = (
    route('/safe/', Repeatability.IDEMPOTENT),
    route('/once/', Repeatability.ONCE),
    route('/short/', Repeatability.ONCE, timeout_ms=150),
    route('/stream/', Repeatability.STREAM),
    route('/turn/', Repeatability.STREAM, keeps_turns=True),
    route('/resumable/', Repeatability.STREAM, is_resumable=True),
    route(
        '/resumable-turn/',
        Repeatability.STREAM,
        keeps_turns=True,
        is_resumable=True,
    ),
)


class GatewayHarness:
    """A gateway, its endpoints and a way to call it."""

    def __init__(self, records=None):
        self.records = records or FakeRecords()
        self.fleet = Fleet(
            ReplicaList(),
            Loads(),
            ConnectionPool(HeaderDialect()),
            HeaderDialect(),
            'dc-a',
            Partitions(),
            Metrics(),
        )
        self.gateway = Gateway(self.fleet, self.records)
        self.gateway.apply(
            Configuration(1, ROUTES, (Service('svc', 9, Engine(18)),), Limits())
        )
        self.port = 0
        self.callers = []

    def close(self):
        """Closes all connections."""
        for caller in self.callers:
            caller.writer.close()
        self.fleet.pool.close()

    async def call(self, path, *headers, body=b'', request_id='r1'):
        """Sends one request on a new connection."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        caller = Caller(reader, writer, request_id)
        self.callers.append(caller)
        await caller.send(path, *headers, body=body)
        return caller


@asynccontextmanager
async def running_gateway(*endpoints, records=None):
    """Starts a gateway with these endpoints; the first one is preferred."""
    harness = GatewayHarness(records)
    loop = asyncio.get_running_loop()
    servers = [await endpoint.start() for endpoint in endpoints]
    for index, endpoint in enumerate(endpoints):
        harness.fleet.replicas.put(
            Replica(
                f'e{index}',
                'svc',
                '127.0.0.1',
                endpoint.port,
                'dc-b' if index else 'dc-a',
                4,
                is_draining=False,
                born_ms=1,
            )
        )
        harness.fleet.loads.of(f'e{index}').latency_ms = 10 + 100 * index
    listening = await loop.create_server(
        lambda: ServerConnection(harness.gateway), '127.0.0.1', 0
    )
    harness.port = listening.sockets[0].getsockname()[1]
    try:
        yield harness
    finally:
        harness.close()
        for server in (*servers, listening):
            server.close()

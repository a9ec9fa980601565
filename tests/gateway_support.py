"""Test harness: a gateway on loopback, raw callers, scripted endpoints."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from typing import NamedTuple

import httptools

from cactusledge.gateway.context import Fleet
from cactusledge.gateway.departure_reports import DepartureReports
from cactusledge.gateway.departures import Departures
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
READ_BYTES = 65536
RESET_AFTER_S = 0.05  # for the response to be read first
RESET_AT_CLOSE = struct.pack('ii', 1, 0)  # linger for no time


class Endpoint:
    """Scripted endpoint: `reply` maps a request head to a response.

    `reply` returns the bytes to send, or None to leave the request without a
    response. `closes` closes the connection after the response, `resets` makes
    it fail instead. All requests are kept in `requests`.
    """

    def __init__(self, reply, *, closes=False, resets=False):
        self.reply = reply
        self.closes = closes
        self.resets = resets
        self.requests = []
        self.left = asyncio.Event()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _serve(self, reader, writer):
        try:
            has_next = True
            while has_next:
                has_next = await self._answer_next(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.left.set()
        writer.close()

    async def _answer_next(self, reader, writer):
        """Answers one request; returns whether another one may follow."""
        head = await read_head(reader)
        if not head:
            return False
        body = await reader.readexactly(length_of(head))
        self.requests.append((head, body))
        sent = self.reply(head)
        if sent is None:
            await reader.read()
            self.left.set()
            return False
        writer.write(sent)
        if self.resets:
            await self._reset(writer)
        return not (self.closes or self.resets)

    async def _reset(self, writer):
        """Makes the connection fail once the response has gone out."""
        await writer.drain()
        await asyncio.sleep(RESET_AFTER_S)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)


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


def unframed(head, body):
    """A response with neither a length nor chunks; ends by a close."""
    empty = reply_of(200, head, SEAL)
    return empty.replace(b'Content-Length: 0\r\n', b'') + body


def chunked(head, body, *, is_whole=True):
    """A response in one chunk, with or without the last chunk."""
    sent = reply_of(200, head, SEAL).replace(
        b'Content-Length: 0', b'Transfer-Encoding: chunked'
    )
    last = b'0\r\n\r\n' if is_whole else b''
    return b'%b%x\r\n%b\r\n%b' % (sent, len(body), body, last)


class Seen(NamedTuple):
    """A response as a caller sees it."""

    end: str  # 'complete', 'unproven' (ended by a close) or 'broken'
    body: bytes


class _Collector:
    """Receives what a parser of responses reports."""

    def __init__(self):
        self.body = b''
        self.has_framing = False
        self.is_complete = False

    def on_header(self, name, _):
        if name.lower() in {b'content-length', b'transfer-encoding'}:
            self.has_framing = True

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.is_complete = True


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

    async def see(self):
        """Reads until the connection ends and judges the response."""
        collector = _Collector()
        parser = httptools.HttpResponseParser(collector)
        is_reset = False
        try:
            async with asyncio.timeout(READ_S):
                while received := await self.reader.read(READ_BYTES):
                    parser.feed_data(received)
        except ConnectionResetError:
            is_reset = True
        if collector.is_complete:
            return Seen('complete', collector.body)
        is_broken = is_reset or collector.has_framing
        return Seen('broken' if is_broken else 'unproven', collector.body)


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
    route(
        '/brief-turn/',
        Repeatability.STREAM,
        keeps_turns=True,
        timeout_ms=200,
    ),
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
        metrics, departures = Metrics(), Departures()
        reports = DepartureReports(departures, metrics)
        self.fleet = Fleet(
            ReplicaList(),
            Loads(),
            ConnectionPool(HeaderDialect(), reports.note),
            HeaderDialect(),
            'dc-a',
            Partitions(),
            metrics,
            departures,
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

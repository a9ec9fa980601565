"""Test harness: a gateway on loopback in front of scripted endpoints."""

import asyncio
from contextlib import asynccontextmanager

from cactusledge.gateway.configuration_news import VersionReports
from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.http_server import ServerConnection
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
from cactusledge.gateway.new_fleet import Place, new_fleet
from cactusledge.models import Address
from cactusledge.platform.headers import HeaderDialect
from tests.fakes_records import FakeRecords
from tests.gateway_callers import HOST, Caller


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


CROSS_MS_PER_MB = 1000.0  # price of traffic between data centres
NO_PEERS = Address('127.0.0.1', 9)  # where a gateway takes no messages


class GatewayHarness:
    """A gateway, its endpoints and a way to call it."""

    def __init__(self, records=None, name='f0', grants=None):
        self.records = records or FakeRecords()
        self.name = name
        self.fleet = new_fleet(
            HeaderDialect(),
            Place(name, 'dc-a'),
            grants,
            cross_ms_per_mb=CROSS_MS_PER_MB,
        )
        self.gateway = Gateway(self.fleet, self.records)
        self.gateway.apply(
            Configuration(1, ROUTES, (Service('svc', 9, Engine(18)),), Limits())
        )
        self.port = 0
        self.callers = []
        self.versions = VersionReports(self.gateway.news, NO_PEERS)

    def list_endpoints(self, endpoints):
        """Lists endpoints that have started, the first as the fastest."""
        for index, endpoint in enumerate(endpoints):
            data_centre = 'dc-b' if index else 'dc-a'
            self.list_endpoint(f'e{index}', endpoint, data_centre)
            self.fleet.loads.of(f'e{index}').latency_ms = 10 + 100 * index

    def list_endpoint(self, endpoint_id, endpoint, data_centre='dc-a'):
        """Lists an endpoint, or its later lifetime."""
        self.fleet.replicas.put(
            Replica(
                endpoint_id,
                'svc',
                '127.0.0.1',
                endpoint.port,
                data_centre,
                4,
                is_draining=False,
                born_ms=getattr(endpoint, 'born_ms', 1),
            )
        )

    async def listen(self):
        """Opens the port for callers; returns the server."""
        server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self.gateway), '127.0.0.1', 0
        )
        self.port = server.sockets[0].getsockname()[1]
        return server

    def close(self):
        """Closes all connections."""
        for caller in self.callers:
            caller.writer.close()
        self.fleet.pool.close()

    async def connect(self, request_id='r1'):
        """Returns a caller on a new connection."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        caller = Caller(reader, writer, request_id)
        self.callers.append(caller)
        return caller

    async def call(self, path, *headers, body=b'', request_id='r1'):
        """Sends one request on a new connection."""
        caller = await self.connect(request_id)
        await caller.send(path, *headers, body=body)
        return caller


@asynccontextmanager
async def running_gateways(count, *endpoints, records=None, grants=None):
    """Starts gateways with these endpoints; the first one is preferred."""
    harnesses = [
        GatewayHarness(records, f'f{number}', grants) for number in range(count)
    ]
    servers = [await endpoint.start() for endpoint in endpoints]
    for harness in harnesses:
        harness.list_endpoints(endpoints)
        servers.append(await harness.listen())
    try:
        yield harnesses
    finally:
        for harness in harnesses:
            harness.close()
        for server in servers:
            server.close()


@asynccontextmanager
async def running_gateway(*endpoints, records=None, grants=None):
    """Starts a gateway with these endpoints; the first one is preferred."""
    started = running_gateways(1, *endpoints, records=records, grants=grants)
    async with started as harnesses:
        yield harnesses[0]


def run_scenario(scenario, *endpoints):
    """Runs a scenario with a gateway in front of these endpoints."""

    async def main():
        async with running_gateway(*endpoints) as harness:
            await scenario(harness)

    asyncio.run(main())

"""Parts of the gateway's benchmark: an engine, record stores, a gateway."""

import asyncio
from pathlib import Path
from typing import NamedTuple

from benchmarks.gateway_dialect import PlainDialect
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
from cactusledge.records.client import RecordClient
from cactusledge.records.entries import Group, Member
from cactusledge.records.log import RecordLog
from cactusledge.records.membership import first_group
from cactusledge.records.message_server import MessageServer
from cactusledge.records.store import RecordStore
from standins.ports import LOOPBACK

EVENTS = 14
EVENT = b'9\r\ndata: e\n\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
HEAD_END = b'\r\n\r\n'
STORES = ('store-a', 'store-b', 'store-c')
COPIES = 2
ROUTE = Route(
    name='turns',
    host='benchmark',
    prefix='/',
    repeatability=Repeatability.STREAM,
    timeout_ms=60000,
    target_latency_ms=1000,
    priority=0,
    shares=(Share('engine', 1),),
    max_attempts=2,
    keeps_turns=True,
    retention_s=60,
)


class Ports(NamedTuple):
    """Where the parts listen."""

    gateway: int
    engine: int
    stores: tuple[int, ...]

    @property
    def group(self) -> Group:
        """The group of the record stores."""
        members = {
            name: Member(f'{LOOPBACK}:{port}', 'here')
            for name, port in zip(STORES, self.stores, strict=True)
        }
        return first_group(members, COPIES)


async def serve_engine(ports: Ports, event_s: float) -> None:
    """Answers each request with events at a fixed pace."""

    async def serve(  # noqa: WPS430
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while not reader.at_eof():
            try:
                head = await reader.readuntil(HEAD_END)
            except asyncio.IncompleteReadError:
                return  # the gateway has closed an idle connection
            fields = dict(
                line.split(b': ', 1) for line in head.split(b'\r\n')[1:-2]
            )
            await reader.readexactly(int(fields[b'Content-Length']))
            writer.write(
                b'HTTP/1.1 200 OK\r\nseal: s\r\nrequest-id: %b\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n' % fields[b'request-id']
            )
            for _ in range(EVENTS):
                await asyncio.sleep(event_s)  # noqa: WPS476
                writer.write(EVENT)
            writer.write(LAST_CHUNK)

    server = await asyncio.start_server(serve, LOOPBACK, ports.engine)
    await server.serve_forever()


async def serve_stores(ports: Ports, folder: str) -> None:
    """Runs the record stores, on real disks."""
    for name, port in zip(STORES, ports.stores, strict=True):
        log = RecordLog(Path(folder) / name, is_first_start=True)
        store = RecordStore(name, log)
        store.adopted_group.adopt(ports.group)
        server = MessageServer(store.handle)
        await server.start(Address(LOOPBACK, port))  # noqa: WPS476
    await asyncio.Event().wait()


async def serve_gateway(ports: Ports) -> None:
    """Runs the gateway."""
    dialect = PlainDialect()
    fleet = new_fleet(dialect, Place('gateway', 'here'))
    records = RecordClient('gateway', 'here')
    records.adopt_group(ports.group)
    gateway = Gateway(fleet, records)
    service = Service('engine', 1000, Engine(1))
    gateway.apply(Configuration(1, (ROUTE,), (service,), Limits()))
    fleet.replicas.put(
        Replica('e1', 'engine', LOOPBACK, ports.engine, 'here', 1000, False, 1)
    )
    server = await asyncio.get_running_loop().create_server(
        lambda: ServerConnection(gateway), LOOPBACK, ports.gateway
    )
    await server.serve_forever()

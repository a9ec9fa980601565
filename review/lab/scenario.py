"""What the cases share: a small deployment, its record and its verdict."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from lab.clients import is_ready
from lab.platform import Platform
from lab.programs import READY_PORT, Fleet
from lab.servers import Plan, Server

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
SERVER_PORT = 8080
READY_WAIT_S = 25.0
LONGEST_S = 115.0  # of a case; a script may take 120


class CannotRunError(Exception):
    """The case could not be set up as it is meant."""


class Lab:
    """A platform, servers and the project's programs, with a record."""

    def __init__(self, folder: Path, zones: list[str]) -> None:
        """Starts nothing yet."""
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.zones = zones
        self.platform = Platform()
        self.fleet = Fleet(zones)
        self.servers: list[Server] = []
        self._began_s = time.monotonic()
        self._record = (folder / 'record.txt').open('w', encoding='utf-8')

    def note(self, text: str) -> None:
        """Writes a line to the record, with the time since the start."""
        line = f'{time.monotonic() - self._began_s:8.3f} {text}'
        self._record.write(f'{line}\n')
        self._record.flush()

    def add_server(self, service: str, zone: str, plan: Plan) -> Server:
        """Adds a replica; it is not started."""
        number = len(self.servers)
        place = (f'{self.fleet.net}.{100 + number}', SERVER_PORT, zone)
        server = Server(
            self.platform, f'{service}-{number}', service, place, plan
        )
        self.servers.append(server)
        return server

    async def start(self, config: dict) -> None:
        """Starts all and waits until every front is ready."""
        await self.begin(config)
        await self.wait_ready()

    async def begin(self, config: dict) -> None:
        """Starts all."""
        await self.platform.start(*self.fleet.platform)
        for server in self.servers:
            await server.start()
        await self.platform.put('config', 'main', config)
        self.fleet.start_all()

    async def wait_ready(self) -> None:
        """Waits until every front is ready; raises CannotRunError."""
        ends_s = time.monotonic() + READY_WAIT_S
        for front in self.fleet.fronts:
            while not await is_ready(front.host, READY_PORT):
                if time.monotonic() > ends_s:
                    raise CannotRunError(f'{front.name} is not ready')
                await asyncio.sleep(0.1)

    def runs_of(self, request: str) -> list:
        """Returns the runs of a request at all servers."""
        return [
            run
            for server in self.servers
            for run in server.runs
            if run.request == request
        ]

    def stop(self) -> None:
        """Ends all that was started."""
        self.fleet.stop_all()
        for server in self.servers:
            server.stop()
        self.platform.stop()
        self._record.close()


def route(name: str, kind: str, service: str, **fields) -> dict:
    """Returns a route of the configuration."""
    return {
        'name': name,
        'host': 'lab.example',
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 4000,
        'target_latency_ms': 200,
        'priority': 0,
        'service': service,
        'max_attempts': 2,
        **fields,
    }


def turn_route(name: str, service: str, **fields) -> dict:
    """Returns a route whose turns are kept."""
    kept = {'retain_context': True, 'retention_s': 60.0, 'sticky': True}
    return route(
        name,
        'stream',
        service,
        resumable=False,
        gap_aim_ms=400,
        **kept,
        **fields,
    )


def configuration(routes: list[dict], engines: list[str], **limits) -> dict:
    """Returns version 1 of the configuration."""
    names = sorted({found['service'] for found in routes})
    return {
        'version': 1,
        'routes': routes,
        'services': [service(name, name in engines) for name in names],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
            **limits,
        },
    }


def service(name: str, is_engine: bool) -> dict:
    """Returns a service of the configuration."""
    found = {'name': name, 'health_path': '/health', 'max_conns': 210}
    if is_engine:
        found['engine'] = {
            'slots': 24,
            'kv_capacity_tokens': 648552,
            'tokens_per_event': 18,
            'models': [{'name': 'm'}],
        }
    return found


def play(file: str, case) -> None:
    """Plays a case: a coroutine that returns whether the rule held."""
    asyncio.run(_play(Path(file).resolve().parent, case))


async def _play(folder: Path, case) -> None:
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    started: list[Lab] = []
    verdict = CANNOT_RUN
    try:
        async with asyncio.timeout(LONGEST_S):
            has_held = await case(folder, started)
        verdict = HELD if has_held else BROKEN
    except (Exception, asyncio.CancelledError) as exc:
        sys.stderr.write(f'{exc!r}\n')
        for lab in started:
            lab.note(f'could not run: {exc!r}')
    finally:
        for lab in started:
            lab.stop()
    sys.stdout.write(f'{("held", "broken", "could not run")[verdict]}\n')
    sys.stdout.flush()
    os._exit(verdict)

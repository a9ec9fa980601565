"""The processes of a measurement and the definitions that they run."""

import hashlib
from collections.abc import Mapping, Sequence
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from types import MappingProxyType
from typing import Any, NamedTuple, Self

import yaml

from benchmarks.load_client import DEFINITION, MODEL, SERVICE, TOKEN
from standins.deployment import Deployment, wait_until

BOLE = 'addis-bole'
KIRKOS = 'addis-kirkos'
READ = 'read'
WRITE = 'write'
BUDGET = 100_000_000
LIMIT_S = 600
WORKER_THREADS = 96
SERVICE_NAME = 'service-1'
SERVICE_OPTIONS = (
    f'--operation={READ}={{}}',
    f'--operation={WRITE}={{"idempotent": false}}',
)

Document = dict[str, Any]


class Layout(NamedTuple):
    """How many processes there are and where."""

    entries: tuple[str, ...] = (BOLE,)  # data centre of each entry
    engines: tuple[str, ...] = (BOLE,)
    engine_options: tuple[str, ...] = ()
    settings: Mapping[str, Any] = MappingProxyType({})


class World:
    """A deployment for measurements; ends its processes on exit."""

    def __init__(self, layout: Layout) -> None:
        """Keeps the layout; nothing is started yet."""
        self.layout = layout
        self._stack = ExitStack()
        self.entries = tuple(
            f'entry-{number}' for number, _ in enumerate(layout.entries)
        )
        self.engines = tuple(
            f'engine-{number}' for number, _ in enumerate(layout.engines)
        )

    def __enter__(self) -> Self:
        """Starts every process and publishes the definitions."""
        folder = Path(self._stack.enter_context(TemporaryDirectory()))
        self.deployed = self._stack.enter_context(Deployment(folder))
        try:
            self._start(folder)
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        """Ends the processes."""
        self._stack.close()

    def ports(self, names: Sequence[str]) -> list[int]:
        """Returns the ports of processes."""
        return [self.deployed.port(name) for name in names]

    def pids(self, names: Sequence[str]) -> dict[str, int]:
        """Returns the process ids by name."""
        return {name: self.deployed.pid(name) for name in names}

    def platform_records(self) -> Document:
        """Returns the platform's counters of requests."""
        records: Document = self.deployed.get('platform', '/records')
        return records

    def _start(self, folder: Path) -> None:
        self.deployed.start_platform()
        for name, centre in zip(
            self.engines,
            self.layout.engines,
            strict=True,
        ):
            options = self.layout.engine_options
            self.deployed.start_engine(name, MODEL, centre, *options)
        self.deployed.start_service(
            SERVICE_NAME,
            SERVICE,
            BOLE,
            *SERVICE_OPTIONS,
        )
        self.deployed.publish(write_definitions(folder))
        self._start_entries()

    def _start_entries(self) -> None:
        seeds: list[int] = []
        for name, centre in zip(
            self.entries,
            self.layout.entries,
            strict=True,
        ):
            settings = self.layout.settings
            self.deployed.start_entry(name, centre, seeds, **settings)
            seeds = [self.deployed.peers_port(self.entries[0])]
        self.deployed.wait_ready(*self.entries)
        wait_until(self._is_joined, 'instances know each other and endpoints')

    def _is_joined(self) -> bool:
        endpoints = len(self.engines) + 1
        for name in self.entries:
            status = self.deployed.get(name, '/status')
            if len(status['peers']) != len(self.entries) - 1:
                return False
            if len(status['endpoints']) != endpoints:
                return False
        return True


def write_definitions(folder: Path, accounts: int = 1) -> Path:
    """Writes the definition file of a measurement; returns its path."""
    path = folder / 'load.cactusledge.yaml'
    path.write_text(yaml.safe_dump(definitions(accounts)), encoding='utf-8')
    return path


def definitions(accounts: int = 1) -> Document:
    """Returns definitions with one program, and so many accounts."""
    program = {
        'name': DEFINITION,
        'models': [MODEL],
        'services': [SERVICE],
        'budget': BUDGET,
        'turn_limit': 10_000,
        'time_limit_s': LIMIT_S,
        'idle_limit_s': LIMIT_S,
        'deadline_s': LIMIT_S,
        'max_output_tokens': 4096,
    }
    operations = [
        {'name': READ, 'idempotent': True, 'timeout_s': 30},
        {'name': WRITE, 'idempotent': False, 'timeout_s': 30},
    ]
    return {
        'models': [{'name': MODEL, 'context_tokens': 1_000_000}],
        'services': [{'name': SERVICE, 'operations': operations}],
        'programs': [program],
        'accounts': [account(number) for number in range(accounts)],
    }


def account(number: int) -> Document:
    """Returns an account; number 0 has the token of the callers."""
    token = f'{TOKEN}-{number}' if number else TOKEN
    return {
        'name': f'account-{number:05}',
        'token_sha256': [hashlib.sha256(token.encode()).hexdigest()],
        'programs': [DEFINITION],
        'max_programs': 100_000,
    }

"""Fixtures that several test modules share."""

import asyncio
import io
import os
import tempfile
from collections.abc import Callable, Iterator, Mapping
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any, NamedTuple

import hypothesis
import pytest
import uvloop

from cactusledge import core
from cactusledge.environment import Environment
from cactusledge.errors import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreNotFoundError,
    StoreUnavailableError,
)
from cactusledge.status import ExitStatus
from tests.records_support import cluster_of

pytest_plugins = (
    'tests.api_support',
    'tests.engine_support',
    'tests.pauses',
)

# A stall of the machine's disk would count as one of each store of a test.
MEMORY_FOLDER = '/dev/shm'  # of Linux; without it the usual folder is used
if os.access(MEMORY_FOLDER, os.W_OK):
    tempfile.tempdir = MEMORY_FOLDER

# The time of an example depends on what else the machine runs.
hypothesis.settings.register_profile('untimed', deadline=None)
hypothesis.settings.load_profile('untimed')

# The processes on the users' platform run on this event loop.
asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

NOW = 1_800_000_000.0
REMEDY = 'Try again.'

_ABSENT = SimpleNamespace(version='')


class FakeStore:
    """The platform's object API in memory, with scripted faults.

    `faults` says what happens to the next writes, in order: '' nothing,
    'lost' no answer and not carried out, 'landed' no answer but carried out,
    'late' no answer but carried out just before the next write, 'down'
    refused; or a function that runs before the write.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], Any] = {}
        self.faults: list[str | Callable[[], object]] = []
        self.failing_reads = 0
        self.requests: list[tuple[str, str]] = []
        self.events: list[Any] = []
        self._version = 0
        self._late: list[Callable[[], object]] = []

    def read(self, kind: str, name: str) -> Any:
        """Returns the object."""
        self.requests.append(('read', kind))
        if self.failing_reads:
            self.failing_reads -= 1
            raise StoreUnavailableError('Down.', remedy=REMEDY)
        if (kind, name) not in self.objects:
            raise StoreNotFoundError('Nothing there.', remedy=REMEDY)
        return self.objects[kind, name]

    def list(self, kind: str, prefix: str = '') -> Any:
        """Returns the objects of a kind."""
        self.requests.append(('list', kind))
        items = tuple(
            found
            for (of_kind, name), found in sorted(self.objects.items())
            if of_kind == kind and name.startswith(prefix)
        )
        return SimpleNamespace(items=items, version=str(self._version))

    def create(self, kind: str, name: str, body: Mapping[str, Any]) -> Any:
        """Writes a new object."""
        return self._write('create', kind, name, body, '')

    def update(
        self, kind: str, name: str, body: Mapping[str, Any], version: str
    ) -> Any:
        """Replaces an object."""
        return self._write('update', kind, name, body, version)

    def watch(self, *args: Any) -> Iterator[Any]:
        """Yields the scripted events."""
        return iter(self.events)

    def put(self, kind: str, name: str, body: Mapping[str, Any]) -> Any:
        """Writes an object without any condition or fault."""
        self._version += 1
        stored = SimpleNamespace(
            kind=kind, name=name, version=str(self._version), body=body
        )
        self.objects[kind, name] = stored
        return stored

    def _write(self, verb, kind, name, body, version):
        self.requests.append((verb, kind))
        while self._late:
            self._late.pop()()
        fault = self.faults.pop(0) if self.faults else ''
        write = partial(self._land, kind, name, body, version)
        self._fail_before(fault, write)
        if not write():
            raise StoreConflictError('Another version.', remedy=REMEDY)
        if fault == 'landed':
            raise StoreAnswerLostError('No answer.', remedy=REMEDY)
        return self.objects[kind, name]

    def _fail_before(self, fault, write):
        if callable(fault):
            fault()
        if fault == 'late':
            self._late.append(write)
        if fault in {'lost', 'late'}:
            raise StoreAnswerLostError('No answer.', remedy=REMEDY)
        if fault == 'down':
            raise StoreUnavailableError('Down.', remedy=REMEDY)

    def _land(self, kind, name, body, version):
        """Carries a write out if its condition holds."""
        found = self.objects.get((kind, name), _ABSENT)
        if version != found.version:
            return False
        self.put(kind, name, body)
        return True


class Run(NamedTuple):
    """What one run of the program did."""

    status: ExitStatus
    out: str
    err: str


@pytest.fixture
def examples() -> Path:
    return Path(__file__).parent.parent / 'examples'


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


@pytest.fixture
def env(store) -> Environment:
    """An environment without a process, a platform or a real clock."""
    return Environment(
        stdin=io.StringIO(),
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        environ={
            'USER': 'abeba',
            'CACTUSLEDGE_PLATFORM__ADDRESSES': '127.0.0.1:8400',
        },
        now=lambda: NOW,
        sleep=lambda pause_s: None,
        open_store=lambda addresses, timeout_s: store,
    )


class Program:
    """Runs the program in this process."""

    def __init__(self, env: Environment) -> None:
        self._env = env

    def __call__(self, *args: str, stdin: str = '', **replaced: Any) -> Run:
        """Returns how the run with these arguments ended."""
        out, err = io.StringIO(), io.StringIO()
        own = self._env._replace(
            stdin=io.StringIO(stdin), stdout=out, stderr=err, **replaced
        )
        status = core.main(args, own)
        return Run(status, out.getvalue(), err.getvalue())


@pytest.fixture
def run(env) -> Program:
    return Program(env)


@pytest.fixture
def define(tmp_path) -> Callable[..., Path]:
    """Writes definition files and returns their folder."""
    return partial(_define, tmp_path)


def _define(folder: Path, **files: str) -> Path:
    for name, text in files.items():
        path = folder / f'{name}.cactusledge.yaml'
        path.write_text(text, encoding='utf-8')
    return folder


@pytest.fixture
def short_formation_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets a first start of stores form their group early."""
    monkeypatch.setattr(
        'cactusledge.records.group_manager.FORMATION_DELAY_S', 0.5
    )


@pytest.fixture
def run_scenario(
    tmp_path: Path, store: FakeStore, short_formation_delay: None
) -> Callable[..., None]:
    """Returns a function that runs a scenario in a cluster of a given size."""

    def run(size: int, scenario: Callable[[Any], Any]) -> None:
        async def run_in_cluster() -> None:
            async with cluster_of(size, tmp_path, store) as cluster:
                await scenario(cluster)

        asyncio.run(run_in_cluster())

    return run

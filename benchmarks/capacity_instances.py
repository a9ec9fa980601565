"""Cost of idle instances and of a configuration change, in processes."""

import statistics
import time
from collections.abc import Iterator
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

import yaml

from benchmarks.capacity_series import Series
from benchmarks.load_process import (
    MIB,
    MS_PER_S,
    ProcessMeter,
    thread_count,
)
from benchmarks.load_sockets import peer_bytes
from benchmarks.load_world import BOLE, KIRKOS, Layout, World, definitions
from standins.deployment import wait_until

INSTANCES = (1, 2, 4)
IDLE_S = 20.0  # one interval of the status reports
CHANGES = 3
ACCOUNTS = (100, 1000, 3250)
POLL_S = 0.005
Row = tuple[float, ...]


class Idle(NamedTuple):
    """Figures of idle instances, in the order of the header."""

    instances: int
    reads_per_s: float
    writes_per_s: float
    watches_per_s: float
    cpu_ms: float
    resident_mib: float
    peer_bytes_per_s: float
    threads: int


def _idle(count: int) -> Idle:
    """Measures instances that have nothing to do."""
    centres = tuple(KIRKOS if number % 2 else BOLE for number in range(count))
    with World(Layout(entries=centres)) as world:
        time.sleep(1)
        ports = [world.deployed.peers_port(name) for name in world.entries]
        before, wire = world.platform_records(), peer_bytes(ports)
        meter = ProcessMeter(world.pids(world.entries).values())
        time.sleep(IDLE_S)
        spent = meter.spent()
        moved = peer_bytes(ports) - wire
        after = world.platform_records()
        return Idle(
            count,
            (after['reads'] - before['reads']) / spent.wall_s,
            (after['writes'] - before['writes']) / spent.wall_s,
            (after['watches'] - before['watches']) / spent.wall_s,
            spent.cpu_ms / spent.wall_s / count,
            spent.rss_bytes / MIB / count,
            moved * 2 / spent.wall_s / count,
            thread_count(world.deployed.pid(world.entries[0])),
        )


def _changed(world: World, accounts: int) -> Row:
    """Publishes a change several times and waits until it is in force."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'load.cactusledge.yaml'
        _publish(world, path, accounts, 0)
        found = [
            _publish(world, path, accounts, number + 1)
            for number in range(CHANGES)
        ]
    columns = zip(*found, strict=True)
    return (accounts, *(statistics.mean(column) for column in columns))


def _publish(
    world: World,
    path: Path,
    accounts: int,
    number: int,
) -> tuple[float, float, float]:
    document: dict[str, Any] = definitions(accounts)
    document['accounts'][accounts // 2]['max_programs'] = number + 1
    path.write_text(yaml.safe_dump(document), encoding='utf-8')
    wanted = _generations(world)[0] + 1
    pids = world.pids(world.entries).values()
    before = world.platform_records()
    meter = ProcessMeter(pids)
    world.deployed.publish(path)
    published_s = time.monotonic()
    wait_until(lambda: min(_generations(world)) >= wanted, 'in force')
    in_force_s = time.monotonic() - published_s
    time.sleep(1)  # for what follows a change, such as reports
    after = world.platform_records()
    return (
        in_force_s * MS_PER_S,
        meter.spent().cpu_ms / len(pids),
        (after['reads'] - before['reads']) / len(pids),
    )


def _generations(world: World) -> list[int]:
    return [
        world.deployed.get(name, '/status')['generation']
        for name in world.entries
    ]


def _changes() -> tuple[Row, ...]:
    with World(Layout(entries=(BOLE, BOLE, KIRKOS))) as world:
        return tuple(_changed(world, accounts) for accounts in ACCOUNTS)


def series() -> Iterator[Series]:
    """Measures idle instances, then changes with three instances."""
    yield Series(
        'Idle instances',
        (
            'instances',
            'platform reads/s',
            'platform writes/s',
            'platform watches opened/s',
            'CPU ms/s an instance',
            'resident MiB an instance',
            'peer bytes/s an instance',
            'threads of the first',
        ),
        tuple(_idle(count) for count in INSTANCES),
        f'{IDLE_S:.0f} s each. Every instance keeps two watches open. Peer'
        ' bytes are counted by the kernel, in and out.',
    )
    yield Series(
        'A configuration change in processes',
        (
            'accounts',
            'ms from the end of publish to in force everywhere',
            'CPU ms an instance',
            'platform reads an instance',
        ),
        _changes(),
        'Three instances; the CPU and the reads include those of about'
        ' two idle seconds and of asking for the status.',
    )

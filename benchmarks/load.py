"""A bounded load through three instances in two data centres.

Run it with `python -m benchmarks.load`. Caller threads of this process run
programs of several dependent calls; each call goes to the next instance, as
behind a balancer, so that most calls are forwarded to their driver.
"""

import itertools
import time
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import typer

from benchmarks.load_client import ProgramCaller, Timing
from benchmarks.load_page import origin, table, write_page
from benchmarks.load_process import (
    MIB,
    ProcessMeter,
    Spent,
    thread_count,
)
from benchmarks.load_report import (
    Use,
    latency_table,
    outcome_table,
    use_table,
)
from benchmarks.load_sockets import peer_bytes
from benchmarks.load_world import BOLE, KIRKOS, READ, WRITE, Layout, World

CALLERS = 24
LOAD_S = 25.0
IDLE_S = 5.0
TOKENS = 24
TOKEN_MS = 10
ROUNDS = 3  # of model call, read, model call, write
REFUSED_PAUSE_S = 0.2
GROUPS = ('reads', 'writes', 'watches')
NOTE = (
    'Three instances (two in {first}, one in {second}), two engines in each'
    ' data centre that generate a token in {token_ms} ms, one service and the'
    ' platform on one machine, {callers} callers; a program makes'
    ' {calls} calls, its model calls {tokens} tokens each.'
)

PEER_NOTE = (
    'Peer bytes under load include the forwarded calls, but only those of'
    ' connections that are still open at the end: a lower bound.'
)


class Rates(NamedTuple):
    """What went on while the load, or none, was there."""

    seconds: float
    platform: Mapping[str, float]  # requests a second by group
    peer_bytes_per_s: float  # of an instance, in and out
    spent: Mapping[str, Spent]  # by instance


class Sampler:
    """Measures the instances and the platform over an interval."""

    def __init__(self, world: World) -> None:
        """Takes the first sample."""
        self._world = world
        self._ports = [world.deployed.peers_port(one) for one in world.entries]
        self._records = world.platform_records()
        self._bytes = peer_bytes(self._ports)
        self._meters = {
            name: ProcessMeter([pid])
            for name, pid in world.pids(world.entries).items()
        }
        self._began_s = time.monotonic()

    def rates(self) -> Rates:
        """Returns the rates since the first sample."""
        seconds = time.monotonic() - self._began_s
        spent = {name: one.spent() for name, one in self._meters.items()}
        records = self._world.platform_records()
        moved = (peer_bytes(self._ports) - self._bytes) * 2
        return Rates(
            seconds,
            {
                one: (records[one] - self._records[one]) / seconds
                for one in GROUPS
            },
            moved / seconds / len(self._ports),
            spent,
        )


def run_programs(ports: list[int], number: int, until_s: float) -> list[Timing]:
    """Runs programs one after the other until a time."""
    timings: list[Timing] = []
    turns = itertools.cycle(ports[number % len(ports) :] + ports)
    while time.monotonic() < until_s:
        caller = ProgramCaller(next(turns))
        for timing in run_program(caller, turns):
            timings.append(timing)
            if not timing.ran:
                time.sleep(REFUSED_PAUSE_S)
    return timings


def run_program(
    caller: ProgramCaller,
    ports: Iterator[int],
) -> Iterator[Timing]:
    """Yields the calls of one program; ends early if it cannot be opened."""
    opened = caller.open()
    yield opened
    if not opened.ran:
        return
    steps: tuple[Callable[[], Timing], ...] = (
        lambda: caller.ask_model(TOKENS),
        lambda: caller.use_tool(READ),
        lambda: caller.ask_model(TOKENS),
        lambda: caller.use_tool(WRITE),
    )
    for step in steps * ROUNDS:
        caller.port = next(ports)
        yield step()
    yield caller.end()


def main(
    out: Annotated[Path | None, typer.Option()] = None,
    callers: int = CALLERS,
    seconds: float = LOAD_S,
) -> None:
    """Runs the load and prints what it measured."""
    layout = Layout(
        entries=(BOLE, BOLE, KIRKOS),
        engines=(BOLE, BOLE, KIRKOS, KIRKOS),
        engine_options=(f'--token-ms={TOKEN_MS}',),
    )
    with World(layout) as world:
        sampler = Sampler(world)
        time.sleep(IDLE_S)
        idle = sampler.rates()
        sampler = Sampler(world)
        timings = make_load(world, callers, seconds)
        busy = sampler.rates()
        threads = {
            name: thread_count(pid)
            for name, pid in world.pids(world.entries).items()
        }
    note = NOTE.format(
        first=BOLE,
        second=KIRKOS,
        token_ms=TOKEN_MS,
        callers=callers,
        calls=4 * ROUNDS,
        tokens=TOKENS,
    )
    write_page(
        (
            '# Load through the real path',
            origin('benchmarks.load'),
            note,
            *page(timings, idle, busy, threads),
        ),
        out,
    )


def make_load(world: World, callers: int, seconds: float) -> list[Timing]:
    """Runs the callers and returns all their calls."""
    ports = world.ports(world.entries)
    until_s = time.monotonic() + seconds
    with ThreadPoolExecutor(callers) as pool:
        done = pool.map(
            lambda number: run_programs(ports, number, until_s),
            range(callers),
        )
        return [timing for made in done for timing in made]


def page(
    timings: list[Timing],
    idle: Rates,
    busy: Rates,
    threads: Mapping[str, int],
) -> list[str]:
    """Returns the tables."""
    uses = [
        Use(
            name,
            spent.cpu_s / spent.wall_s,
            spent.rss_bytes / MIB,
            threads[name],
        )
        for name, spent in busy.spent.items()
    ]
    return [
        f'## Latency\n\n{latency_table(timings)}',
        f'## Outcomes\n\n{outcome_table(timings)}',
        f'## Throughput\n\n{throughput_table(timings, busy)}',
        f'## Instances under load\n\n{use_table(uses)}',
        f'## Control\n\n{control_table(idle, busy)}',
    ]


def throughput_table(timings: list[Timing], busy: Rates) -> str:
    """Returns requests, tokens and CPU."""
    ran = sum(timing.ran for timing in timings)
    cpu_ms = sum(spent.cpu_ms for spent in busy.spent.values())
    rows: list[tuple[str, Any]] = [
        ('seconds', busy.seconds),
        ('requests a second', ran / busy.seconds),
        ('tokens a second', sum(one.tokens for one in timings) / busy.seconds),
        ('CPU ms a request, all instances', cpu_ms / max(1, ran)),
        ('requests refused or failed', len(timings) - ran),
    ]
    return table(('What', 'Figure'), rows)


def control_table(idle: Rates, busy: Rates) -> str:
    """Returns the traffic between instances and to the platform."""
    rows = [
        (
            f'platform {group} a second',
            idle.platform[group],
            busy.platform[group],
        )
        for group in GROUPS
    ]
    traffic = (idle.peer_bytes_per_s, busy.peer_bytes_per_s)
    cores = [
        sum(spent.cpu_s / spent.wall_s for spent in rates.spent.values())
        / len(rates.spent)
        for rates in (idle, busy)
    ]
    rows.extend((
        ('peer bytes a second of an instance, in and out', *traffic),
        ('cores of an instance', cores[0], cores[1]),
    ))
    lines = table(('What', 'Idle', 'Under load'), rows)
    return f'{lines}\n\n{PEER_NOTE}'


if __name__ == '__main__':
    typer.run(main)

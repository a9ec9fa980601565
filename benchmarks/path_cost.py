"""The path's own cost: processor time and added latency of a call.

Run it with `python -m benchmarks.path_cost`. The same calls go to one entry
instance and to the endpoints themselves; both times by threads of this
process, each with a program of its own.
"""

import statistics
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated, NamedTuple, Protocol

import typer

from benchmarks.load_client import DirectCaller, ProgramCaller, Timing
from benchmarks.load_page import origin, table, write_page
from benchmarks.load_process import MS_PER_S, ProcessMeter
from benchmarks.load_world import (
    BOLE,
    READ,
    SERVICE_NAME,
    WORKER_THREADS,
    WRITE,
    Layout,
    World,
)

STREAMS = (1, 64)
TOKENS = 32
TOKEN_COUNTS = (8, 32, 96)
TOKEN_MS = 30
ENGINES = 4  # of 16 sequences each, so that 64 streams never queue
CALLS_OF_ONE = 16
CALLS_OF_MANY = 5
MEDIAN = 0.5
P95 = 0.95
NOTE = (
    'One entry instance, four engines that generate a token in 30 ms, one '
    'service and the platform on one machine. "Added" is the median, or p95, '
    'through the entry less that of the same calls at the endpoint. A model '
    'call streams {tokens} tokens. The times of 64 streams include the '
    "waits of the caller's own threads."
)


class Caller(Protocol):
    """Makes model and service calls."""

    def ask_model(self, tokens: int) -> Timing:
        """Makes a streamed model call."""

    def use_tool(self, operation: str) -> Timing:
        """Calls a service's operation."""


class Case(NamedTuple):
    """One kind of call."""

    title: str
    call: Callable[[Caller], Timing]


class Measured(NamedTuple):
    """The calls of one case with so many streams."""

    timings: list[Timing]
    cpu_ms: float  # of the entry for each call that ran
    cores: float  # that the entry used

    @property
    def tokens(self) -> int:
        """Tokens that were streamed."""
        return sum(timing.tokens for timing in self.timings)

    @property
    def errors(self) -> int:
        """Calls that were refused or failed."""
        return sum(not timing.ran for timing in self.timings)


def model_case(tokens: int) -> Case:
    """Returns a streamed model call."""
    return Case(
        f'model call, {tokens} tokens',
        lambda caller: caller.ask_model(tokens),
    )


CASES = (
    model_case(TOKENS),
    Case('idempotent service call', lambda caller: caller.use_tool(READ)),
    Case('non-idempotent service call', lambda caller: caller.use_tool(WRITE)),
)


def main(out: Annotated[Path | None, typer.Option()] = None) -> None:
    """Measures all cases and prints the tables."""
    layout = Layout(
        engines=(BOLE,) * ENGINES,
        engine_options=(f'--token-ms={TOKEN_MS}', '--threads=80'),
        settings={'limits': {'worker_threads': WORKER_THREADS}},
    )
    with World(layout) as world:
        rows = [
            row_of(world, case, streams)
            for streams in STREAMS
            for case in CASES
        ]
        tokens = [token_row(world, count) for count in TOKEN_COUNTS]
    write_page(
        (
            '# Cost of the path',
            origin('benchmarks.path_cost'),
            NOTE.format(tokens=TOKENS),
            table(CASE_HEADER, rows),
            token_table(tokens),
        ),
        out,
    )


CASE_HEADER = (
    'Call',
    'Streams',
    'Calls',
    'Errors',
    'Entry CPU ms a call',
    'Entry cores in use',
    'Direct p50 ms',
    'Added p50 ms',
    'Added p95 ms',
    'Added first token p50 ms',
)


class Row(NamedTuple):
    """A row of the table of calls, in the order of its header."""

    title: str
    streams: int
    calls: int
    errors: int
    cpu_ms: float
    cores: float
    direct_p50_ms: float
    added_p50_ms: float
    added_p95_ms: float
    added_first_token_ms: float


def row_of(world: World, case: Case, streams: int) -> Row:
    """Measures a case and returns its row."""
    direct = measure(world, case, direct_callers(world, streams))
    through = measure(world, case, program_callers(world, streams))
    return Row(
        case.title,
        streams,
        len(through.timings),
        through.errors,
        through.cpu_ms,
        through.cores,
        percentile_ms(direct.timings, MEDIAN),
        added_ms(through, direct, MEDIAN),
        added_ms(through, direct, P95),
        first_token_ms(through) - first_token_ms(direct),
    )


def token_row(world: World, tokens: int) -> tuple[float, float, int]:
    """Returns tokens and CPU a call, and the errors, at 64 streams."""
    measured = measure(
        world,
        model_case(tokens),
        program_callers(world, max(STREAMS)),
    )
    calls = len(measured.timings)
    return measured.tokens / calls, measured.cpu_ms, measured.errors


def token_table(rows: list[tuple[float, float, int]]) -> str:
    """Returns the table and the slope of CPU over tokens."""
    line = statistics.linear_regression(
        [row[0] for row in rows],
        [row[1] for row in rows],
    )
    header = ('Tokens a call', 'Entry CPU ms a call', 'Errors')
    return (
        f'Streamed tokens, {max(STREAMS)} streams: '
        f'{line.slope:.3f} ms a token and {line.intercept:.1f} ms a call.\n\n'
        f'{table(header, rows)}'
    )


def program_callers(world: World, streams: int) -> list[Caller]:
    """Returns callers, each with a program that was opened."""
    callers: list[Caller] = []
    for _ in range(streams):
        caller = ProgramCaller(world.ports(world.entries)[0])
        caller.open()
        callers.append(caller)
    return callers


def direct_callers(world: World, streams: int) -> list[Caller]:
    """Returns callers spread over the engines."""
    engines = world.ports(world.engines)
    service = world.deployed.port(SERVICE_NAME)
    return [
        DirectCaller(engines[number % len(engines)], service)
        for number in range(streams)
    ]


def measure(world: World, case: Case, callers: list[Caller]) -> Measured:
    """Makes the calls with all callers at once."""
    calls = CALLS_OF_MANY if len(callers) > 1 else CALLS_OF_ONE
    with ThreadPoolExecutor(len(callers)) as pool:
        list(pool.map(case.call, callers))  # opens the connections
        meter = ProcessMeter(world.pids(world.entries).values())
        done = pool.map(lambda caller: repeat(case, caller, calls), callers)
        timings = [timing for made in done for timing in made]
        spent = meter.spent()
    ran = sum(timing.ran for timing in timings)
    return Measured(
        timings,
        spent.cpu_ms / max(1, ran),
        spent.cpu_s / spent.wall_s,
    )


def repeat(case: Case, caller: Caller, calls: int) -> list[Timing]:
    """Makes calls one after the other."""
    return [case.call(caller) for _ in range(calls)]


def added_ms(through: Measured, direct: Measured, share: float) -> float:
    """Returns what the path adds to a percentile."""
    with_path = percentile_ms(through.timings, share)
    return with_path - percentile_ms(direct.timings, share)


def percentile_ms(timings: Iterable[Timing], share: float) -> float:
    """Returns a percentile of the latency."""
    ordered = sorted(timing.latency_s for timing in timings if timing.ran)
    return ordered[int(share * (len(ordered) - 1))] * MS_PER_S


def first_token_ms(measured: Measured) -> float:
    """Returns the median time to the first token, 0 without tokens."""
    times = [timing.first_token_s for timing in measured.timings]
    known = [one for one in times if one is not None]
    return statistics.median(known) * MS_PER_S if known else 0


if __name__ == '__main__':
    typer.run(main)

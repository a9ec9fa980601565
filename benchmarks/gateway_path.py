"""The gateway's own cost: processor time, added latency, memory.

Run it with `python -m benchmarks.gateway_path`. Turns of 14 events go to a
gateway with three record stores on this machine, and to the engine itself.
"""

import asyncio
import itertools
import statistics
import time
from pathlib import Path
from typing import Annotated, NamedTuple

import typer

from benchmarks.gateway_roles import EVENTS, HEAD_END
from benchmarks.gateway_world import World, world
from benchmarks.load_page import origin, table, write_page
from benchmarks.load_process import MIB, ProcessMeter
from standins.ports import LOOPBACK

EVENT_S = 0.02
LONG_EVENT_S = 0.5  # of streams that stay open while memory is read
ONE, MANY = 1, 32  # streams at once
OPEN = 200
TURNS = 1500
FEW_TURNS = 60
BODY = b'x' * 8000  # the input of a turn
START_S = 2.0
MS = 1000
P99 = 0.99
NOTE = (
    f'Turns of {EVENTS} events, one each {EVENT_S * MS:.0f} ms, with '
    f'{len(BODY)} bytes of input, reserved and recorded at three stores that '
    'sync to one disk; all on one machine. Log lines are off where they are '
    'not named; past 500 lines a second routine ones are left out.'
)


class Turn(NamedTuple):
    """How a turn went."""

    first_ms: float  # until its first event
    gaps_ms: tuple[float, ...]  # between events


async def make_turn(port: int, number: int) -> Turn:
    """Makes one turn on a connection of its own."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    began_s = time.perf_counter()
    writer.write(
        b'POST /turn HTTP/1.1\r\nHost: benchmark\r\nrequest-id: r%d\r\n'
        b'session: s%d\r\nContent-Length: %d\r\n\r\n%b'
        % (number, number, len(BODY), BODY)
    )
    await reader.readuntil(HEAD_END)
    moments_s = []
    for _ in range(EVENTS):
        await reader.readuntil(b'\n\n')  # noqa: WPS476
        moments_s.append(time.perf_counter())
    await reader.readuntil(b'0\r\n')
    writer.close()
    gaps = itertools.pairwise(moments_s)
    return Turn(
        (moments_s[0] - began_s) * MS,
        tuple((after - before) * MS for before, after in gaps),
    )


async def make_turns(port: int, streams: int, turns: int) -> list[Turn]:
    """Makes turns, so many at once."""
    numbers = iter(range(turns))

    async def caller() -> list[Turn]:  # noqa: WPS430
        return [
            await make_turn(port, number)  # noqa: WPS476
            for number in numbers
        ]

    made = await asyncio.gather(*(caller() for _ in range(streams)))
    return [turn for turns_of_one in made for turn in turns_of_one]


async def open_streams(port: int) -> list['asyncio.Task[Turn]']:
    """Opens streams and waits until all have begun."""
    opened = [
        asyncio.ensure_future(make_turn(port, number)) for number in range(OPEN)
    ]
    await asyncio.sleep(2 * LONG_EVENT_S + 1)
    return opened


def first_ms(turns: list[Turn]) -> float:
    """Returns the median time to the first event."""
    return statistics.median(turn.first_ms for turn in turns)


def gap_p99_ms(turns: list[Turn]) -> float:
    """Returns the 99th percentile of the time between events."""
    gaps = sorted(gap for turn in turns for gap in turn.gaps_ms)
    return gaps[int(len(gaps) * P99)]


async def measure_cost(found: World) -> list[tuple[str, float, float]]:
    """Returns rows of a name, the figure and its target."""
    ports = found.ports
    direct = await make_turns(ports.engine, ONE, FEW_TURNS)
    through = await make_turns(ports.gateway, ONE, FEW_TURNS)
    direct_gap_ms = gap_p99_ms(await make_turns(ports.engine, MANY, TURNS))
    gateway = ProcessMeter((found.gateway_pid,))
    stores = ProcessMeter((found.store_pid,))
    busy = await make_turns(ports.gateway, MANY, TURNS)
    gateway_ms = gateway.spent().cpu_ms / TURNS
    stores_ms = stores.spent().cpu_ms / TURNS
    return [
        ('processor time of the gateway a turn, ms', gateway_ms, 4),
        ('of the three stores together a turn, ms', stores_ms, 0),
        (
            'added to the first event, one stream, median, ms',
            first_ms(through) - first_ms(direct),
            8,
        ),
        (
            f'added to the time between events, {MANY} streams, p99, ms',
            gap_p99_ms(busy) - direct_gap_ms,
            5,
        ),
    ]


async def measure_logs(found: World) -> list[tuple[str, float, float]]:
    """Returns the rows of a gateway that writes its log lines."""
    await make_turns(found.ports.gateway, ONE, FEW_TURNS)
    log = Path(found.log_path)
    before_bytes = log.stat().st_size
    gateway = ProcessMeter((found.gateway_pid,))
    await make_turns(found.ports.gateway, MANY, TURNS)
    gateway_ms = gateway.spent().cpu_ms / TURNS
    written_bytes = log.stat().st_size - before_bytes
    return [
        ('processor time of the gateway with log lines, ms', gateway_ms, 4),
        ('log lines a turn, bytes', written_bytes / TURNS, 0),
    ]


async def measure_memory(found: World) -> tuple[str, float, float]:
    """Returns the row of the memory with many open streams."""
    opened = await open_streams(found.ports.gateway)
    spent = ProcessMeter((found.gateway_pid,)).spent()
    await asyncio.gather(*opened)
    return f'memory at {OPEN} open streams, MiB', spent.rss_bytes / MIB, 100


def main(out: Annotated[Path | None, typer.Option()] = None) -> None:
    """Measures and prints the page."""
    rows = []
    with world(EVENT_S) as found:
        time.sleep(START_S)
        rows.extend(asyncio.run(measure_cost(found)))
    with world(EVENT_S, has_logs=True) as found:
        time.sleep(START_S)
        rows.extend(asyncio.run(measure_logs(found)))
    with world(LONG_EVENT_S) as found:
        time.sleep(START_S)
        rows.append(asyncio.run(measure_memory(found)))
    shown = [(name, figure, target or '-') for name, figure, target in rows]
    write_page(
        (
            '# Cost of the gateway',
            origin('benchmarks.gateway_path'),
            NOTE,
            table(('What', 'Measured', 'Target'), shown),
        ),
        out,
    )


if __name__ == '__main__':
    typer.run(main)

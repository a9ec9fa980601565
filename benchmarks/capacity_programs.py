"""Memory and processor time of programs under way in one instance."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from itertools import pairwise

from benchmarks.capacity_series import Series
from benchmarks.load_client import ProgramCaller
from benchmarks.load_process import ProcessMeter
from benchmarks.load_world import READ, Layout, World

OPEN_STEPS = (200, 400, 800)
WITH_HISTORY = 100
CALL_STEPS = (2, 4, 8)  # calls of each program
DOCUMENT_KB = 16
CALLERS = 8
IDLE_S = 3.0
KB = 1000
Row = tuple[float, ...]


def _callers(world: World, count: int) -> list[ProgramCaller]:
    port = world.ports(world.entries)[0]
    return [ProgramCaller(port) for _ in range(count)]


def _opened() -> Iterator[Row]:
    """Opens more and more programs in one instance."""
    with World(Layout()) as world, ThreadPoolExecutor(CALLERS) as pool:
        pids = tuple(world.pids(world.entries).values())
        list(pool.map(_open, _callers(world, CALLERS)))
        memory = ProcessMeter(pids)
        for opened, wanted in pairwise((0, *OPEN_STEPS)):
            meter = ProcessMeter(pids)
            callers = _callers(world, wanted - opened)
            refused = sum(not ran for ran in pool.map(_open, callers))
            spent = meter.spent()
            yield (
                wanted,
                memory.spent().rss_grown_bytes / KB,
                spent.cpu_ms / len(callers),
                _idle_ms_per_s(pids),
                refused,
            )


def _idle_ms_per_s(pids: tuple[int, ...]) -> float:
    meter = ProcessMeter(pids)
    time.sleep(IDLE_S)
    return meter.spent().cpu_ms / IDLE_S


def _open(caller: ProgramCaller) -> bool:
    return caller.open().ran


def _with_history() -> Iterator[Row]:
    """Lets programs grow by service calls with large arguments."""
    with World(Layout()) as world, ThreadPoolExecutor(CALLERS) as pool:
        pids = tuple(world.pids(world.entries).values())
        callers = _callers(world, WITH_HISTORY)
        list(pool.map(_open, callers))
        memory = ProcessMeter(pids)
        for made, wanted in pairwise((0, *CALL_STEPS)):
            meter = ProcessMeter(pids)
            step = partial(_grow, wanted - made)
            failed = sum(not ran for ran in pool.map(step, callers))
            yield (
                WITH_HISTORY * wanted * DOCUMENT_KB,
                memory.spent().rss_grown_bytes / KB,
                meter.spent().cpu_ms / WITH_HISTORY / (wanted - made),
                failed,
            )


def _grow(calls: int, caller: ProgramCaller) -> bool:
    size = DOCUMENT_KB * KB
    return all(caller.use_tool(READ, size).ran for _ in range(calls))


def series() -> Iterator[Series]:
    """Measures programs without and with history."""
    yield Series(
        'Programs under way in one instance',
        (
            'programs',
            'resident KB more',
            'CPU ms an opening',
            'CPU ms/s of the idle instance',
            'refused',
        ),
        tuple(_opened()),
        'CPU of the whole instance; programs without calls.',
    )
    yield Series(
        f'History of {WITH_HISTORY} programs in one instance',
        (
            'KB of arguments in the histories',
            'resident KB more',
            'CPU ms a call',
            'programs with errors',
        ),
        tuple(_with_history()),
        f'Service calls whose arguments take {DOCUMENT_KB} KB; the service'
        ' echoes them, so the histories are twice as long.',
    )

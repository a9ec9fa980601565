"""The processes of the gateway's benchmark."""

import asyncio
import logging
import multiprocessing
import tempfile
from collections.abc import Callable, Coroutine, Generator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

import structlog

from benchmarks.gateway_roles import (
    STORES,
    Ports,
    serve_engine,
    serve_gateway,
    serve_stores,
)
from cactusledge.telemetry.log_writer import LogWriter
from cactusledge.telemetry.logs import configure_logs
from standins.ports import free_port


class World(NamedTuple):
    """The running processes."""

    ports: Ports
    gateway_pid: int
    store_pid: int
    log_path: str  # of the gateway's lines, '' without


def run_role(
    log_path: str,
    role: Callable[..., Coroutine[Any, Any, None]],
    *args: object,
) -> None:
    """Runs a part in a process of its own; without a path it logs nothing."""
    if log_path:
        stream = Path(log_path).open('w', encoding='utf-8')  # ruff: ignore[open-file-with-context-handler]
        configure_logs(
            LogWriter(stream),
            log_format='json',
            level='info',
            instance=role.__name__,
            data_centre='here',
        )
    else:
        quiet = structlog.make_filtering_bound_logger(logging.ERROR)
        structlog.configure(wrapper_class=quiet)
    asyncio.run(role(*args))


@contextmanager
def world(
    event_s: float, *, has_logs: bool = False
) -> Generator[World, None, None]:
    """Starts the processes; ends them afterwards."""
    ports = Ports(free_port(), free_port(), tuple(free_port() for _ in STORES))
    spawn = multiprocessing.get_context('spawn')
    with tempfile.TemporaryDirectory() as folder:
        log_path = f'{folder}/gateway.log' if has_logs else ''
        roles = (
            (log_path, serve_gateway, ports),
            ('', serve_stores, ports, folder),
            ('', serve_engine, ports, event_s),
        )
        processes = [
            spawn.Process(target=run_role, args=role, daemon=True)
            for role in roles
        ]
        for started in processes:
            started.start()
        try:
            pids = [process.pid or 0 for process in processes]
            yield World(ports, pids[0], pids[1], log_path)
        finally:
            for ended in processes:
                ended.kill()
                ended.join()

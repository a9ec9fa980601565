"""A whole deployment as separate processes on loopback."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple, Self

import yaml
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from standins.ports import LOOPBACK, free_port

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
POLL_S = 0.02
HTTP_OK = 200
RING_SLOTS = 48
LOG_TAIL_CHARACTERS = 4000


class Started(NamedTuple):
    """A process of the deployment."""

    name: str
    process: subprocess.Popen[bytes]
    port: int
    control_port: int = 0  # of the platform: reachable while it is down


class Deployment:
    """Starts the processes, and ends just those that it started."""

    def __init__(self, folder: Path) -> None:
        """Keeps the folder for settings, ports and logs."""
        self._folder = folder
        self._started: dict[str, Started] = {}
        self._spawned: list[subprocess.Popen[bytes]] = []
        self._http = PoolManager(
            retries=False,
            timeout=Timeout(connect=2, read=10),
        )

    def __enter__(self) -> Self:
        """Returns this object; nothing is started yet."""
        return self

    def __exit__(self, *error: object) -> None:
        """Leaves nothing of the deployment running."""
        self.stop_all()

    def start_platform(self, *options: str) -> Started:
        """Starts the platform stand-in."""
        return self._start_standin('platform', 'platform', options)

    def start_engine(
        self,
        name: str,
        model: str,
        data_centre: str,
        *options: str,
    ) -> Started:
        """Starts a model engine that registers at the platform."""
        identity = (*self._identity(name, data_centre), '--model', model)
        return self._start_standin(name, 'engine', (*identity, *options))

    def start_service(
        self,
        name: str,
        service: str,
        data_centre: str,
        *options: str,
    ) -> Started:
        """Starts a plain service that registers at the platform."""
        identity = (*self._identity(name, data_centre), '--service', service)
        return self._start_standin(name, 'service', (*identity, *options))

    def start_entry(
        self,
        name: str,
        data_centre: str,
        seeds: Sequence[int] = (),
        proxy: tuple[int, int] | None = None,
        **sections: Any,
    ) -> Started:
        """Starts an entry instance; further settings go by section.

        Args:
            name: Name of the instance.
            data_centre: Where it is.
            seeds: Peer ports of instances that it asks first.
            proxy: Port that the peers are told, and the one that the
                instance listens on, if a proxy stands between them.
            sections: Settings.
        """
        api_port = free_port()
        peers_port, listen_port = proxy or (free_port(), 0)
        settings = {
            'instance': {'name': name, 'data_centre': data_centre},
            'listen': {
                'api': f'{LOOPBACK}:{api_port}',
                'peers': f'{LOOPBACK}:{peers_port}',
            },
            'platform': {'addresses': [self._platform_address()]},
            'peers': {'seeds': [f'{LOOPBACK}:{port}' for port in seeds]},
            'shutdown': {'balancer_grace_s': 0.2, 'drain_timeout_s': 20.0},
            'journal': {'ring_slots': RING_SLOTS},
            **sections,
        }
        path = self._folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings), encoding='utf-8')
        command: tuple[str, ...] = (
            'cactusledge',
            'entry',
            '--settings',
            str(path),
        )
        if listen_port:
            listen = f'{LOOPBACK}:{listen_port}'
            command = ('standins.entry', listen, *command[1:])
        process = self._spawn(name, command)
        started = Started(name, process, api_port)
        self._started[name] = started
        return started

    def settings_of(self, name: str) -> Any:
        """Returns the settings file of an entry instance."""
        path = self._folder / f'{name}.yaml'
        return yaml.safe_load(path.read_text(encoding='utf-8'))

    def peers_port(self, name: str) -> int:
        """Returns the port that an entry instance's peers talk to."""
        address = self.settings_of(name)['listen']['peers']
        return int(address.rpartition(':')[2])

    def publish(self, *folders: Path) -> None:
        """Publishes definition files with the command line."""
        paths = [str(folder) for folder in folders]
        command = ['publish', *paths, '--platform', self._platform_address()]
        subprocess.run(
            (sys.executable, '-m', 'cactusledge', *command),
            check=True,
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
        )

    def port(self, name: str) -> int:
        """Returns the port of a process."""
        return self._started[name].port

    def pid(self, name: str) -> int:
        """Returns the pid of a process."""
        return self._started[name].process.pid

    def get(self, name: str, path: str) -> Any:
        """Returns the JSON document that a process answers to a GET."""
        url = f'http://{LOOPBACK}:{self.port(name)}{path}'
        return self._http.request('GET', url).json()

    def put(self, name: str, path: str, document: Any) -> Any:
        """Sends a JSON document, for instance fault switches."""
        url = f'http://{LOOPBACK}:{self.port(name)}{path}'
        return self._http.request('PUT', url, json=document).json()

    def post(self, name: str, path: str, document: Any) -> Any:
        """Posts a JSON document."""
        url = f'http://{LOOPBACK}:{self.port(name)}{path}'
        return self._http.request('POST', url, json=document).json()

    def platform_faults(self, **switches: Any) -> None:
        """Sets the platform's given fault switches and resets the others."""
        port = self._started['platform'].control_port
        url = f'http://{LOOPBACK}:{port}/faults'
        self._http.request('PUT', url, json=switches)

    def wait_ready(self, *names: str) -> None:
        """Waits until entry instances are ready and own all their logs."""
        for name in names:
            try:
                wait_until(partial(self._is_ready, name), f'{name} ready')
            except TimeoutError as exc:
                exc.add_note(self.log_of(name)[-LOG_TAIL_CHARACTERS:])
                raise

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self._started[name].process.send_signal(number)

    def kill(self, name: str) -> None:
        """Ends a process with SIGKILL."""
        started = self._started.pop(name)
        started.process.kill()
        started.process.wait()

    def stop(self, name: str) -> int:
        """Ends a process with SIGTERM; returns its exit status."""
        process = self._started[name].process
        process.send_signal(signal.SIGCONT)
        process.terminate()
        status = process.wait(STOP_TIMEOUT_S)
        self._started.pop(name)
        return status

    def stop_all(self) -> None:
        """Ends every process that is left."""
        for name in tuple(self._started):
            process = self._started.pop(name).process
            process.kill()
            process.wait()

    def is_running(self, name: str) -> bool:
        """Returns whether a process was started and not ended yet."""
        return name in self._started

    def is_alive(self, name: str) -> bool:
        """Returns whether a started process still runs."""
        return self._started[name].process.poll() is None

    def processes_left(self) -> int:
        """Returns how many of the started processes still run."""
        return sum(process.poll() is None for process in self._spawned)

    def log_of(self, name: str) -> str:
        """Returns what a process has written."""
        path = self._folder / f'{name}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    def _identity(self, name: str, data_centre: str) -> tuple[str, ...]:
        return (
            f'--name={name}',
            f'--data-centre={data_centre}',
            f'--register={self._platform_address()}',
        )

    def _platform_address(self) -> str:
        return f'{LOOPBACK}:{self.port("platform")}'

    def _is_ready(self, name: str) -> bool:
        try:
            return bool(self.get(name, '/readyz')['ready'])
        except HTTPError:
            return False

    def _start_standin(
        self,
        name: str,
        module: str,
        options: Sequence[str],
    ) -> Started:
        port_file = self._folder / f'{name}.port'
        port_file.unlink(missing_ok=True)
        process = self._spawn(
            name,
            (
                f'standins.{module}',
                '--listen',
                f'{LOOPBACK}:0',
                '--port-file',
                str(port_file),
                *options,
            ),
        )
        wait_until(
            lambda: port_file.exists() and port_file.read_text('utf-8'),
            f'{name} listening',
        )
        ports = json.loads(port_file.read_text('utf-8'))
        started = Started(name, process, **ports)
        self._started[name] = started
        return started

    def _spawn(
        self,
        name: str,
        command: Sequence[str],
    ) -> subprocess.Popen[bytes]:
        path = self._folder / f'{name}.log'
        with path.open('ab') as output:
            process = subprocess.Popen(
                (sys.executable, '-m', *command),
                cwd=ROOT,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._spawned.append(process)
        return process


def wait_until(
    holds: Callable[[], object],
    what: str,
    timeout_s: float = START_TIMEOUT_S,
) -> None:
    """Waits until a condition holds; raises TimeoutError."""
    give_up_s = time.monotonic() + timeout_s
    while not holds():
        if time.monotonic() > give_up_s:
            raise TimeoutError(f'Not within {timeout_s} s: {what}')
        time.sleep(POLL_S)

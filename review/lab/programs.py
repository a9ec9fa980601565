"""Starts the project's programs with the commands of the deploy file."""

import asyncio
import os
import random
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PLATFORM_PORT = 8142
FRONT_PORT = 8149
READY_PORT = 8141
PEER_PORT = 7380
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stable_window_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4.6,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'max_stretch_ms': 5000,
    'recover_s': 12,
    'pass_ms': 120,
    'again_s': 0,
    'deadline_s': 10,
    'settle_ms': 1000,
}


def commands() -> dict[str, list[str]]:
    """Returns the command of each role in the deploy file."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text('utf-8'))
    return {
        role: found['run'].split() for role, found in deploy['roles'].items()
    }


class Machine:
    """One machine: an address, a settings file, a process, perhaps a disk."""

    def __init__(self, fleet: 'Fleet', role: str, name: str, place) -> None:
        """Keeps who it is; `place` is its address and its zone."""
        self.role = role
        self.name = name
        self.host, self.zone = place
        self.is_first_start = True
        self.process: subprocess.Popen | None = None
        self._fleet = fleet

    @property
    def address(self) -> tuple[str, int]:
        """Where a front takes requests."""
        return self.host, FRONT_PORT

    @property
    def disk(self) -> Path:
        """The data folder of a store."""
        return self._fleet.folder / f'{self.name}.data'

    def start(self) -> None:
        """Starts the process as the platform does."""
        path = self._fleet.write_settings(self)
        kept = ('PATH', 'HOME', 'LANG')
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env['PYTHONPATH'] = 'target/deps'
        env['CACTUSLEDGE_CONFIG'] = str(path)
        with (self._fleet.folder / f'{self.name}.log').open('ab') as output:
            self.process = subprocess.Popen(
                commands()[self.role],
                cwd=ROOT,
                env=env,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.is_first_start = False

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def lose_disk(self) -> None:
        """Empties the data folder; the process must not run."""
        shutil.rmtree(self.disk, ignore_errors=True)

    async def stop(self, grace_s: float = BOUNDS['grace_s']) -> float:
        """Sends SIGTERM, SIGKILL after the grace; returns the seconds."""
        began_s = time.monotonic()
        self.send(signal.SIGTERM)
        while self.process.poll() is None:
            if time.monotonic() - began_s >= grace_s:
                self.kill()
            await asyncio.sleep(0.02)
        return time.monotonic() - began_s


class Fleet:
    """The machines of a case on loopback addresses of its own."""

    def __init__(self, zones: list[str]) -> None:
        """Chooses a free network and a temporary folder."""
        draw = random.SystemRandom()
        first, second = draw.randint(1, 250), draw.randint(1, 250)
        self.net = f'127.{first}.{second}'
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.fronts: list[Machine] = []
        self.stores: list[Machine] = []
        self.platform = (f'{self.net}.1', PLATFORM_PORT)
        self.tolerated = 1  # machines with a disk that may be lost at once

    def move_platform(self) -> None:
        """Gives the platform's store another address."""
        self.platform = (f'{self.net}.2', PLATFORM_PORT)

    def add(self, role: str, zone: str) -> Machine:
        """Adds a machine; it is not started."""
        machines = self.stores if role == 'store' else self.fronts
        first = 40 if role == 'store' else 10
        host = f'{self.net}.{first + len(machines)}'
        name = f'{role}-{zone}-{len(machines) + 1}'
        machine = Machine(self, role, name, (host, zone))
        machines.append(machine)
        return machine

    def start_all(self) -> None:
        """Starts every machine at the same time."""
        for machine in (*self.stores, *self.fronts):
            machine.start()

    def stop_all(self) -> None:
        """Ends all processes and removes the folder."""
        for machine in (*self.stores, *self.fronts):
            machine.kill()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)

    def write_settings(self, machine: Machine) -> Path:
        """Writes the settings file of a machine."""
        is_store = machine.role == 'store'
        seeds = ','.join(f'{store.host}:8144' for store in self.stores[:3])
        fields = {
            'node_name': machine.name,
            'role': machine.role,
            'machine_class': machine.role,
            'serves': 'store,control' if is_store else 'front',
            'ip': machine.host,
            'zone': machine.zone,
            'region': 'lab',
            **{f'zones.{zone}': 'lab' for zone in self.zones},
            'port_range': f'{PEER_PORT},{PEER_PORT + 15}',
            'seeds': seeds,
            'bootstrap': str(machine.is_first_start).lower(),
            'count_loss': str(is_store).lower(),
            'limits.memory_mb': '170' if is_store else '150',
            'heartbeat_ms': '1200',
            'discovery': 'platform',
            'tolerate.machines': str(self.tolerated),
            'tolerate.zones': '1',
            'tolerate.regions': '0',
            **{f'bounds.{name}': found for name, found in BOUNDS.items()},
            'platform.address': '{}:{}'.format(*self.platform),
            'platform.form': 'objects',
            'platform.history_s': '20',
            'platform.value_bytes': '1048576',
        }
        if is_store:
            fields['data_dir'] = machine.disk
            fields['listen.control'] = f'{machine.host}:8144'
        else:
            fields['listen.front'] = f'{machine.host}:{FRONT_PORT}'
            fields['listen.ready'] = f'{machine.host}:{READY_PORT}'
        path = self.folder / f'{machine.name}.conf'
        lines = [f'{name}={found}\n' for name, found in fields.items()]
        path.write_text(''.join(lines), 'utf-8')
        return path

"""A small deployment: the project's two programs as processes, and stand-ins.

Each process has a loopback address of its own. A process that uses more memory
than its machine has is killed and started again, as the pages say of the
platform.
"""

import asyncio
import os
import random
import signal
import subprocess
import tempfile
import tomllib
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

from review.rig3.platform import Platform
from review.rig3.replica import Replica

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = ROOT / 'deploy' / 'system.toml'
FRONT_PORT, READY_PORT, CONTROL_PORT = 18149, 18141, 18144
PEER_PORT, PLATFORM_PORT, REPLICA_PORT = 17380, 18142, 18080
HOST = 'case.example'
RESTART_S = 0.5  # "restarted after a short delay"
LOOK_S = 0.05
READY_S = 30.0
FIELDS = {
    'count_loss': 'false',
    'discovery': 'platform',
    'entry': 'vip',
    'heartbeat_ms': 1200,
    'contracts': 'base,drain,config,cost,recover,agent,stream,engine,platform',
    'tolerate.machines': 1,
    'tolerate.zones': 1,
    'tolerate.regions': 0,
    'bounds.seed_lag_s': 3,
    'bounds.reuse_after_s': 2,
    'bounds.stable_window_ms': 3000,
    'bounds.ack_ms': 4000,
    'bounds.drain_ms': 2000,
    'bounds.grace_s': 8,
    'bounds.loss_slack_ms': 200,
    'bounds.config_apply_ms': 2000,
    'bounds.rollback_slack_ms': 250,
    'bounds.max_stretch_ms': 5000,
    'bounds.recover_s': 12,
    'bounds.pass_ms': 120,
    'bounds.deadline_s': 10,
    'bounds.settle_ms': 1000,
    'platform.form': 'objects',
    'platform.writes_per_s': 400,
    'platform.reads_per_s': 2000,
    'platform.history_s': 20,
    'platform.value_bytes': 1048576,
    'platform.ttl_min_ms': 1000,
}


class Site(NamedTuple):
    """What a site file says of the machines."""

    region: str
    zones: tuple[str, ...]
    catch_up_s: float
    front_mb: int
    store_mb: int
    store_disk_mb: int

    def machine(self, role):
        """Returns the limits of a machine, as its settings have them."""
        is_front = role == 'front'
        return {
            'limits.memory_mb': self.front_mb if is_front else self.store_mb,
            'limits.fds': 4100 if is_front else 8200,
            'limits.link_mbps': 1000.0 if is_front else 600.0,
            'limits.disk_mb': 0 if is_front else self.store_disk_mb,
        }


SITES = MappingProxyType({
    'fts-booking': Site(
        'tw-north',
        ('tw-north-a', 'tw-north-b', 'tw-north-c', 'tw-north-d'),
        4.6,
        150,
        170,
        440,
    ),
    'gebeta-ledger': Site(
        'addis', ('bole', 'kirkos', 'yeka'), 4.9, 300, 340, 530
    ),
})


class Node:
    """One process of the project on a machine of its own."""

    def __init__(self, name, role, place, machine):
        """Keeps who it is; `place` is its address and its zone."""
        self.name = name
        self.role = role
        self.ip, self.zone = place
        self.machine = machine
        self.is_first_start = True
        self.process = None
        self.kept_down = False
        self.ends = []  # how it ended each time by itself

    @property
    def is_up(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def front(self):
        """The address for clients."""
        return self.ip, FRONT_PORT

    def memory_mb(self):
        """Returns the private memory that the process has resident."""
        try:
            status = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        for line in status.splitlines():
            if line.startswith('RssAnon:'):
                return int(line.split()[1]) / 1024
        return 0


class World:
    """The platform, the replicas and the nodes of one case."""

    def __init__(self, record, site, *, fronts, stores):
        """Starts nothing yet."""
        self.record = record
        self.site = SITES[site]
        self.platform = Platform()
        draw = random.SystemRandom()
        self._net = f'127.{draw.randint(1, 250)}.{draw.randint(1, 250)}'
        self._folder = tempfile.TemporaryDirectory(prefix='case-')
        self.folder = Path(self._folder.name)
        self.nodes = [
            self._node('store', number) for number in range(stores)
        ] + [self._node('front', number) for number in range(fronts)]
        self.replicas = []
        self.most_mb = {}
        self._hosts = 100
        self._watch = None
        self._is_stopped = False
        roles = tomllib.loads(DEPLOY.read_text())['roles']
        self._commands = {
            name: role['run'].split() for name, role in roles.items()
        }

    @property
    def fronts(self):
        """The nodes that take requests."""
        return [node for node in self.nodes if node.role == 'front']

    @property
    def stores(self):
        """The nodes that keep records."""
        return [node for node in self.nodes if node.role == 'store']

    def add_replica(self, service, *, kind=Replica, **options):
        """Adds a replica that is started with the world."""
        self._hosts += 1
        number = len(self.replicas)
        place = (
            f'{self._net}.{self._hosts}',
            REPLICA_PORT,
            self.zone(number),
        )
        replica = kind(self.record, f'{number}', service, place, **options)
        self.replicas.append(replica)
        return replica

    async def start(self, configuration):
        """Starts everything; returns once all fronts are ready."""
        await self.platform.start(f'{self._net}.1', PLATFORM_PORT)
        self.platform.put('config', 'main', configuration)
        for replica in self.replicas:
            await replica.start()
            self.platform.put('servers', replica.id, replica.entry)
        for node in self.nodes:
            self.spawn(node)
        self._watch = asyncio.ensure_future(self._keep_up())
        async with asyncio.timeout(READY_S):
            while not await self.are_ready():
                await asyncio.sleep(0.2)

    async def are_ready(self):
        """Returns whether all fronts say that they are ready."""
        answers = [await self.is_ready(node) for node in self.fronts]
        return all(answers)

    async def is_ready(self, node):
        """Returns what a front answers the platform's question."""
        try:
            async with asyncio.timeout(1):
                pair = await asyncio.open_connection(node.ip, READY_PORT)
                pair[1].write(
                    b'GET /api/ready HTTP/1.1\r\nHost: r\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line = await pair[0].readline()
                pair[1].close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    def spawn(self, node):
        """Starts a process as the deploy file says."""
        if self._is_stopped:
            return
        settings = self.folder / f'{node.name}.conf'
        settings.write_text(self._settings(node))
        node.is_first_start = False
        env = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'CACTUSLEDGE_CONFIG': str(settings),
        }
        with (self.folder / f'{node.name}.log').open('ab') as output:
            node.process = subprocess.Popen(
                self._commands[node.role],
                cwd=ROOT,
                env=env,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def end(self, node):
        """Kills a process by a signal, as the case asks."""
        node.kept_down = True
        node.process.kill()
        node.process.wait()

    def disk_mb(self, node):
        """Returns what a store keeps in its data folder."""
        folder = self.folder / f'{node.name}.data'
        sizes = [path.stat().st_size for path in folder.glob('*')]
        return round(sum(sizes) / 1e6)

    def log_of(self, node):
        """Returns what a process has logged."""
        return (self.folder / f'{node.name}.log').read_text(errors='replace')

    def stop(self):
        """Ends all processes that were started."""
        self._is_stopped = True
        if self._watch is not None:
            self._watch.cancel()
        for node in self.nodes:
            if node.is_up:
                node.process.send_signal(signal.SIGKILL)
                node.process.wait()
        logs = os.environ.get('KEEP_LOGS')
        if logs:
            for node in self.nodes:
                name = f'{node.name}.log'
                (Path(logs) / name).write_text(self.log_of(node))
        self._folder.cleanup()

    async def _keep_up(self):
        """Starts processes that have ended; kills those over their memory."""
        while True:
            for node in self.nodes:
                if node.process is not None and not node.kept_down:
                    self._look(node)
            await asyncio.sleep(LOOK_S)

    def _look(self, node):
        if node.is_up:
            used_mb = node.memory_mb()
            most = max(self.most_mb.get(node.name, 0), used_mb)
            self.most_mb[node.name] = round(most, 1)
            if used_mb <= node.machine['limits.memory_mb']:
                return
            node.process.kill()
            node.process.wait()
            self._note_end(node, f'memory {used_mb:.0f} MB')
        else:
            self._note_end(node, f'exit {node.process.returncode}')

    def _note_end(self, node, cause):
        node.ends.append(cause)
        self.record.add('ended by itself', node=node.name, cause=cause)
        node.process = None
        asyncio.get_running_loop().call_later(RESTART_S, self.spawn, node)

    def _node(self, role, number):
        zone = self.zone(number)
        ip = f'{self._net}.{(10 if role == "store" else 50) + number}'
        name = f'{role}-{zone}-{number + 1}'
        return Node(name, role, (ip, zone), self.site.machine(role))

    def zone(self, number):
        """Returns a zone; numbers go round."""
        return self.site.zones[number % len(self.site.zones)]

    def _settings(self, node):
        region = self.site.region
        seeds = [f'{one.ip}:{CONTROL_PORT}' for one in self.stores[:3]]
        lines = {
            **FIELDS,
            **node.machine,
            **{f'zones.{zone}': region for zone in self.site.zones},
            'region': region,
            'bounds.catch_up_s': self.site.catch_up_s,
            'node_name': node.name,
            'role': node.role,
            'machine_class': node.role,
            'serves': 'front' if node.role == 'front' else 'store,control',
            'ip': node.ip,
            'zone': node.zone,
            'port_range': f'{PEER_PORT},{PEER_PORT + 15}',
            'seeds': ','.join(seeds),
            'bootstrap': str(node.is_first_start).lower(),
            'platform.address': f'{self._net}.1:{PLATFORM_PORT}',
        }
        if node.role == 'front':
            lines['listen.front'] = f'{node.ip}:{FRONT_PORT}'
            lines['listen.ready'] = f'{node.ip}:{READY_PORT}'
        else:
            lines['listen.control'] = f'{node.ip}:{CONTROL_PORT}'
            lines['count_loss'] = 'true'
            lines['data_dir'] = str(self.folder / f'{node.name}.data')
        return '\n'.join(f'{name}={text}' for name, text in lines.items())


def configuration(version=7, **limits):
    """Returns a configuration like that of the pages, with three routes."""
    return {
        'version': version,
        'routes': [
            route('r-turn', '/turn/', 'stream', 'models'),
            route('r-peek', '/peek/', 'safe', 'app', timeout_ms=1200),
            route('r-once', '/once/', 'unsafe', 'app', timeout_ms=2000),
        ],
        'services': [
            {
                'name': 'models',
                'health_path': '/health',
                'max_conns': 180,
                'protocol': 'h1',
                'tls': False,
                'engine': {
                    'slots': 16,
                    'kv_capacity_tokens': 584860,
                    'kv_token_bytes': 163840,
                    'tokens_per_event': 21,
                    'models': [{'name': 'm'}],
                },
            },
            {
                'name': 'app',
                'health_path': '/health',
                'max_conns': 110,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
            **limits,
        },
    }


def route(name, prefix, kind, service, timeout_ms=4000):
    """Returns a route; streams keep their context."""
    found = {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 200,
        'priority': 0,
        'service': service,
        'max_attempts': 2,
    }
    if kind == 'stream':
        found.update(
            retain_context=True,
            retention_s=60.0,
            sticky=True,
            resumable=False,
            gap_aim_ms=300,
        )
    return found


def turn(request_id, program, body, *, previous='', events=4, **fields):
    """Returns a turn of a program as a client sends it."""
    told = {
        'Host': HOST,
        'X-Cactusledge-Request-Id': request_id,
        'X-Cactusledge-Program-Id': program,
        'X-Cactusledge-Session-Id': f's-{program}',
        'X-Cactusledge-Finish-Ms': 100000,
        'X-Cactusledge-Token-Budget': 100000,
        'X-Cactusledge-Token-Usage': f'{1000 + len(body) // 100},{events * 21}',
        'X-Cactusledge-Model': 'm',
        'X-Cactusledge-Prompt-Prefix': f'{request_id[-8:]}:1000',
        'X-Cactusledge-Deadline-Ms': 4000,
        'X-Case-Events': events,
        **fields,
    }
    if previous:
        told['X-Cactusledge-Previous-Turn'] = previous
    return {'line': f'POST /turn/{program}', 'fields': told, 'body': body}


def call(request_id, kind, **fields):
    """Returns a call of a plain service; `kind` ends with `peek` or `once`."""
    is_safe = kind.endswith('peek')
    told = {
        'Host': HOST,
        'X-Cactusledge-Request-Id': request_id,
        'X-Cactusledge-Deadline-Ms': 1200 if is_safe else 2000,
        **fields,
    }
    body = b'' if is_safe else b'order'
    method = 'GET' if is_safe else 'POST'
    return {
        'line': f'{method} /{kind}/{request_id}',
        'fields': told,
        'body': body,
    }

"""The soak's processes, each with its settings, its log and its links."""

import asyncio
import os
import random
import signal
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import msgspec

from tests.soak_processes import documents
from tests.soak_processes.link import Link

ROOT = Path(__file__).parent.parent.parent
RESTART_DELAY_S = 0.3
POLL_S = 0.02
PLATFORM = 'platform'
FIRST_HOST, LAST_HOST = 10, 250
ROLE_COMMANDS = {
    'front': ('cactusledge.platform', 'front'),
    'store': ('tests.soak_processes.store',),
    'engine': ('tests.soak_processes.endpoint',),
    'tool': ('tests.soak_processes.endpoint',),
}


class Stop(NamedTuple):
    """How a process ended after SIGTERM."""

    name: str
    took_s: float
    status: int


class Node:
    """One process, which may be restarted under its name and address."""

    def __init__(self, name, role, ip, zone):
        """Keeps who it is; the fleet starts it."""
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.is_first_start = True
        self.is_stopping = False
        self.is_busy = False  # an event is under way with it
        self.process = None
        self.links = {}  # by the role of the far end

    @property
    def is_up(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None


class Fleet:
    """Starts the processes, and ends just those that it started."""

    def __init__(self, folder):
        """Keeps the folder for settings and logs; starts nothing."""
        self.folder = folder
        self.nodes = {}
        self.stops = []
        draw = random.SystemRandom()
        # Other runs on this machine use other addresses with the same ports.
        self._net = f'127.{draw.randint(1, 250)}.{draw.randint(1, 250)}'
        self._next_host = FIRST_HOST
        self._seeds = ()
        self._is_closed = False

    @property
    def platform_ip(self):
        """The address of the platform itself."""
        return f'{self._net}.1'

    def of_role(self, role):
        """Returns the nodes of a role, in the order of their names."""
        nodes = [node for node in self.nodes.values() if node.role == role]
        return sorted(nodes, key=lambda node: node.name)

    def start_platform(self):
        """Starts the platform."""
        node = Node(PLATFORM, PLATFORM, self.platform_ip, '')
        self.nodes[PLATFORM] = node
        port = str(documents.PLATFORM_PORT)
        command = ('tests.soak_processes.platform', node.ip, port)
        self._spawn(node, command)

    def new_node(self, role, zone=''):
        """Adds a node with an address of its own; it is not started.

        Its name begins with its zone, as on the users' platform.
        """
        host = self._next_host
        self._next_host += 1
        if host > LAST_HOST:
            raise RuntimeError('Too many nodes were added in one run.')
        zone = zone or documents.ZONES[host % len(documents.ZONES)]
        name = f'{role}-{zone}-{host}'
        node = Node(name, role, f'{self._net}.{host}', zone)
        self.nodes[node.name] = node
        if role == 'store':
            self._seeds = (*self._seeds, node.ip)[-3:]
        self._add_links(node)
        return node

    async def start(self, node):
        """Starts a node's process and opens its links."""
        if self._is_closed:
            return
        for link in node.links.values():
            await link.start()
        node.is_stopping = False
        self._spawn(node, (*ROLE_COMMANDS[node.role], *self._options(node)))
        node.is_first_start = False

    async def terminate(self, node):
        """Ends a process with SIGTERM, after the grace period by force."""
        loop = asyncio.get_running_loop()
        node.is_stopping = True
        began_s = loop.time()
        node.process.send_signal(signal.SIGTERM)
        while node.is_up and loop.time() - began_s < documents.GRACE_S:
            await asyncio.sleep(POLL_S)
        took_s = loop.time() - began_s
        if node.is_up:
            await self.kill(node)
        self.stops.append(Stop(node.name, took_s, node.process.returncode))
        self._close_links(node)

    async def kill(self, node):
        """Ends a process with SIGKILL."""
        node.process.kill()
        await asyncio.to_thread(node.process.wait)
        self._close_links(node)

    async def restart(self, node):
        """Starts a process again after a short delay."""
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start(node)

    def stop_all(self):
        """Ends every process that is left."""
        self._is_closed = True
        for node in self.nodes.values():
            if node.is_up:
                node.process.kill()
                node.process.wait()
            self._close_links(node)

    def write_settings(self, node):
        """Writes the settings file of a gateway or a store."""
        fields = {'bootstrap': str(node.is_first_start).lower()}
        if node.role == 'store':
            fields['data_dir'] = self.folder / f'{node.name}.data'
        path = self.folder / f'{node.name}.conf'
        path.write_text(
            documents.settings_text(
                node.name,
                node.role,
                (node.ip, node.zone),
                self._seeds,
                **fields,
            )
        )
        return path

    def _options(self, node):
        if node.role in {'front', 'store'}:
            self.write_settings(node)
            return ()
        port = documents.ENDPOINT_PORT
        settings = {
            'name': node.name,
            'service': node.role,
            'zone': node.zone,
            'host': node.ip,
            'port': port + 1,
            'told_port': port,
            'platform': f'{self.platform_ip}:{documents.PLATFORM_PORT}',
            'runs_path': str(self.folder / 'runs.jsonl'),
        }
        return (msgspec.json.encode(list(settings.values())).decode(),)

    def _add_links(self, node):
        platform = (self.platform_ip, documents.PLATFORM_PORT)
        if node.role in {'front', 'store'}:
            here = (node.ip, documents.PLATFORM_PORT)
            node.links['platform'] = Link(here, platform)
        port = documents.PEER_PORT
        if node.role in {'engine', 'tool'}:
            port = documents.ENDPOINT_PORT
        if node.role != 'front':
            node.links['callers'] = Link((node.ip, port), (node.ip, port + 1))

    def _close_links(self, node):
        for link in node.links.values():
            link.stop()

    def _spawn(self, node, command):
        settings = {
            'CACTUSLEDGE_CONFIG': str(self.folder / f'{node.name}.conf'),
            'PYTHONUNBUFFERED': '1',
        }
        with (self.folder / f'{node.name}.log').open('ab') as output:
            node.process = subprocess.Popen(
                (sys.executable, '-m', *command),
                cwd=ROOT,
                env={**os.environ, **settings},
                stdout=output,
                stderr=subprocess.STDOUT,
            )

"""Stand-ins and processes for the cases of the second review.

The platform, the replicas and the clients run on the event loop of the case;
the project's programs are separate processes. All addresses are loopback
addresses of a network that is drawn for each run.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = 'review.example'
READ_BYTES = 16384
FRONT_PORT, READY_PORT, PEER_PORT, PLATFORM_PORT = 8149, 8141, 7380, 8142
ENDPOINT_PORT = 8080
GRACE_S = 8
ZONES = ('bole', 'kirkos', 'yeka')
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, UNUSABLE = 0, 1, 2
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class CannotRunError(Exception):
    """The case could not be played."""


def commands():
    """Returns the command of each role in the deploy file."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    return {
        role: found['run'].split() for role, found in deploy['roles'].items()
    }


def route(name, kind, service, **fields):
    """Returns a route; its prefix is its name."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 4000,
        'target_latency_ms': 200,
        'priority': 0,
        'service': service,
        'max_attempts': 2,
        **fields,
    }


def configuration(version, routes, services):
    """Returns a configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': LIMITS,
    }


async def read_head(reader):
    """Returns the start line and the headers, or None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise ConnectionError('the head broke off') from exc
        return None
    lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines[1:] if line)
    return lines[0], {name.lower(): text.strip() for name, _, text in pairs}


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        """Opens the record of a case."""
        self._file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self._began_s = time.monotonic()

    def note(self, text):
        """Adds a line with the time since the start."""
        now_s = time.monotonic() - self._began_s
        self._file.write(f'{now_s:8.3f} {text}\n')
        self._file.flush()


class Platform:
    """The platform's metadata store, as PROTOCOL.md has it."""

    def __init__(self, record):
        """Starts empty."""
        self.record = record
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.is_down = False
        self.channels = set()

    async def put(self, kind, name, spec):
        """Writes an object as the operator or a replica does."""
        old = self.objects.get((kind, name))
        if old is not None and old['spec'] == spec:
            return old
        return await self._store(kind, name, spec, (old or {}).get('status'))

    async def remove(self, kind, name):
        """Removes an object."""
        old = self.objects.pop((kind, name))
        self.revision += 1
        metadata = {**old['metadata'], 'revision': self.revision}
        self.events.append((
            self.revision,
            kind,
            {'object': {**old, 'metadata': metadata}, 'deleted': True},
        ))
        await self._tell()
        return old

    async def serve(self, reader, writer):
        """Serves the calls of one channel."""
        self.channels.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while head := await read_head(reader):
                length = int(head[1].get('content-length', 0))
                body = await reader.readexactly(length)
                status, document = await self._answer(head[0], body)
                content = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(content)}\r\n\r\n'.encode()
                    + content
                )
                await writer.drain()
        self.channels.discard(writer)
        writer.close()

    async def _answer(self, line, body):
        method, target, _ = line.split(' ')
        if self.is_down:
            return 503, {}
        parts = urlsplit(target)
        path = [unquote(part) for part in parts.path.split('/')[3:]]
        query = {key: text[0] for key, text in parse_qs(parts.query).items()}
        if method == 'GET':
            return await self._get(path, query)
        if method == 'DELETE':
            return 200, await self.remove(*path[:2])
        return await self._write(method, path, json.loads(body))

    async def _get(self, path, query):
        kind = path[0]
        if len(path) > 1:
            found = self.objects.get((kind, path[1]))
            return (200, found) if found else (404, {})
        if 'watch' in query:
            return await self._watch(
                kind, int(query['watch']), int(query['wait_ms']) / 1000
            )
        items = [
            found
            for (other, _), found in sorted(self.objects.items())
            if other == kind
        ]
        return 200, {
            'items': items,
            'has_more': False,
            'as_of': self.revision,
        }

    async def _watch(self, kind, revision, wait_s):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self._news(kind, revision))
        return 200, {
            'events': self._news(kind, revision),
            'as_of': self.revision,
        }

    def _news(self, kind, revision):
        return [
            event
            for at, other, event in self.events
            if at > revision and other == kind
        ]

    async def _write(self, method, path, document):
        kind, metadata = path[0], document['metadata']
        if path[-1] == 'status':
            old = self.objects.get((kind, path[1]))
            if old is None:
                return 404, {}
            return 200, await self._store(
                kind, path[1], old['spec'], document['status']
            )
        name = metadata['name']
        old = self.objects.get((kind, name))
        if method == 'POST' and old is not None:
            return 409, old
        if method == 'PUT' and old is None:
            return 404, {}
        expected = metadata.get('revision')
        if expected is not None and expected != old['metadata']['revision']:
            return 409, old
        return 200, await self.put(kind, name, document['spec'])

    async def _store(self, kind, name, spec, status):
        old = self.objects.get((kind, name))
        self.revision += 1
        created = old['metadata']['create_rev'] if old else self.revision
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'create_rev': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self.objects[kind, name] = stored
        self.events.append((
            self.revision,
            kind,
            {'object': stored, 'deleted': False},
        ))
        await self._tell()
        return stored

    async def _tell(self):
        async with self.changed:
            self.changed.notify_all()


class Replica:
    """A sound replica; `answer` writes the answer to each request."""

    def __init__(self, world, service, answer, zone=ZONES[0]):
        """Starts without a socket."""
        self.world = world
        self.service = service
        self.answer = answer
        self.zone = zone
        self.ip = world.next_ip()
        self.id = f'i-{random.randrange(1 << 32):08x}'
        self.runs = []  # request ids
        self.read_bytes_per_s = 0  # of each channel; 0: as they come

    async def start(self, window_bytes=None):
        """Listens, and registers at the platform."""
        await self.world.listen(
            self.serve, self.ip, ENDPOINT_PORT, window_bytes
        )
        spec = {
            'service': self.service,
            'address': f'{self.ip}:{ENDPOINT_PORT}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 64,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 0,
            'born': int(time.time() * 1000),
        }
        await self.world.platform.put('servers', self.id, spec)

    async def read_body(self, reader, length):
        """Returns the body of a request; reads at `read_bytes_per_s`."""
        body = bytearray()
        while len(body) < length:
            part = await reader.read(min(READ_BYTES, length - len(body)))
            if not part:
                raise ConnectionError('the body broke off')
            body += part
            if self.read_bytes_per_s:
                await asyncio.sleep(len(part) / self.read_bytes_per_s)
        return bytes(body)

    async def serve(self, reader, writer):
        """Serves the requests of one channel."""
        with contextlib.suppress(OSError):
            while head := await read_head(reader):
                length = int(head[1].get('content-length', 0))
                body = await self.read_body(reader, length)
                expected = head[1].get('x-cactusledge-expect-instance')
                if expected not in {None, self.id}:
                    writer.write(
                        b'HTTP/1.1 421 X\r\nX-Cactusledge-Not-Executed: 1\r\n'
                        b'Content-Length: 0\r\n\r\n'
                    )
                    continue
                request = head[1].get('x-cactusledge-request-id', '')
                self.runs.append(request)
                self.world.record.note(f'run {request} at {self.id}')
                if not await self.answer(head, body, writer):
                    break
        writer.close()


def answer_head(request, *lines):
    """Returns the head of a success."""
    told = (
        'HTTP/1.1 200 OK',
        f'X-Cactusledge-Request-Id: {request}',
        f'X-Cactusledge-Response-Seal: seal.{request}',
        *lines,
        '\r\n',
    )
    return '\r\n'.join(told).encode()


class Node:
    """A machine with one of the project's programs."""

    def __init__(self, role, zone, number, ip):
        """Keeps who it is; nothing runs yet."""
        self.role = role
        self.zone = zone
        self.name = f'{role}-{zone}-{number}'
        self.ip = ip
        self.process = None
        self.starts = 0
        self.memory_mb = 300
        self.ends = 0  # by itself
        self.peak_mb = 0

    def resident_mb(self):
        """Returns the memory that the program uses."""
        try:
            statm = Path(f'/proc/{self.process.pid}/statm').read_text()
        except OSError:
            return 0
        return int(statm.split()[1]) * PAGE_BYTES / 1_000_000


class World:
    """The processes and stand-ins of one run."""

    def __init__(self, case_file):
        """Starts nothing; picks a network of loopback addresses."""
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.record = Record(Path(case_file).parent)
        self.platform = Platform(self.record)
        draw = random.SystemRandom()
        self._net = f'127.{draw.randint(2, 250)}.{draw.randint(1, 250)}'
        self._next_host = 2
        self._servers = []
        self.nodes = []
        self.seeds = ()

    def next_ip(self):
        """Returns an address that nobody uses yet."""
        self._next_host += 1
        return f'{self._net}.{self._next_host}'

    async def listen(self, serve, ip, port, window_bytes=None):
        """Opens a port of a stand-in, whose channels may have small windows."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if window_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        sock.bind((ip, port))
        server = await asyncio.start_server(serve, sock=sock, backlog=512)
        self._servers.append(server)
        return server

    async def start_platform(self):
        """Starts the platform's store."""
        self.platform_ip = self.next_ip()
        await self.listen(self.platform.serve, self.platform_ip, PLATFORM_PORT)

    async def move_platform(self):
        """Moves the platform's store to another address, as settings tell.

        The settings of all machines change, each program gets SIGHUP, and a
        second later nothing listens at the old address any more.
        """
        old, old_ip = self._servers[0], self.platform_ip
        await self.start_platform()
        self.record.note(f'platform moves: {old_ip} to {self.platform_ip}')
        for node in self.nodes:
            self._write_settings(node)
            node.process.send_signal(signal.SIGHUP)
            self.record.note(f'SIGHUP to {node.name}')
        await asyncio.sleep(1)
        old.close()
        for writer in tuple(self.platform.channels):
            if writer.get_extra_info('sockname')[0] == old_ip:
                writer.transport.abort()
        self.record.note(f'{old_ip} closed')

    def add(self, role, number, zone=None):
        """Adds a machine; it is not started."""
        zone = zone or ZONES[(number - 1) % len(ZONES)]
        node = Node(role, zone, number, self.next_ip())
        self.nodes.append(node)
        if role == 'store':
            self.seeds = (*self.seeds, f'{node.ip}:8144')[:3]
        return node

    def start(self, node):
        """Starts the program of a machine with its present settings."""
        path = self._write_settings(node)
        node.starts += 1
        keys = ('PATH', 'HOME', 'LANG')
        env = {key: os.environ[key] for key in keys if key in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['CACTUSLEDGE_CONFIG'] = str(path)
        command = commands()[node.role]
        with (self.folder / f'{node.name}.log').open('ab') as output:
            node.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.record.note(f'start {node.name} at {node.ip}')

    async def kill(self, node, number=signal.SIGKILL):
        """Sends a signal to a program and waits for its end."""
        self.record.note(f'{number.name} to {node.name}')
        node.process.send_signal(number)
        await asyncio.to_thread(node.process.wait)
        self.record.note(f'{node.name} ended with {node.process.returncode}')

    async def bound_memory(self, node):
        """Kills a program over its memory and starts it again, as machines do.

        Runs until it is cancelled.
        """
        while True:
            await asyncio.sleep(0.02)
            used_mb = node.resident_mb()
            node.peak_mb = max(node.peak_mb, used_mb)
            if used_mb <= node.memory_mb:
                continue
            self.record.note(
                f'{node.name} uses {used_mb:.0f} MB, over {node.memory_mb} MB'
            )
            node.ends += 1
            await self.kill(node)
            await asyncio.sleep(0.5)
            self.start(node)

    async def is_ready(self, node):
        """Asks a front whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    node.ip, READY_PORT
                )
                writer.write(
                    b'GET /api/ready HTTP/1.1\r\nHost: r\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
        except OSError:
            return False
        return b' 200 ' in line

    async def wait_ready(self, limit_s=30):
        """Waits until all fronts are ready; a world that is not cannot run."""
        fronts = [node for node in self.nodes if node.role == 'front']
        ends_s = time.monotonic() + limit_s
        while time.monotonic() < ends_s:
            if all([await self.is_ready(node) for node in fronts]):
                self.record.note('all fronts are ready')
                return
            await asyncio.sleep(0.2)
        raise CannotRunError('the fronts did not become ready')

    def close(self):
        """Ends every process of this run and removes its folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for server in self._servers:
            server.close()
        if os.environ.get('KEEP'):
            sys.stderr.write(f'{self.folder}\n')
            return
        shutil.rmtree(self.folder, ignore_errors=True)

    def _write_settings(self, node):
        fields = {
            'node_name': node.name,
            'role': node.role,
            'machine_class': node.role,
            'serves': 'front' if node.role == 'front' else 'store,control',
            'ip': node.ip,
            'zone': node.zone,
            'region': 'addis',
            'listen.front': f'{node.ip}:{FRONT_PORT}',
            'listen.ready': f'{node.ip}:{READY_PORT}',
            'listen.control': f'{node.ip}:8144',
            'port_range': f'{PEER_PORT},{PEER_PORT + 15}',
            'seeds': ','.join(self.seeds),
            'bootstrap': 'false' if node.starts else 'true',
            'limits.memory_mb': str(node.memory_mb),
            'tolerate.machines': '1',
            'tolerate.zones': '1',
            'bounds.grace_s': str(GRACE_S),
            'bounds.drain_ms': '2000',
            'bounds.config_apply_ms': '2000',
            'platform.address': f'{self.platform_ip}:{PLATFORM_PORT}',
            'platform.form': 'objects',
        }
        if node.role == 'store':
            fields['data_dir'] = str(self.folder / f'{node.name}.data')
        path = self.folder / f'{node.name}.conf'
        lines = (f'{key}={text}' for key, text in fields.items())
        path.write_text('\n'.join(lines) + '\n')
        return path


def request_bytes(method, path, request, *lines, body=b''):
    """Returns a client's request."""
    head = (
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Cactusledge-Request-Id: {request}',
        *lines,
        f'Content-Length: {len(body)}',
        '\r\n',
    )
    return '\r\n'.join(head).encode() + body


async def answer_stream(request, writer, events, pace_s=0.02):
    """Answers with an event stream in chunks, as a model engine does."""
    lines = ('Content-Type: text/event-stream', 'Transfer-Encoding: chunked')
    writer.write(answer_head(request, *lines))
    for number in range(1, events + 1):
        event = f'id: {number}\ndata: {request}.{number}\n\n'
        writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
        await writer.drain()
        await asyncio.sleep(pace_s)
    writer.write(b'0\r\n\r\n')
    await writer.drain()


async def read_body(reader, headers):
    """Returns the body of an answer and whether it came whole."""
    body = bytearray()
    if 'chunked' not in headers.get('transfer-encoding', ''):
        length = int(headers.get('content-length', 0))
        with contextlib.suppress(asyncio.IncompleteReadError):
            body += await reader.readexactly(length)
        return bytes(body), len(body) == length
    with contextlib.suppress(asyncio.IncompleteReadError, ValueError):
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return bytes(body), True
    return bytes(body), False


async def exchange(ip, content, limit_s):
    """Sends a request on a new channel; returns status, headers, body, whole.

    The status is 0 if there was no answer in time.
    """
    status, headers, body, whole = 0, {}, b'', False
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(ip, FRONT_PORT)
            writer.write(content)
            head = await read_head(reader)
            if head is not None:
                status, headers = status_of(head[0]), head[1]
                body, whole = await read_body(reader, headers)
    except OSError:
        whole = False
    if writer is not None:
        writer.close()
    return status, headers, body, whole


async def connect(ip, port, window_bytes=65536):
    """Opens a channel with a small window, as links have them."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (ip, port))
    return await asyncio.open_connection(sock=sock, limit=8192)


def status_of(line):
    """Returns the status of an answer's first line, 0 without one."""
    found = re.match(r'HTTP/1\.1 (\d+)', line or '')
    return int(found[1]) if found else 0


def play(case_file, case):
    """Plays a case and exits with its result."""
    world = None

    async def run():
        nonlocal world
        world = World(case_file)
        # Tasks of stand-ins that the end cancels are no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(115):
            return await case(world)

    try:
        outcome = asyncio.run(run())
    except (CannotRunError, TimeoutError) as exc:
        sys.stderr.write(f'The case could not run: {exc!r}\n')
        outcome = UNUSABLE
    finally:
        if world is not None:
            world.close()
    sys.exit(outcome)

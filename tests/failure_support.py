"""Fixtures and helpers of the tests that make processes fail."""

import re
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from urllib3 import PoolManager

from cactusledge.models import Address
from cactusledge.objects.client import HttpObjectStore
from cactusledge.protocol import ring
from cactusledge.protocol.records import decode_batch
from standins.deployment import (
    LOOPBACK,
    ROOT,
    Deployment,
    wait_until,
)
from standins.ports import free_port
from standins.tcp_proxy import TcpProxy

HEADERS = {'Authorization': 'Bearer demo-showroom-token'}
SHOWROOM = ROOT / 'examples' / 'showroom'
BOLE = 'bole'
THREE = {'entry-1': BOLE, 'entry-2': BOLE, 'entry-3': BOLE}
NOT_IDEMPOTENT = '--operation=confirm={"idempotent": false, "delay_s": %s}'
LONG_S = 60.0
RING_SLOTS = 16  # soon created, and lapped within a test

Document = dict[str, Any]


class Client:
    """Makes the calls of one program and returns every answer as told."""

    def __init__(self, deployed: Deployment, key: str = 'program') -> None:
        self._deployed = deployed
        self._pool = PoolManager(retries=False, headers=HEADERS, maxsize=8)
        self._key = key
        self.program_id = ''

    @property
    def log(self) -> str:
        """The log that holds the program."""
        return self.program_id.rpartition('.')[0]

    def open(self, entry: str) -> Document:
        """Opens the program."""
        body = {'definition': 'itinerary', 'key': self._key}
        view = self._post(entry, '/v1/programs', body)
        self.program_id = view.get('program_id', '')
        return view

    def model(self, entry: str, seq: int, **changes: Any) -> Document:
        """Makes a model call."""
        messages = [{'role': 'user', 'content': f'Plan step {seq}.'}]
        body = {'kind': 'model', 'messages': messages, 'max_output_tokens': 4}
        return self.call(entry, seq, {**body, **changes})

    def confirm(self, entry: str, seq: int, **changes: Any) -> Document:
        """Makes a non-idempotent call."""
        body = {
            'kind': 'service',
            'target': 'booking',
            'operation': 'confirm',
            'arguments': {'slot': seq},
        }
        return self.call(entry, seq, {**body, **changes})

    def call(self, entry: str, seq: int, body: Document) -> Document:
        """Makes a call with the key of its sequence number."""
        document = {'seq': seq, 'key': f'call-{seq}', **body}
        path = f'/v1/programs/{self.program_id}/calls'
        return self._post(entry, path, document)

    def end(self, entry: str) -> Document:
        """Ends the program."""
        return self._post(entry, f'/v1/programs/{self.program_id}/end', {})

    def view(self, entry: str) -> Document:
        """Returns the program's state."""
        return self._get(entry, '')

    def history(self, entry: str) -> list[Document]:
        """Returns the program's calls."""
        calls: list[Document] = self._get(entry, '/history')['calls']
        return calls

    def _get(self, entry: str, path: str) -> Document:
        url = f'{self._url(entry)}/v1/programs/{self.program_id}{path}'
        return told(self._pool.request('GET', url).json())

    def _post(self, entry: str, path: str, body: Document) -> Document:
        url = f'{self._url(entry)}{path}'
        return told(self._pool.request('POST', url, json=body).json())

    def _url(self, entry: str) -> str:
        return f'http://{LOOPBACK}:{self._deployed.port(entry)}'


class Site(NamedTuple):
    """A deployment with entry instances that may be cut off."""

    deployed: Deployment
    links: dict[str, TcpProxy]  # from an instance to the platform
    peer_links: dict[str, TcpProxy]  # from the peers to an instance
    pool: ThreadPoolExecutor

    def client(self, key: str = 'program') -> Client:
        """Returns the caller of another program."""
        return Client(self.deployed, key)

    def begin(
        self, call: Callable[..., Document], *args: Any, **changes: Any
    ) -> 'Future[Document]':
        """Makes a call in the background."""
        return self.pool.submit(call, *args, **changes)

    def driver_of(self, client: Client) -> str:
        """Returns the instance that says it drives the program."""
        return next(
            name
            for name in self.links
            if self.deployed.is_running(name)
            and client.log in self.deployed.get(name, '/status')['logs']
        )

    def others(self, *names: str) -> list[str]:
        """Returns the running instances but the named ones."""
        return [
            name
            for name in self.links
            if name not in names and self.deployed.is_running(name)
        ]

    def wait_driver(self, client: Client, *not_these: str) -> str:
        """Waits until one of the other instances drives the program."""
        running = partial(self.others, *not_these)

        def drives(name: str) -> bool:
            logs = self.deployed.get(name, '/status')['logs']
            return client.log in logs

        wait_until(
            lambda: any(map(drives, running())), 'takeover', timeout_s=LONG_S
        )
        return next(filter(drives, running()))

    def metric(self, entry: str, name: str) -> float:
        """Returns a metric of an instance."""
        url = f'http://{LOOPBACK}:{self.deployed.port(entry)}/metrics'
        text = PoolManager().request('GET', url).data.decode()
        line = next(
            line
            for line in text.splitlines()
            if line.partition(' ')[0].endswith(name)
        )
        return float(line.rpartition(' ')[2])

    def is_recorded(self, client: Client, kind: type[Any], seq: int) -> bool:
        """Returns whether the platform holds such a record of a call."""
        platform = Address(LOOPBACK, self.deployed.port('platform'))
        store = HttpObjectStore([platform])
        listed = store.list(ring.SLOT_KIND, client.log)
        slots = [ring.parse_slot(one.body, one.version) for one in listed.items]
        return any(
            isinstance(record, kind)
            and (record.program_id, record.seq) == (client.program_id, seq)
            for slot in slots
            if slot.data
            for record in decode_batch(slot.data)
        )

    def wait_waiting(self, entry: str) -> None:
        """Waits until an instance holds records that are not durable."""
        wait_until(
            lambda: self.metric(entry, 'journal_waiting_bytes') > 0,
            'records wait',
        )

    def wait_durable(self, entry: str) -> None:
        """Waits until all records of an instance are at the platform."""
        wait_until(
            lambda: not self.metric(entry, 'journal_waiting_bytes'),
            'records durable',
            timeout_s=LONG_S,
        )

    def executions(self) -> list[Document]:
        """Returns what the service ran."""
        records = self.deployed.get('booking-1', '/records')
        listed: list[Document] = records['executions']
        return listed

    def received(self) -> int:
        """Returns how many calls have reached the service."""
        count: int = self.deployed.get('booking-1', '/records')['received']
        return count


def told(document: Document) -> Document:
    """Returns an answer, or the error in its place."""
    error: Document = document.get('error', document)
    return error


@pytest.fixture
def define(tmp_path) -> Callable[..., Path]:
    """Writes the example's definitions with other limits."""
    return partial(define_in, tmp_path / 'definitions')


def define_in(folder: Path, **limits: int) -> Path:
    """Returns the folder with the definitions written to it."""
    folder.mkdir(exist_ok=True)
    for path in SHOWROOM.iterdir():
        text = path.read_text('utf-8')
        for name, limit in limits.items():
            text = re.sub(f'{name}: [0-9]+', f'{name}: {limit}', text)
        (folder / path.name).write_text(text, 'utf-8')
    return folder


@pytest.fixture
def start_site(tmp_path) -> Iterator[Callable[..., Site]]:
    """Starts deployments; ends their processes after the test."""
    with (
        ThreadPoolExecutor() as pool,
        Deployment(tmp_path) as deployed,
    ):
        site = Site(deployed, {}, {}, pool)
        yield partial(_start, site)
        deployed.stop_all()
        for link in (*site.links.values(), *site.peer_links.values()):
            link.__exit__()


def _start(
    site: Site,
    entries: Mapping[str, str] = THREE,
    *,
    delay_s: float = 0,
    definitions: Any = SHOWROOM,
    engine: tuple[str, ...] = (),
    **sections: Any,
) -> Site:
    deployed = site.deployed
    deployed.start_platform()
    deployed.publish(definitions)
    for centre in sorted(set(entries.values())):
        name = f'engine-{centre}'
        deployed.start_engine(name, 'booking-agent', centre, *engine)
    operation = NOT_IDEMPOTENT % delay_s
    deployed.start_service('booking-1', 'booking', BOLE, operation)
    seeds: list[int] = []
    for name, centre in entries.items():
        start_entry(site, name, centre, seeds, **sections)
        seeds = seeds or [deployed.peers_port(name)]
    deployed.wait_ready(*entries)
    wait_until(lambda: sees_all(site), 'instances and endpoints seen')
    return site


def start_entry(
    site: Site,
    name: str,
    centre: str,
    seeds: list[int],
    **sections: Any,
) -> None:
    """Starts an entry instance with a link to the platform of its own."""
    deployed = site.deployed
    if name not in site.links:
        platform = Address(LOOPBACK, deployed.port('platform'))
        site.links[name] = TcpProxy(platform).__enter__()
        listen = Address(LOOPBACK, free_port())
        site.peer_links[name] = TcpProxy(listen).__enter__()
    peer_link = site.peer_links[name]
    proxy = (peer_link.address.port, peer_link.target.port)
    address = str(site.links[name].address)
    defaults = {
        'platform': {'addresses': [address]},
        'journal': {'ring_slots': RING_SLOTS},
    }
    sections = {**defaults, **sections}
    deployed.start_entry(name, centre, seeds, proxy, **sections)


def sees_all(site: Site) -> bool:
    """Returns whether every instance sees the others and the endpoints."""
    names = site.others()
    seen = [site.deployed.get(name, '/status') for name in names]
    return all(
        len(status['peers']) == len(names) - 1
        and {'booking-1'} <= {one['name'] for one in status['endpoints']}
        and len(status['endpoints']) > 1
        for status in seen
    )


def seqs_of(history: list[Document]) -> list[int]:
    """Returns the sequence numbers of a history."""
    return [call['seq'] for call in history]

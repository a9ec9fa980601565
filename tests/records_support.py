"""Runs record stores in one event loop; their data folders can be wiped."""

import asyncio
import shutil
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import msgspec

from cactusledge.errors import StoreError
from cactusledge.models import Address
from cactusledge.records.client import RecordClient
from cactusledge.records.disk import read_folder
from cactusledge.records.entries import Member
from cactusledge.records.group_manager import GroupManager
from cactusledge.records.group_objects import GroupObjects
from cactusledge.records.log import RecordLog
from cactusledge.records.message_server import MessageServer
from cactusledge.records.quorum import Demand
from cactusledge.records.store import RecordStore
from cactusledge.records.turn_start import TurnStart
from standins.ports import free_port

WAIT_S = 8.0
POLL_INTERVAL_S = 0.02
GROUP_POLL_INTERVAL_S = 0.5


async def wait_until(condition, wait_s=WAIT_S):
    """Waits for a condition; fails the test on time-out."""
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + wait_s
    while not condition():
        assert loop.time() < ends_s, 'timed out waiting for a condition'
        await asyncio.sleep(POLL_INTERVAL_S)


async def ignore_request(_):
    """The default for `StoreNode.on_request`."""


def read_entries(folder):
    """Returns all entries of a data folder, as they are on disk."""
    found = read_folder(folder, is_first_start=False)
    return [entry for segment in found.segments for entry in segment.entries()]


class StoreNode:
    """A record store that can be killed, wiped and restarted."""

    def __init__(self, name, folder, objects):
        self.name = name
        self.folder = Path(folder)
        self.address = Address('127.0.0.1', free_port())
        self.store = None
        self.group_manager = None
        self.on_request = ignore_request  # awaited before each is handled
        self._objects = objects
        self._server = None
        self._tasks = ()

    async def start(self, *, is_first_start=False):
        log = RecordLog(self.folder, is_first_start=is_first_start)
        self.store = RecordStore(self.name, log)
        self.group_manager = GroupManager(
            self.store,
            GroupObjects(self._objects),
            Member(str(self.address), self.name),
            copies=2,
        )
        self._server = MessageServer(self._handle)
        await self._server.start(self.address)
        self._tasks = tuple(
            asyncio.ensure_future(work)
            for work in (self.group_manager.run(), self._poll_group())
        )

    def pause(self):
        """Ends what the store does by itself; it goes on to reply."""
        for task in self._tasks:
            task.cancel()

    async def kill(self):
        self.pause()
        self._server.stop()
        self.group_manager.peers.stop()
        self.store.log.stop()
        await asyncio.sleep(0)

    def wipe(self):
        shutil.rmtree(self.folder)

    def reset_connections(self):
        """Aborts the connections to this store; it accepts new ones."""
        for protocol in tuple(self._server._connections):
            protocol.transport.abort()

    @property
    def is_witness(self):
        return self.store.log.identity.is_witness

    async def _handle(self, body):
        await self.on_request(body)
        return await self.store.handle(body)

    async def _poll_group(self):
        """Polls the published group, in place of the store's watcher."""
        while True:
            await asyncio.sleep(GROUP_POLL_INTERVAL_S)
            with suppress(StoreError):
                published = await GroupObjects(self._objects).read()
                if published is not None:
                    self.group_manager.adopt_table(published.table)


class Cluster:
    """A group of stores and one client."""

    def __init__(self, folder, objects):
        self.nodes = {}
        self.client = RecordClient('front-1', 'store-0')
        self._folder = folder
        self._objects = objects

    async def add(self, name, *, is_first_start=False):
        node = StoreNode(name, self._folder / name, self._objects)
        self.nodes[name] = node
        await node.start(is_first_start=is_first_start)
        return node

    async def form(self, size):
        for index in range(size):
            await self.add(f'store-{index}', is_first_start=True)
        await wait_until(lambda: self.member_count() == size)
        await self.connect()

    def member_count(self):
        """Returns the number of stores that belong to their own group."""
        return sum(node.store.is_member for node in self.nodes.values())

    def nodes_of(self, shard):
        """Returns the stores that have adopted the group of a shard."""
        return [
            node
            for node in self.nodes.values()
            if node.store.group.shard == shard
        ]

    def group_at(self, name):
        return self.nodes[name].store.group

    def change_group(self):
        """Makes all stores adopt the next generation, with equal members."""
        group = next(iter(self.nodes.values())).store.group
        changed = msgspec.structs.replace(
            group, generation=group.generation + 1
        )
        for node in self.nodes.values():
            node.group_manager.adopt_group(changed)

    async def connect(self):
        for node in self.nodes.values():
            self.client.adopt_group(node.store.group)
        await wait_until(lambda: self.client.has_quorum)

    async def stop(self):
        self.client.stop()
        for node in self.nodes.values():
            await node.kill()


@asynccontextmanager
async def cluster_of(size, folder, objects):
    """Runs a cluster with a group of `size` stores."""
    cluster = Cluster(folder, objects)
    try:
        await cluster.form(size)
        yield cluster
    finally:
        await cluster.stop()


def turn_start(turn_id, parent_id='', *, tokens=10, budget=100):
    """Returns the start of a turn, to reserve its tokens."""
    demand = Demand(turn_id, tokens, budget, parent_id)
    return TurnStart(demand, 'p', wants_chain=bool(parent_id))

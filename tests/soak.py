"""Fault soak of the record stores: random troubles, checked promises.

`python -m tests.soak --seeds 50` plays so many seeds and prints those that
break a promise; `tests/test_soak.py` plays a few. Troubles, callers and what
they ask for are drawn from the seed; times on the loopback are not, so a seed
repeats the plan of a play, not every interleaving.

What is checked: a turn told durable is read back with its text, whatever was
lost meanwhile; nobody is told that such a turn does not exist; a program's
turns hand out no more than its budget; nobody is told that the budget is
spent while it holds the turn.
"""

import asyncio
import errno
import logging
import random
import tempfile
from collections import Counter
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import NamedTuple

import pytest
import structlog
import typer

from cactusledge.records import disk, keeper
from cactusledge.records.client import RecordClient
from cactusledge.records.entries import Turn
from cactusledge.records.quorum import Demand, Verdict
from cactusledge.records.reservations import TurnStart
from tests.conftest import FakeStore
from tests.records_support import cluster_of, until

PROGRAMS = 6
BUDGET = 300
LARGEST_TURN = 20  # tokens
PLAY_S = 4.0
CALM_S = 20.0  # for all stores to be witnesses again
FORM_AFTER_S = 0.3
PERCENT = 100
RECORDED, SETTLED = 70, 90  # of 100 turns; the rest is left reserved


class Told(NamedTuple):
    """A turn that a caller knows as durable."""

    turn_id: str
    parent_id: str
    program_id: str


class Books:
    """What the callers know, and the promises broken so far."""

    def __init__(self):
        self.told = {}
        self.handed = Counter()  # tokens by program
        self.held = Counter()  # tokens that a store may still count
        self.broken = []
        self.verdicts = Counter()

    def take(self, start, grant):
        """Checks a verdict."""
        self.verdicts[grant.verdict.value] += 1
        demand, program_id = start.demand, start.program_id
        if grant.verdict is Verdict.NO_PARENT:
            self._expect(demand.parent_id not in self.told, 'denied', demand)
        may_hold = self.held[program_id] + demand.tokens
        if grant.verdict is Verdict.SPENT:
            self._expect(may_hold > BUDGET, 'refused early', demand)
        self.held[program_id] += demand.tokens

    def hand_out(self, start, tokens):
        """Counts what a turn has handed to its caller."""
        program_id = start.program_id
        self.handed[program_id] += tokens
        total = self.handed[program_id]
        self._expect(total <= BUDGET, 'overdrawn', (program_id, total))

    def _expect(self, holds, promise, what):
        if not holds:
            self.broken.append((promise, what))


class Soak:
    """One play of a seed."""

    def __init__(self, seed, cluster, objects):
        self.books = Books()
        self._random = random.Random(seed)
        self._cluster = cluster
        self._objects = objects
        self._full = set()  # folders whose disk refuses writes
        self._troubles = (
            self._kill,
            self._wipe,
            self._fill_disk,
            self._add,
            self._lose_platform,
        )

    async def run(self):
        """Plays, waits for calm, and reads everything back."""
        clients = [RecordClient(f'front-{index}', '') for index in range(2)]
        callers = [
            asyncio.ensure_future(
                self._call(f'p{index}', clients[index % 2], index)
            )
            for index in range(PROGRAMS)
        ]
        with full_disks(self._full):
            await self._trouble()
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await self._wait_calm()
        await self._read_back(clients[0])
        for client in clients:
            client.stop()

    async def _call(self, program_id, client, number):
        """One program: each turn continues one that is known as durable."""
        draw = random.Random(self._random.random() + number)
        parent_id = ''
        for index in range(PERCENT):
            client.take_group(self._newest())
            turn_id = f'{program_id}-{index}'
            tokens = draw.randint(1, LARGEST_TURN)
            start = start_of(program_id, turn_id, parent_id, tokens)
            grant = await client.begin(start)
            self.books.take(start, grant)
            if grant.verdict is Verdict.GRANTED:
                parent_id = await self._answer(client, start, draw)
            else:
                client.settle(program_id, turn_id, 0)
            await asyncio.sleep(draw.uniform(0, 0.1))

    async def _answer(self, client, start, draw):
        """Ends a turn in one of three ways; returns what to continue."""
        demand = start.demand
        fate = draw.randrange(PERCENT)
        spent = draw.randint(0, demand.tokens)
        self.books.hand_out(start, spent)
        if fate < RECORDED:
            turn = turn_of(start, spent)
            if await client.record(turn):
                told = Told(turn.turn_id, turn.parent_id, turn.program_id)
                self.books.told[turn.turn_id] = told
                return turn.turn_id
        if fate < SETTLED:
            client.settle(start.program_id, demand.turn_id, spent)
        return demand.parent_id

    async def _trouble(self):
        ends_s = asyncio.get_running_loop().time() + PLAY_S
        while asyncio.get_running_loop().time() < ends_s:
            await asyncio.sleep(self._random.uniform(0.1, 0.5))
            await self._random.choice(self._troubles)()

    async def _kill(self):
        node = self._node()
        await node.kill()
        await asyncio.sleep(self._random.uniform(0, 0.4))
        await node.start()

    async def _wipe(self):
        """Loses a disk, once the one before has been made up for."""
        await self._wait_calm()
        node = self._node()
        await node.kill()
        node.wipe()
        await node.start()

    async def _fill_disk(self):
        folder = self._node().folder
        self._full.add(folder)
        await asyncio.sleep(self._random.uniform(0.1, 0.6))
        self._full.discard(folder)

    async def _add(self):
        """Adds a store, at most two in a play."""
        if len(self._cluster.nodes) < 5:
            await self._wait_calm()
            await self._cluster.add(f'store-{len(self._cluster.nodes)}')

    async def _lose_platform(self):
        self._objects.failing_reads = self._random.randint(1, 6)

    def _node(self):
        return self._random.choice(list(self._cluster.nodes.values()))

    def _newest(self):
        groups = [node.store.group for node in self._cluster.nodes.values()]
        return max(groups, key=lambda group: group.generation)

    async def _wait_calm(self):
        """Waits until one more disk may be lost."""
        try:
            await until(self._is_calm, CALM_S)
        except AssertionError:
            nodes = self._cluster.nodes.values()
            self.books.broken.append((
                'no calm',
                [state_of(one) for one in nodes],
            ))

    def _holders(self, told):
        """Returns, for each turn of a chain, the stores that have its text."""
        found = []
        turn_id = told.turn_id
        while turn_id:
            names = [
                node.name
                for node in self._cluster.nodes.values()
                if has_text(node, turn_id)
            ]
            found.append((turn_id, names))
            turn_id = self.books.told[turn_id].parent_id
        return found

    def _is_calm(self):
        """Whether every store is a member, a witness and knows the texts."""
        newest = self._newest()
        nodes = self._cluster.nodes.values()
        return all(is_settled(node, newest) for node in nodes)

    async def _read_back(self, client):
        client.take_group(self._newest())
        await until(lambda: client.has_quorum)
        for told in self.books.told.values():
            start = start_of(
                told.program_id, f'{told.turn_id}-end', told.turn_id, 0
            )
            unbound = start.demand._replace(budget=None)
            grant = await client.begin(
                start._replace(demand=unbound, wants_chain=True)
            )
            last = grant.chain[-1].request if grant.chain else b''
            if last != told.turn_id.encode():
                self.books.broken.append(('lost', (told, grant)))
                self.books.broken.append(('texts', self._holders(told)))


def is_settled(node, group):
    """Whether a store has all that it should have in a group."""
    peers = node.keeper.peers.connected()
    if node.store.group != group or len(peers) < len(group.members) - 1:
        return False
    is_restored = node.keeper._restorer._checked is node.store.group
    return node.is_witness and is_restored


def has_text(node, turn_id):
    """Whether a store has the text of a turn."""
    turn = node.store.log.state.turns.get(turn_id)
    return turn is not None and turn.has_text


def state_of(node):
    """Returns what keeps a store from being settled."""
    group = node.store.group
    return {
        'store': node.name,
        'group': (group.generation, sorted(group.members)),
        'kept_generation': node.store.kept_group.kept_generation,
        'is_witness': node.is_witness,
        'is_restored': node.keeper._restorer._checked is group,
        'peers': sorted(peer.name for peer in node.keeper.peers.connected()),
    }


def full_disks(folders):
    """Lets the disks of the folders in the set refuse writes."""
    write = disk.DiskActor._write

    def refuse_or_write(actor, content):
        if actor._folder in folders:
            raise OSError(errno.ENOSPC, 'no space left on device')
        write(actor, content)

    return replaced(disk.DiskActor, '_write', refuse_or_write)


@contextmanager
def replaced(owner, name, found):
    """Replaces an attribute for the time of a `with` block."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(owner, name, found)
        yield


def start_of(program_id, turn_id, parent_id, tokens):
    demand = Demand(turn_id, tokens, BUDGET, parent_id)
    return TurnStart(demand, program_id, wants_chain=False)


def turn_of(start, tokens):
    """Returns the record of a turn; its text is its id."""
    demand = start.demand
    text = demand.turn_id.encode()
    return Turn(
        demand.turn_id,
        demand.parent_id,
        start.program_id,
        text,
        text,
        tokens,
        'engine-1',
        (),
    )


@asynccontextmanager
async def soaked(seed):
    """A cluster of three stores in a folder of its own."""
    objects = FakeStore()
    with tempfile.TemporaryDirectory() as folder:
        async with cluster_of(3, Path(folder), objects) as cluster:
            yield Soak(seed, cluster, objects)


async def play(seed):
    """Plays a seed; returns what the callers know."""
    async with soaked(seed) as soak:
        await soak.run()
        return soak.books


def main(seeds: int = 50, first: int = 0) -> None:
    """Plays seeds and prints those that break a promise."""
    quiet = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=quiet)
    failures = 0
    with replaced(keeper, 'FORM_AFTER_S', FORM_AFTER_S):
        for seed in range(first, first + seeds):
            books = asyncio.run(play(seed))
            failures += bool(books.broken)
            typer.echo(
                f'seed {seed}: {len(books.told)} turns, '
                f'{dict(books.verdicts)}, broken: {books.broken}'
            )
    typer.echo(f'{failures} of {seeds} seeds broke a promise')
    raise typer.Exit(bool(failures))


if __name__ == '__main__':
    typer.run(main)

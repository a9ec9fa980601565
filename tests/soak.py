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
import logging
import random
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import structlog
import typer

from cactusledge.records import keeper
from cactusledge.records.client import RecordClient
from cactusledge.records.quorum import Verdict
from tests.conftest import FakeStore
from tests.records_support import cluster_of, until
from tests.soak_support import (
    Books,
    Told,
    full_disks,
    has_text,
    is_settled,
    replaced,
    start_of,
    state_of,
    turn_of,
)

PROGRAMS = 6
LARGEST_TURN = 20  # tokens
PLAY_S = 4.0
CALM_S = 20.0  # for all stores to be witnesses again
FORM_AFTER_S = 0.3
PERCENT = 100
RECORDED, SETTLED = 70, 90  # of 100 turns; the rest is left reserved


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

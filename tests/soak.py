"""Soak test of the record stores: random faults, checked guarantees.

`python -m tests.soak --seeds 50` runs 50 seeds and prints the violations of
each; `tests/test_soak.py` runs a few. Faults, callers and their requests are
drawn from the seed. Timing on the loopback is not, so a seed repeats the plan
of a run but not its exact interleaving.

The guarantees checked are:

- A turn reported durable is read back with its text, whatever was lost since.
- No caller is told that such a turn does not exist.
- The turns of a program deliver no more tokens than its budget.
- No caller is told that the budget is spent while it has room for the turn.
"""

import asyncio
import logging
import random
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import structlog
import typer

from cactusledge.records import group_manager
from cactusledge.records.client import RecordClient
from cactusledge.records.entries import Settled
from cactusledge.records.quorum import Verdict
from tests.conftest import FakeStore
from tests.records_support import cluster_of, wait_until
from tests.soak_support import (
    DurableTurn,
    GuaranteeChecker,
    full_disks,
    has_text,
    is_settled,
    replaced_attribute,
    state_of,
    turn_of,
    turn_start,
)

PROGRAMS = 6
MAX_TURN_TOKENS = 20
FAULT_PERIOD_S = 4.0
RECOVERY_TIMEOUT_S = 20.0  # for all stores to be witnesses again
FORMATION_DELAY_S = 0.3
PERCENT = 100
# Per cent of the turns; the rest is left reserved.
RECORDED_BELOW, SETTLED_BELOW = 70, 90


class Soak:
    """One run of a seed."""

    def __init__(self, seed, cluster, objects):
        self.checker = GuaranteeChecker()
        self._random = random.Random(seed)
        self._cluster = cluster
        self._objects = objects
        self._full_folders = set()  # folders whose writes fail
        self._faults = (
            self._kill,
            self._wipe,
            self._fill_disk,
            self._add,
            self._fail_platform_reads,
        )

    async def run(self):
        """Injects faults, waits for recovery, and reads everything back."""
        clients = [RecordClient(f'front-{index}', '') for index in range(2)]
        program_tasks = [
            asyncio.ensure_future(
                self._run_program(f'p{index}', clients[index % 2], index)
            )
            for index in range(PROGRAMS)
        ]
        with full_disks(self._full_folders):
            await self._inject_faults()
        for task in program_tasks:
            task.cancel()
        await asyncio.gather(*program_tasks, return_exceptions=True)
        await self._wait_recovered()
        await self._read_back(clients[0])
        for client in clients:
            client.stop()

    async def _run_program(self, program_id, client, number):
        """Runs one program; each turn continues one reported durable."""
        draw = random.Random(self._random.random() + number)
        parent_id = ''
        for index in range(PERCENT):
            client.adopt_group(self._newest())
            turn_id = f'{program_id}-{index}'
            tokens = draw.randint(1, MAX_TURN_TOKENS)
            start = turn_start(program_id, turn_id, parent_id, tokens)
            grant = await client.begin(start)
            self.checker.check_grant(start, grant)
            if grant.verdict is Verdict.GRANTED:
                parent_id = await self._end_turn(client, start, draw)
            else:
                client.settle(Settled(program_id, turn_id, 0))
            await asyncio.sleep(draw.uniform(0, 0.1))

    async def _end_turn(self, client, start, draw):
        """Records, settles or leaves a turn; returns the id to continue."""
        demand = start.demand
        outcome = draw.randrange(PERCENT)
        spent = draw.randint(0, demand.tokens)
        self.checker.count_spent(start, spent)
        if outcome < RECORDED_BELOW:
            turn = turn_of(start, spent)
            if await client.record(turn):
                durable_turn = DurableTurn(
                    turn.turn_id, turn.parent_id, turn.program_id
                )
                self.checker.durable_turns[turn.turn_id] = durable_turn
                return turn.turn_id
        if outcome < SETTLED_BELOW:
            client.settle(Settled(start.program_id, demand.turn_id, spent))
        return demand.parent_id

    async def _inject_faults(self):
        ends_s = asyncio.get_running_loop().time() + FAULT_PERIOD_S
        while asyncio.get_running_loop().time() < ends_s:
            await asyncio.sleep(self._random.uniform(0.1, 0.5))
            await self._random.choice(self._faults)()

    async def _kill(self):
        node = self._node()
        await node.kill()
        await asyncio.sleep(self._random.uniform(0, 0.4))
        await node.start()

    async def _wipe(self):
        """Wipes a disk, once the stores have recovered from the last loss."""
        await self._wait_recovered()
        node = self._node()
        await node.kill()
        node.wipe()
        await node.start()

    async def _fill_disk(self):
        folder = self._node().folder
        self._full_folders.add(folder)
        await asyncio.sleep(self._random.uniform(0.1, 0.6))
        self._full_folders.discard(folder)

    async def _add(self):
        """Adds a store, at most two in a run."""
        if len(self._cluster.nodes) < 5:
            await self._wait_recovered()
            await self._cluster.add(f'store-{len(self._cluster.nodes)}')

    async def _fail_platform_reads(self):
        self._objects.failing_reads = self._random.randint(1, 6)

    def _node(self):
        return self._random.choice(list(self._cluster.nodes.values()))

    def _newest(self):
        groups = [node.store.group for node in self._cluster.nodes.values()]
        return max(groups, key=lambda group: group.generation)

    async def _wait_recovered(self):
        """Waits until another disk may be lost."""
        try:
            await wait_until(self._is_recovered, RECOVERY_TIMEOUT_S)
        except AssertionError:
            nodes = self._cluster.nodes.values()
            self.checker.violations.append((
                'not recovered',
                [state_of(one) for one in nodes],
            ))

    def _stores_with_text(self, durable_turn):
        """Returns the turns of a chain and the stores that have each text."""
        holders = []
        turn_id = durable_turn.turn_id
        while turn_id:
            names = [
                node.name
                for node in self._cluster.nodes.values()
                if has_text(node, turn_id)
            ]
            holders.append((turn_id, names))
            turn_id = self.checker.durable_turns[turn_id].parent_id
        return holders

    def _is_recovered(self):
        """Whether every store is a member, a witness and has its texts."""
        newest = self._newest()
        nodes = self._cluster.nodes.values()
        return all(is_settled(node, newest) for node in nodes)

    async def _read_back(self, client):
        client.adopt_group(self._newest())
        await wait_until(lambda: client.has_quorum)
        for durable_turn in self.checker.durable_turns.values():
            start = turn_start(
                durable_turn.program_id,
                f'{durable_turn.turn_id}-end',
                durable_turn.turn_id,
                0,
            )
            unbound = start.demand._replace(budget=None)
            grant = await client.begin(
                start._replace(demand=unbound, wants_chain=True)
            )
            last = grant.chain[-1].request if grant.chain else b''
            if last != durable_turn.turn_id.encode():
                self.checker.violations.append(('lost', (durable_turn, grant)))
                self.checker.violations.append((
                    'texts',
                    self._stores_with_text(durable_turn),
                ))


@asynccontextmanager
async def soak_of(seed):
    """A soak run on three stores in a temporary folder."""
    objects = FakeStore()
    with tempfile.TemporaryDirectory() as folder:
        async with cluster_of(3, Path(folder), objects) as cluster:
            yield Soak(seed, cluster, objects)


async def run_seed(seed):
    """Runs a seed; returns its checker."""
    async with soak_of(seed) as soak:
        await soak.run()
        return soak.checker


def main(seeds: int = 50, first: int = 0) -> None:
    """Plays seeds and prints those that violate a guarantee."""
    quiet = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=quiet)
    failures = 0
    with replaced_attribute(
        group_manager, 'FORMATION_DELAY_S', FORMATION_DELAY_S
    ):
        for seed in range(first, first + seeds):
            checker = asyncio.run(run_seed(seed))
            failures += bool(checker.violations)
            typer.echo(
                f'seed {seed}: {len(checker.durable_turns)} turns, '
                f'{dict(checker.verdicts)}, violations: {checker.violations}'
            )
    typer.echo(f'{failures} of {seeds} seeds violated a guarantee')
    raise typer.Exit(bool(failures))


if __name__ == '__main__':
    typer.run(main)

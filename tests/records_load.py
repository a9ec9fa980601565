"""Load on record stores: programs that spend their budgets to the last."""

import asyncio
from collections import Counter
from typing import NamedTuple

from cactusledge.records.client import RecordClient
from cactusledge.records.entries import Settled, Turn
from cactusledge.records.quorum import Demand, Verdict, merge_spent
from cactusledge.records.turn_start import TurnStart
from tests.records_support import wait_until

CLIENTS = 3
PROGRAMS_AT_ONCE = 4  # of each client
TURNS = 25  # of a program
TOKENS = 10  # of a turn
BUDGET = TURNS * TOKENS
CHAIN_EVERY = 4  # turns that come to a client without their chain


class Program(NamedTuple):
    """A program and its client."""

    client: RecordClient
    name: str

    def start(self, number):
        """Returns the start of one of its turns, from 0."""
        parent_id = f'{self.name}-{number - 1}' if number else ''
        demand = Demand(f'{self.name}-{number}', TOKENS, BUDGET, parent_id)
        return TurnStart(
            demand, self.name, wants_chain=number % CHAIN_EVERY == 1
        )

    def turn(self, number):
        """Returns the turn to record."""
        start = self.start(number)
        return Turn(
            start.demand.turn_id,
            start.demand.parent_id,
            self.name,
            b'in',
            b'out',
            TOKENS,
            'engine-1',
            (),
        )


class Load:
    """Runs programs one after the other; counts what their callers see."""

    def __init__(self, cluster):
        self.refused = []  # turns that fit the budget, with the reason
        self.overdrawn = Counter()  # verdicts on one turn more
        self.lost = []  # turns that were not durable
        self.rounds = Counter()  # of the records
        self.record_s = []
        self.begin_s = []
        self.ended = []  # names of the programs that ended
        self._cluster = cluster
        self._is_ending = False
        self._tasks = []
        self._clients = []

    @property
    def recorded(self):
        """The number of records that were tried."""
        return len(self.record_s)

    async def start(self):
        """Starts the clients and their programs."""
        for number in range(CLIENTS):
            client = RecordClient(f'front-{number}', f'store-{number}')
            client.adopt_group(self._cluster.group_at('store-0'))
            self._clients.append(client)
        await wait_until(
            lambda: all(client.has_quorum for client in self._clients)
        )
        self._tasks = [
            asyncio.ensure_future(self._run_series(client, f'{index}-{slot}'))
            for index, client in enumerate(self._clients)
            for slot in range(PROGRAMS_AT_ONCE)
        ]

    async def end(self):
        """Lets the programs end that have begun."""
        self._is_ending = True
        await asyncio.gather(*self._tasks)
        await wait_until(self._is_settled)
        for client in self._clients:
            client.stop()

    def wrong_budgets(self):
        """Returns the ended programs whose turns are not counted exactly."""
        return [name for name in self.ended if self._spent(name) != BUDGET]

    def _is_settled(self):
        return not any(client.settling for client in self._clients)

    def _spent(self, name):
        """Returns what the members count, without the turn too many."""
        views = [
            node.store.log.state.spent(name)
            for node in self._cluster.nodes.values()
            if node.store.is_member
        ]
        merged = merge_spent(views)
        extra = merged.pop(f'{name}-{TURNS}', (0, True))
        return sum(tokens for tokens, _ in merged.values()) + extra[0]

    async def _run_series(self, client, slot):
        number = 0
        while not self._is_ending:
            await self._run(Program(client, f'{slot}-{number}'))
            number += 1

    async def _run(self, program):
        for number in range(TURNS):
            start = program.start(number)
            grant = await self._begin(program.client, start)
            if grant.verdict is not Verdict.GRANTED:
                self.refused.append((start.demand.turn_id, grant.reason))
            elif start.wants_chain and len(grant.chain) != number:
                self.refused.append((start.demand.turn_id, 'chain too short'))
            await self._record(program.client, program.turn(number))
        extra = program.start(TURNS)
        grant = await program.client.begin(extra)
        self.overdrawn[grant.verdict] += 1
        program.client.settle(Settled(program.name, extra.demand.turn_id, 0))
        self.ended.append(program.name)

    async def _begin(self, client, start):
        began_s = asyncio.get_running_loop().time()
        grant = await client.begin(start)
        self.begin_s.append(asyncio.get_running_loop().time() - began_s)
        return grant

    async def _record(self, client, turn):
        began_s = asyncio.get_running_loop().time()
        recorded = await client.record(turn)
        self.record_s.append(asyncio.get_running_loop().time() - began_s)
        self.rounds[recorded.rounds] += 1
        if not recorded:
            self.lost.append(turn.turn_id)

"""The exact bytes that an engine gets for a turn that continues others.

The pattern: the engine that gets a turn ends, or the turn comes again, at
another gateway or as a branch, with the same or another input.
"""

import asyncio

import pytest

from cactusledge.records.quorum import Verdict
from cactusledge.records.reservations import Grant
from tests.fakes_records import FakeRecords
from tests.gateway_endpoints import Endpoint, chunked, overloaded
from tests.gateway_support import running_gateways

pytestmark = pytest.mark.process

EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
OUTPUT = b'a\nb\n'  # the data of each event and a line feed
FIRST = b'context and input'
SECOND = b'\0second\xff'
THIRD = b'third'
CONTINUED = b''.join((FIRST, OUTPUT, SECOND))
CONTINUED_TWICE = b''.join((CONTINUED, OUTPUT, THIRD))


class KeptRecords(FakeRecords):
    """Stub of the record client that gives the chain of recorded turns."""

    async def begin(self, start):
        by_id = {turn.turn_id: turn for turn in self.recorded}
        chain = []
        turn = by_id.get(start.demand.parent_id)
        while turn is not None:
            chain.insert(0, turn)
            turn = by_id.get(turn.parent_id)
        wanted = tuple(chain) if start.wants_chain else ()
        return Grant(Verdict.GRANTED, wanted)


class Engine(Endpoint):
    """Answers as long as it is told to; keeps the bodies that it got."""

    def __init__(self):
        super().__init__(self._answer)
        self.is_broken = False
        self.is_full = False

    @property
    def bodies(self):
        return [body for _, body in self.requests]

    def _answer(self, head):
        if self.is_full:
            return overloaded(head)
        whole = chunked(head, EVENTS)
        return whole[:-20] if self.is_broken else whole


async def take_turn(harness, turn_id, body, parent_id=''):
    headers = [f'X-Cactusledge-Previous-Turn: {parent_id}'] if parent_id else []
    caller = await harness.call(
        '/turn/x',
        'Connection: close',
        *headers,
        body=body,
        request_id=turn_id,
    )
    await caller.read_all()


def bodies_of(scenario):
    """Returns the bodies that two engines got, in all."""
    engines = [Engine(), Engine()]

    async def main():
        records = KeptRecords()
        started = running_gateways(2, *engines, records=records)
        async with started as harnesses:
            await take_turn(harnesses[0], 't1', FIRST)
            await scenario(harnesses, engines)

    asyncio.run(main())
    return [body for engine in engines for body in engine.bodies][1:]


def test_first_try_carries_the_chain_and_the_input():
    async def scenario(harnesses, engines):
        await take_turn(harnesses[0], 't2', SECOND, 't1')

    assert bodies_of(scenario) == [CONTINUED]


def test_turn_that_broke_off_and_comes_again_carries_the_same():
    async def scenario(harnesses, engines):
        engines[0].is_broken = True
        engines[0].closes = True
        await take_turn(harnesses[0], 't2', SECOND, 't1')
        engines[0].is_broken = False
        await take_turn(harnesses[0], 't2-again', SECOND, 't1')

    assert bodies_of(scenario) == [CONTINUED, CONTINUED]


def test_turn_that_an_engine_refused_carries_the_same_to_the_next():
    async def scenario(harnesses, engines):
        engines[0].is_full = True
        await take_turn(harnesses[0], 't2', SECOND, 't1')

    assert bodies_of(scenario) == [CONTINUED, CONTINUED]


# A gateway that did not serve the earlier turns reads the chain from records.
def test_turn_at_another_gateway_carries_the_same():
    async def scenario(harnesses, engines):
        await take_turn(harnesses[1], 't2', SECOND, 't1')

    assert bodies_of(scenario) == [CONTINUED]


def test_branch_from_an_older_turn_carries_only_its_chain():
    async def scenario(harnesses, engines):
        await take_turn(harnesses[0], 't2', SECOND, 't1')
        await take_turn(harnesses[1], 't3', THIRD, 't2')
        await take_turn(harnesses[0], 'branch', SECOND, 't1')

    assert bodies_of(scenario) == [
        CONTINUED,
        CONTINUED_TWICE,
        CONTINUED,
    ]

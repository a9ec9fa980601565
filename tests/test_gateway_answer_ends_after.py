"""What goes on after an answer that ended early: record, budget, next turn.

The pattern: a program's turn ends in one of many ways; its budget and its
history have to agree with what its caller could take from it.
"""

import asyncio
from types import MappingProxyType
from typing import NamedTuple

import pytest

from tests.fakes_records import LedgerRecords
from tests.gateway_callers import Caller
from tests.gateway_endpoints import SEAL, Endpoint, chunked, reply_of, unframed
from tests.gateway_support import running_gateway

pytestmark = pytest.mark.process

EVENT = b'id: 1\ndata: a\n\n'
PARTIAL = b'id: 2\nda'
TOKENS_PER_EVENT = 18
MOST_TOKENS = 90  # that a turn asks for
BUDGET = 1000
# The status of the next turn, and the turns that are recorded after it.
FOLLOWING = MappingProxyType({
    'complete': (200, ['t1', 't2']),
    'unproven': (200, ['t1', 't2']),
    'broken': (404, []),
})


class Turn(NamedTuple):
    """How an engine answers a turn, and what has to follow."""

    endpoint: Endpoint
    end: str  # as its caller sees it
    spent: int  # tokens of the program's budget


def answering(reply, **ends):
    """An engine that answers its first turn so and later ones in full."""
    replies = iter([reply])

    def answer(head):
        if endpoint.requests[1:]:
            endpoint.closes = False
            endpoint.resets = False
        return next(replies, whole_chunked)(head)

    endpoint = Endpoint(answer, **ends)
    return endpoint


def whole_chunked(head):
    return chunked(head, EVENT)


def turns():
    """All ends of an answer with one whole event, and of some with a part."""
    one, two = TOKENS_PER_EVENT, 2 * TOKENS_PER_EVENT
    return {
        'chunks': Turn(answering(whole_chunked), 'complete', one),
        'length': Turn(
            answering(lambda head: reply_of(200, head, SEAL, body=EVENT)),
            'complete',
            one,
        ),
        'no framing, closed': Turn(
            answering(lambda head: unframed(head, EVENT), closes=True),
            'unproven',
            one,
        ),
        'no framing, reset': Turn(
            answering(lambda head: unframed(head, EVENT), resets=True),
            'broken',
            one,
        ),
        'no framing, inside': Turn(
            answering(
                lambda head: unframed(head, EVENT + PARTIAL), closes=True
            ),
            'broken',
            two,
        ),
        'no framing, empty': Turn(
            answering(lambda head: unframed(head, b''), closes=True),
            'broken',
            0,
        ),
        'chunks, inside': Turn(
            answering(lambda head: chunked(head, EVENT + PARTIAL)),
            'broken',
            two,
        ),
        'chunks, cut': Turn(
            answering(
                lambda head: chunked(head, EVENT, is_whole=False), closes=True
            ),
            'broken',
            one,
        ),
        'length, cut': Turn(
            answering(
                lambda head: reply_of(200, head, SEAL, body=EVENT + EVENT)[
                    : -len(EVENT)
                ],
                closes=True,
            ),
            'broken',
            one,
        ),
    }


async def take_turn(harness, request_id, *headers):
    """Sends a turn of the program on a connection of its own."""
    return await harness.call(
        '/turn/x',
        'Connection: close',
        'X-Cactusledge-Program-Id: p',
        f'X-Cactusledge-Token-Budget: {BUDGET}',
        f'X-Cactusledge-Token-Usage: 9,{MOST_TOKENS}',
        *headers,
        request_id=request_id,
    )


# Budget and history went on as if a broken turn had been answered.
@pytest.mark.parametrize('name', turns())
def test_budget_and_next_turn_follow_the_end_of_the_answer(name):
    turn = turns()[name]
    records = LedgerRecords()

    async def main():
        async with running_gateway(turn.endpoint, records=records) as harness:
            first = await take_turn(harness, 't1')
            seen = await first.see()
            follower = await take_turn(
                harness, 't2', 'X-Cactusledge-Previous-Turn: t1'
            )
            spent = records.state.spent('p')['t1'][0]
            return seen.end, spent, await status_of(follower)

    end, spent, status = asyncio.run(main())
    assert (end, spent) == (turn.end, turn.spent)
    kept = [one.turn_id for one in records.recorded]
    assert (status, kept) == FOLLOWING[end]


async def status_of(caller: Caller):
    """Returns the status of a response whose body is not read."""
    status_line = await caller.reader.readline()
    return int(status_line.split()[1])


# The end of an answer without framing must not be read into the next one.
def test_connection_that_carried_a_framed_answer_may_carry_an_unframed_one():
    replies = iter([whole_chunked, lambda head: unframed(head, EVENT)])

    def answer(head):
        endpoint.closes = len(endpoint.requests) == 2
        return next(replies)(head)

    endpoint = Endpoint(answer)

    async def main():
        async with running_gateway(endpoint) as harness:
            ends = []
            for request_id in ('r1', 'r2'):
                caller = await harness.call(
                    '/stream/x', 'Connection: close', request_id=request_id
                )
                ends.append((await caller.see()).end)
            return ends, harness.fleet.pool.opened

    assert asyncio.run(main()) == (['complete', 'unproven'], 1)

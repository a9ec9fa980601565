"""Turns of a program with a budget, on routes with and without history.

A gateway that reserved tokens only on routes that keep history let a program
that loops without end spend ten times its budget on the others.
"""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusledge.gateway.turn_needs import budget_id_of, needs_of
from cactusledge.platform.headers import HeaderDialect
from cactusledge.records.entries import Reserved, Settled, Turn
from cactusledge.records.messages import ReserveReply
from cactusledge.records.quorum import Demand, Verdict, decide
from cactusledge.records.state import RecordState
from tests.fakes_records import LedgerRecords
from tests.gateway_endpoints import SEAL, Endpoint, overloaded, reply_of
from tests.gateway_support import ROUTES, running_gateway

TOKENS_PER_EVENT = 18
EVENTS_PER_TURN = 2
TURN_TOKENS = TOKENS_PER_EVENT * EVENTS_PER_TURN
BUDGET = 3 * TURN_TOKENS + 1
MAX_TURNS = 12
STREAM_ROUTES = tuple(
    route
    for route in ROUTES
    if route.prefix
    not in {
        '/safe/',
        '/once/',
        '/short/',
    }
)


def info_of(turn_id, *, budget=BUDGET, program_id='p'):
    """Returns the parameters of a turn's request."""
    return HeaderDialect().read_call(_Request(turn_id, budget, program_id))


class _Request:
    """The parts of a request that the headers are read from."""

    target = b'/x'

    def __init__(self, turn_id, budget, program_id):
        named = {
            'X-Cactusledge-Request-Id': turn_id,
            'X-Cactusledge-Program-Id': program_id,
            'X-Cactusledge-Token-Usage': f'9,{TURN_TOKENS}',
        }
        if budget is not None:
            named['X-Cactusledge-Token-Budget'] = budget
        self.headers = [
            (name.encode(), str(found).encode())
            for name, found in named.items()
        ]


@pytest.mark.parametrize('route', STREAM_ROUTES, ids=lambda route: route.prefix)
@pytest.mark.parametrize('budget', [None, 0, BUDGET])
def test_budget_and_history_are_decided_independently(route, budget):
    needs = needs_of(route, info_of('t', budget=budget))
    assert needs.has_budget == (budget is not None)
    assert needs.has_history == route.keeps_turns
    assert needs.involves_stores == (budget is not None or route.keeps_turns)


def test_budget_without_a_program_covers_the_request_alone():
    assert budget_id_of(info_of('t1', program_id='')) == 't1'
    assert budget_id_of(info_of('t1')) == 'p'


class _Turn:
    """A turn that delivers some of its events and may lose its settlement."""

    def __init__(self, route, delivered, *, is_settled):
        self.route = route
        self.tokens = delivered * TOKENS_PER_EVENT
        self.is_settled = is_settled


TURNS = st.builds(
    _Turn,
    st.sampled_from(STREAM_ROUTES),
    st.integers(0, EVENTS_PER_TURN),
    is_settled=st.booleans(),
)


@given(st.lists(TURNS, max_size=MAX_TURNS))
def test_turns_of_all_kinds_stay_within_the_budget(turns):
    state = RecordState()
    delivered = 0
    for number, turn in enumerate(turns):
        info = info_of(f't{number}')
        if is_granted(state, turn, info):
            delivered += turn.tokens
            settle(state, turn, info)
    assert delivered <= BUDGET


def is_granted(state, turn, info):
    """Reserves the turn's tokens if it needs to; returns the verdict."""
    if not needs_of(turn.route, info).has_budget:
        return True
    program = budget_id_of(info)
    state.apply(Reserved(program, info.request_id, info.max_tokens))
    demand = Demand(info.request_id, info.max_tokens, info.budget, '')
    reply = ReserveReply(
        is_witness=True,
        spent=dict(state.spent(program)),
        knows_parent=False,
        chain=[],
    )
    verdict = decide(demand, {'store': reply}, needed=1)
    if verdict is Verdict.SPENT:
        state.apply(Settled(program, info.request_id, 0))
    return verdict is Verdict.GRANTED


def settle(state, turn, info):
    """Records what the turn delivered, unless its front has died."""
    program = budget_id_of(info)
    if not turn.is_settled:
        return
    if turn.route.keeps_turns and turn.tokens == TURN_TOKENS:
        recorded = Turn(
            info.request_id, '', program, b'', b'', turn.tokens, 'e', ()
        )
        state.apply(recorded)
    else:
        state.apply(Settled(program, info.request_id, turn.tokens))


EVENT = b'id: %d\ndata: a\n\n'


def whole(head):
    """A complete stream; continues after the event that the request names."""
    first = (
        int(
            next(
                (
                    line.split(':')[1]
                    for line in head
                    if line.startswith('Last-Event')
                ),
                0,
            )
        )
        + 1
    )
    events = [EVENT % number for number in range(first, EVENTS_PER_TURN + 1)]
    return reply_of(200, head, SEAL, body=b''.join(events))


def broken(head):
    """A stream that ends within its second event."""
    return whole(head)[:-4]


def lost(head):
    """No response at all before the connection ends."""
    return b''


def failed(head):
    return reply_of(500, head, SEAL)


FAULTS = {
    'none': ((whole, False), (whole, False)),
    'broken midway': ((broken, True), (whole, False)),
    'both broken midway': ((broken, True), (broken, True)),
    'answer lost': ((lost, True), (whole, False)),
    'refused': ((overloaded, False), (whole, False)),
    'error': ((failed, False), (whole, False)),
}


@pytest.mark.process
@pytest.mark.parametrize('route', STREAM_ROUTES, ids=lambda route: route.prefix)
@pytest.mark.parametrize('fault', FAULTS)
def test_looping_program_is_stopped_at_its_budget(route, fault):
    """The program sends turn after turn until it is told to stop."""

    async def main():
        records = LedgerRecords()
        endpoints = [
            Endpoint(reply, closes=closes) for reply, closes in FAULTS[fault]
        ]
        async with running_gateway(*endpoints, records=records) as harness:
            received = await loop_until_spent(harness, route.prefix)
        sent = sum(text.count(b'data:') for text in received)
        assert sent * TOKENS_PER_EVENT <= BUDGET
        assert any(b' 402 ' in text for text in received)

    asyncio.run(main())


async def loop_until_spent(harness, prefix):
    """Returns the response to each turn, up to the first 402."""
    received = []
    while not received or b' 402 ' not in received[-1]:
        assert len(received) < 4 * MAX_TURNS, 'the program is never stopped'
        caller = await harness.call(
            f'{prefix}x',
            'Connection: close',
            'X-Cactusledge-Program-Id: p',
            f'X-Cactusledge-Token-Budget: {BUDGET}',
            f'X-Cactusledge-Token-Usage: 9,{TURN_TOKENS}',
            body=b'ask',
            request_id=f'r{len(received)}',
        )
        received.append(await caller.read_all())
    return received

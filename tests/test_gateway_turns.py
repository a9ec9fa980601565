"""Turns of agent programs through the gateway: grants, records, ends."""

import pytest

from cactusledge.records.quorum import Verdict
from cactusledge.records.reservations import Grant
from tests.gateway_endpoints import Endpoint, chunked, field
from tests.gateway_support import run_scenario

pytestmark = pytest.mark.process

EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'


def stream(head):
    return chunked(head, EVENTS)


def half_stream(head):
    return stream(head)[:-20]


def test_turn_is_recorded_before_its_stream_ends():
    async def scenario(harness):
        caller = await harness.call(
            '/turn/x',
            'Connection: close',
            'X-Cactusledge-Program-Id: p',
            'X-Cactusledge-Token-Usage: 9,90',
            body=b'ask',
        )
        text = await caller.read_all()
        assert EVENTS in text
        assert text.endswith(b'0\r\n\r\n')
        turn = harness.records.recorded[0]
        assert (turn.turn_id, turn.tokens) == ('r1', 36)
        assert not harness.records.settled

    run_scenario(scenario, Endpoint(stream))


def test_stream_of_a_turn_that_is_not_durable_is_truncated():
    async def scenario(harness):
        harness.records.is_durable = False
        caller = await harness.call('/turn/x')
        text = await caller.read_all()
        assert EVENTS in text
        assert not text.endswith(b'0\r\n\r\n')
        assert harness.records.settled == [('r1', 36)]

    run_scenario(scenario, Endpoint(stream))


def test_broken_stream_settles_the_delivered_tokens():
    async def scenario(harness):
        caller = await harness.call('/turn/x')
        text = await caller.read_all()
        assert not text.endswith(b'0\r\n\r\n')
        assert harness.records.settled[0][1] <= 36
        assert len(endpoint.requests) == 1

    endpoint = Endpoint(half_stream, closes=True)
    run_scenario(scenario, endpoint, Endpoint(stream))


@pytest.mark.parametrize(
    ('verdict', 'status'),
    [
        (Verdict.SPENT, 402),
        (Verdict.NO_PARENT, 404),
        (Verdict.UNSURE, 503),
        (Verdict.NO_ROOM, 503),
    ],
)
def test_turn_that_is_not_granted_reaches_no_engine(verdict, status):
    async def scenario(harness):
        harness.records.grant = Grant(verdict)
        caller = await harness.call('/turn/x', 'X-Cactusledge-Token-Budget: 9')
        assert (await caller.read())[0] == status
        assert not endpoint.requests
        assert harness.records.settled == [('r1', 0)]

    endpoint = Endpoint(stream)
    run_scenario(scenario, endpoint)


# A refusal for want of room took room itself: what was never reserved was
# settled at all stores.
def test_turn_without_a_reservation_leaves_nothing_at_the_stores():
    async def scenario(harness):
        harness.records.grant = Grant(Verdict.NO_ROOM, may_be_reserved=False)
        caller = await harness.call('/turn/x', 'X-Cactusledge-Token-Budget: 9')
        status, head, _ = await caller.read()
        assert status == 503
        assert float(field(head, 'retry-after')) >= 1
        assert not endpoint.requests
        assert not harness.records.settled

    endpoint = Endpoint(stream)
    run_scenario(scenario, endpoint)


def test_gateway_without_quorum_sends_callers_elsewhere():
    async def scenario(harness):
        harness.records.grant = Grant(Verdict.UNSURE)
        harness.records.has_quorum = False
        caller = await harness.call('/turn/x')
        _, head, _ = await caller.read()
        assert field(head, 'connection') == 'close'
        assert float(field(head, 'retry-after')) > 1
        harness.records.quorum_state.was_connected = False
        caller = await harness.call('/turn/x')
        _, head, _ = await caller.read()
        assert float(field(head, 'retry-after')) < 1
        harness.records.quorum_state.was_connected = True
        harness.records.quorum_state.lost_for_s = 9
        caller = await harness.call('/turn/x')
        _, head, _ = await caller.read()
        assert float(field(head, 'retry-after')) < 1

    run_scenario(scenario)

"""Streams that break midway and continue on another engine.

A route that allows it gets one response from two engines: each event once, in
order, under the head of the first. Without it a broken turn costs its caller
a second attempt, which starts from the first event.
"""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusledge.gateway.events import EventSplitter
from tests.gateway_endpoints import SEAL, Endpoint, field, overloaded, reply_of
from tests.gateway_support import run_scenario

EVENTS = tuple(b'id: %d\ndata: e%d\n\n' % (num, num) for num in range(1, 5))
STREAM = b''.join(EVENTS)
CUTS = st.lists(st.integers(0, len(STREAM)), max_size=6)


def pieces(stream, cuts):
    """Cuts the stream at the positions."""
    ends = [0, *sorted(cuts), len(stream)]
    return [stream[start:end] for start, end in itertools.pairwise(ends)]


@given(CUTS)
def test_only_whole_events_are_passed_on(cuts):
    splitter = EventSplitter()
    passed = b''
    for piece in pieces(STREAM, cuts):
        passed += splitter.feed(piece)
        assert STREAM.startswith(passed)
        assert passed.count(b'\n\n') == passed.count(b'id:')
    assert passed == STREAM
    assert splitter.last_event_id == str(len(EVENTS))


@given(st.integers(0, len(STREAM)))
def test_stream_continues_after_the_last_whole_event(cut):
    splitter = EventSplitter()
    passed = splitter.feed(STREAM[:cut])
    splitter.discard_partial()
    last = int(splitter.last_event_id or 0)
    passed += splitter.feed(b''.join(EVENTS[last:]))
    assert passed == STREAM


def test_line_ends_with_a_carriage_return_end_events_too():
    splitter = EventSplitter()
    assert splitter.feed(b'id: 7\r\ndata: a\r\n\r\nid: 8') == (
        b'id: 7\r\ndata: a\r\n\r\n'
    )
    assert splitter.last_event_id == '7'


def from_event(head):
    """The rest of the stream after the event that the request names."""
    last = int(field(head, 'last-event-id') or 0)
    return reply_of(200, head, SEAL, body=b''.join(EVENTS[last:]))


def broken_in_the_third(head):
    body = b''.join(EVENTS[:2]) + EVENTS[2][:2]
    return reply_of(200, head, SEAL, body=STREAM)[: -len(STREAM)] + body


def lost(head):
    return b''


def failed(head):
    return reply_of(500, head, SEAL)


def events_in(text):
    """Returns the ids of the events in a response, in order."""
    return [
        int(line.split()[1])
        for line in text.split(b'\n')
        if line.startswith(b'id:')
    ]


@pytest.mark.process
def test_broken_stream_continues_under_the_first_head():
    async def scenario(harness):
        caller = await harness.call(
            '/resumable/x', 'Connection: close', body=b'ask'
        )
        text = await caller.read_all()
        assert events_in(text) == [1, 2, 3, 4]
        assert text.endswith(b'0\r\n\r\n')
        assert text.count(b'HTTP/1.1 200') == 1
        sent, asked = second.requests[0]
        assert field(sent, 'last-event-id') == '2'
        assert asked == b'ask'

    second = Endpoint(from_event)
    run_scenario(scenario, Endpoint(broken_in_the_third, closes=True), second)


@pytest.mark.process
@pytest.mark.parametrize('prefix', ['/stream/', '/turn/'])
def test_broken_stream_of_another_route_is_not_continued(prefix):
    async def scenario(harness):
        caller = await harness.call(f'{prefix}x')
        text = await caller.read_all()
        assert events_in(text) == [1, 2]
        assert not text.endswith(b'0\r\n\r\n')
        assert not second.requests

    second = Endpoint(from_event)
    run_scenario(scenario, Endpoint(broken_in_the_third, closes=True), second)


@pytest.mark.process
@pytest.mark.parametrize('first', [lost, failed, overloaded])
def test_resumable_stream_without_a_first_event_starts_elsewhere(first):
    async def scenario(harness):
        caller = await harness.call('/resumable/x', 'Connection: close')
        assert events_in(await caller.read_all()) == [1, 2, 3, 4]
        assert not field(second.requests[0][0], 'last-event-id')

    second = Endpoint(from_event)
    run_scenario(scenario, Endpoint(first, closes=True), second)


@pytest.mark.process
def test_stream_broken_on_all_engines_shows_as_truncated():
    async def scenario(harness):
        caller = await harness.call(
            '/resumable/x', 'X-Cactusledge-Deadline-Ms: 600'
        )
        text = await caller.read_all()
        assert events_in(text)[:2] == [1, 2]
        assert not text.endswith(b'0\r\n\r\n')

    run_scenario(
        scenario,
        Endpoint(broken_in_the_third, closes=True),
        Endpoint(lost, closes=True),
    )


@pytest.mark.process
def test_caller_may_continue_a_stream_that_it_lost():
    async def scenario(harness):
        caller = await harness.call(
            '/resumable/x', 'Connection: close', 'Last-Event-Id: 3'
        )
        assert events_in(await caller.read_all()) == [4]

    run_scenario(scenario, Endpoint(from_event))


@pytest.mark.process
def test_recorded_turn_holds_the_events_of_both_engines():
    async def scenario(harness):
        caller = await harness.call('/resumable-turn/x', 'Connection: close')
        assert events_in(await caller.read_all()) == [1, 2, 3, 4]
        turn = harness.records.recorded[0]
        assert turn.tokens == len(EVENTS) * 18
        assert turn.endpoint_id == 'e1'

    run_scenario(
        scenario,
        Endpoint(broken_in_the_third, closes=True),
        Endpoint(from_event),
    )


@pytest.mark.process
def test_recorded_turn_cannot_continue_an_earlier_request():
    """Its record would lack the events that only the caller has."""

    async def scenario(harness):
        caller = await harness.call('/resumable-turn/x', 'Last-Event-Id: 3')
        assert (await caller.read())[0] == 503
        assert not endpoint.requests

    endpoint = Endpoint(from_event)
    run_scenario(scenario, endpoint)


@pytest.mark.process
def test_error_of_all_endpoints_is_forwarded():
    async def scenario(harness):
        caller = await harness.call('/safe/x')
        assert (await caller.read())[0] == 500
        assert [len(first.requests), len(second.requests)] == [1, 1]

    first, second = Endpoint(failed), Endpoint(failed)
    run_scenario(scenario, first, second)


@pytest.mark.process
def test_idempotent_call_that_fails_is_sent_to_another_endpoint():
    async def scenario(harness):
        caller = await harness.call('/safe/x')
        assert (await caller.read())[0] == 200

    run_scenario(scenario, Endpoint(failed), Endpoint(from_event))

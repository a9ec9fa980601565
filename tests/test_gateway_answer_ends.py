"""Answers that end early, and what their callers are told of the end.

The pattern: an engine crashes while it streams. Its connection may close in
order, and an answer without a framing then ends like a complete one.
"""

import asyncio

import pytest

from tests.fakes_records import FakeRecords
from tests.gateway_endpoints import SEAL, Endpoint, chunked, reply_of, unframed
from tests.gateway_support import running_gateway

pytestmark = pytest.mark.process

EVENT = b'id: 1\ndata: a\n\n'
SECOND_EVENT = b'id: 2\ndata: b\n\n'
PARTIAL = b'id: 2\nda'
TOKENS = 36  # of a whole event and of a partial one, which counts in full


def see(path, *endpoints, records=None):
    """Returns what a caller of the path sees, and the record client."""

    async def main():
        async with running_gateway(*endpoints, records=records) as harness:
            caller = await harness.call(path, 'Connection: close')
            return await caller.see(), harness.records

    return asyncio.run(main())


def whole_unframed(head):
    return unframed(head, EVENT)


def whole_chunked(head):
    return chunked(head, EVENT)


def unframed_partial(head):
    return unframed(head, EVENT + PARTIAL)


def chunked_partial(head):
    return chunked(head, EVENT + PARTIAL)


def measured_partial(head):
    return reply_of(200, head, SEAL, body=EVENT + PARTIAL)


# A stream that broke off inside an event reached its caller as complete and
# was recorded as a turn of its program.
@pytest.mark.parametrize(
    'reply', [unframed_partial, chunked_partial, measured_partial]
)
def test_stream_that_ends_inside_an_event_is_not_a_turn(reply):
    seen, records = see('/turn/x', Endpoint(reply, closes=True))
    assert seen.end == 'broken'
    assert not records.recorded
    assert records.settled == [('r1', TOKENS)]


# An answer that could have been cut short got a framing that said it was whole.
@pytest.mark.parametrize('path', ['/turn/x', '/stream/x', '/once/x', '/safe/x'])
def test_answer_without_framing_gets_none_from_the_gateway(path):
    seen, _ = see(path, Endpoint(whole_unframed, closes=True))
    assert seen == ('unproven', EVENT)


# Its caller goes on from it, so the turn has to exist.
def test_turn_of_an_answer_without_framing_is_recorded():
    _, records = see('/turn/x', Endpoint(whole_unframed, closes=True))
    assert [turn.turn_id for turn in records.recorded] == ['r1']
    assert not records.settled


# The close of a stream without framing would have looked like its end.
@pytest.mark.parametrize(
    ('endpoint', 'is_durable'),
    [
        (Endpoint(whole_unframed, resets=True), True),
        (Endpoint(whole_unframed, closes=True), False),
        (Endpoint(whole_unframed), True),  # the caller's deadline passes
    ],
)
def test_broken_stream_without_framing_ends_in_a_reset(endpoint, is_durable):
    records = FakeRecords()
    records.is_durable = is_durable
    seen, _ = see('/brief-turn/x', endpoint, records=records)
    assert seen == ('broken', EVENT)
    assert not records.recorded


# A plain answer without framing whose connection failed passed for whole.
def test_plain_answer_without_framing_that_is_reset_is_bad_gateway():
    seen, _ = see('/once/x', Endpoint(whole_unframed, resets=True))
    assert seen == ('complete', b'')


# The last chunk would claim an end that the second engine did not show.
def test_resumed_stream_ends_as_complete_only_if_its_last_engine_proves_it():
    def broken_first(head):
        return chunked(head, EVENT, is_whole=False)

    def rest_unframed(head):
        return unframed(head, SECOND_EVENT)

    seen, _ = see(
        '/resumable/x',
        Endpoint(broken_first, closes=True),
        Endpoint(rest_unframed, closes=True),
    )
    assert seen.end == 'broken'


def test_resumed_stream_without_framing_ends_with_its_connection():
    def broken_first(head):
        return unframed(head, EVENT + PARTIAL)

    seen, _ = see(
        '/resumable/x',
        Endpoint(broken_first, closes=True),
        Endpoint(lambda head: chunked(head, SECOND_EVENT)),
    )
    assert seen == ('unproven', EVENT + SECOND_EVENT)


# A kept connection would have carried the next response after an open end.
def test_answer_without_framing_is_the_last_of_its_connection():
    async def main():
        endpoint = Endpoint(whole_unframed, closes=True)
        async with running_gateway(endpoint) as harness:
            caller = await harness.call('/once/x')
            await caller.send('/once/y')
            return await caller.see(), len(endpoint.requests)

    assert asyncio.run(main()) == (('unproven', EVENT), 1)


def test_answers_with_framing_share_a_connection():
    async def main():
        async with running_gateway(Endpoint(whole_chunked)) as harness:
            caller = await harness.call('/once/x')
            first = await caller.read()
            await caller.send('/once/y')
            return first[0], (await caller.read())[0]

    assert asyncio.run(main()) == (200, 200)


# A call whose answer is an event stream got its first half as the whole.
def test_cut_event_stream_of_a_call_is_bad_gateway():
    def cut(head):
        return reply_of(
            200, head, SEAL, 'Content-Type: text/event-stream', body=PARTIAL
        )

    seen, _ = see('/once/x', Endpoint(cut))
    assert seen == ('complete', b'')


def test_answer_that_is_no_event_stream_ends_by_its_framing():
    def document(head):
        return reply_of(
            200, head, SEAL, 'Content-Type: application/json', body=b'{}'
        )

    seen, _ = see('/stream/x', Endpoint(document))
    assert seen == ('complete', b'{}')

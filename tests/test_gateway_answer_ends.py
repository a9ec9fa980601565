"""Answers that end early, and what their callers are told of the end.

The pattern: an engine crashes while it streams. Its connection may close in
order, and an answer without a framing then ends like a complete one.
"""

import asyncio

import pytest

from tests.gateway_support import (
    SEAL,
    Endpoint,
    chunked,
    reply_of,
    running_gateway,
    unframed,
)

pytestmark = pytest.mark.process

EVENT = b'id: 1\ndata: a\n\n'
PARTIAL = b'id: 2\nda'
TOKENS = 36  # of a whole event and of a partial one, which counts in full


def see(path, *endpoints, records=None):
    """Returns what a caller of the path sees, and the record client."""

    async def main():
        async with running_gateway(*endpoints, records=records) as harness:
            caller = await harness.call(path, 'Connection: close')
            return await caller.see(), harness.records

    return asyncio.run(main())


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
    seen, _ = see(
        path, Endpoint(lambda head: unframed(head, EVENT), closes=True)
    )
    assert seen == ('unproven', EVENT)

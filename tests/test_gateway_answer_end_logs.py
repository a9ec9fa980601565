"""What the log says of an answer's end: framing, connection, last event."""

import asyncio

import pytest
from structlog.testing import capture_logs

from tests.gateway_endpoints import SEAL, Endpoint, chunked, reply_of, unframed
from tests.gateway_support import running_gateway

pytestmark = pytest.mark.process

EVENT = b'id: 1\ndata: a\n\n'
PARTIAL = b'id: 2\nda'


ENDS = (
    (lambda head: unframed(head, EVENT), ('none', 'closed', 'after')),
    (
        lambda head: unframed(head, EVENT + PARTIAL),
        ('none', 'closed', 'inside'),
    ),
    (
        lambda head: chunked(head, EVENT, is_whole=False),
        ('chunks', 'closed', 'after'),
    ),
    (
        lambda head: chunked(head, PARTIAL, is_whole=True),
        ('chunks', 'framed', 'inside'),
    ),
    (
        lambda head: reply_of(200, head, SEAL, body=EVENT),
        ('length', 'framed', 'after'),
    ),
)


@pytest.mark.parametrize(('reply', 'seen'), ENDS)
def test_log_line_says_how_the_answer_of_an_engine_ended(reply, seen):
    async def main():
        async with running_gateway(Endpoint(reply, closes=True)) as harness:
            caller = await harness.call('/stream/x', 'Connection: close')
            await caller.see()

    with capture_logs() as lines:
        asyncio.run(main())
        closing = lines[-1]
        assert closing['event'] == 'gateway: request ended'
        assert seen == tuple(
            closing[name] for name in ('framing', 'transfer_end', 'last_event')
        )

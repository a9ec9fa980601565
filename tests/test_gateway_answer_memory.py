"""Memory of a gateway whose endpoints send answers of any size.

The pattern: an endpoint sends an answer without end, or a large one to a
caller that is slower than it; what the gateway holds of it is bounded.
"""

import asyncio

import pytest

from tests.gateway_child import ENDED_AT, MIB, running_child
from tests.gateway_endpoints import (
    SEAL,
    chunked,
    reply_of,
    unframed,
)
from tests.test_gateway_endless_answers import EndlessEndpoint

pytestmark = pytest.mark.process

MOST_BYTES = 100 * MIB  # that a gateway may grow by with fifty answers open
WATCHED_S = 1.5
READ_BYTES = 65536
BEGIN_S = 10.0
SLOW_PAUSE_S = 0.02  # between two reads of a slow caller

BLOCK = b'x' * 16384
EVENTS = b'data: %b\n\n' % (b'y' * 1000) * 16
BYTE_CHUNKS = b'1\r\nx\r\n' * 3000


def in_chunks(block):
    return b'%x\r\n%b\r\n' % (len(block), block)


def open_chunks(head):
    return chunked(head, b'data: a', is_whole=False)


def open_length(head):
    return reply_of(200, head, SEAL).replace(
        b'Content-Length: 0', b'Content-Length: 99999999999'
    )


def open_error(head):
    return open_chunks(head).replace(b'200 X', b'500 X')


def open_refusal(head):
    return open_chunks(head).replace(
        b'200 X', b'503 X\r\nX-Cactusledge-Not-Executed: 1'
    )


FORMS = {
    'chunks': (open_chunks, in_chunks(BLOCK)),
    'chunks-of-a-byte': (open_chunks, BYTE_CHUNKS),
    'length': (open_length, BLOCK),
    'no-framing': (lambda head: unframed(head, b'data: a'), BLOCK),
    'error': (open_error, in_chunks(BLOCK)),
    'refusal': (open_refusal, in_chunks(BLOCK)),
    'events': (open_chunks, in_chunks(EVENTS)),
}
ROUTED = (
    ('/once/x', 'chunks'),
    ('/once/x', 'chunks-of-a-byte'),
    ('/once/x', 'length'),
    ('/once/x', 'no-framing'),
    ('/once/x', 'refusal'),
    ('/safe/x', 'chunks'),
    ('/safe/x', 'error'),
    ('/safe/x', 'no-framing'),
    ('/stream/x', 'chunks'),
    ('/stream/x', 'events'),
    ('/stream/x', 'error'),
    ('/stream/x', 'no-framing'),
    ('/turn/x', 'chunks'),
    ('/turn/x', 'events'),
    ('/turn/x', 'length'),
    ('/turn/x', 'no-framing'),
    ('/resumable/x', 'chunks'),
    ('/resumable/x', 'events'),
    ('/resumable/x', 'no-framing'),
)


async def take_all(caller):
    while await caller.reader.read(READ_BYTES):
        await asyncio.sleep(0)


async def take_slowly(caller):
    while await caller.reader.read(READ_BYTES):
        await asyncio.sleep(SLOW_PAUSE_S)


async def take_nothing(caller):
    caller.reader._transport.pause_reading()


CALLERS = {'fast': take_all, 'slow': take_slowly, 'stopped': take_nothing}


async def all_begun(child, endpoint, count):
    async with asyncio.timeout(BEGIN_S):
        while child.is_running and len(endpoint.requests) < count:
            await asyncio.sleep(SLOW_PAUSE_S)


async def peak_of(endpoint, path, take, count):
    """Returns the growth of a gateway with so many such answers open."""
    async with running_child(endpoint) as child:
        callers = [
            await child.call(path, request_id=f'r{number}')
            for number in range(count)
        ]
        taking = [asyncio.create_task(take(caller)) for caller in callers]
        await all_begun(child, endpoint, count)
        await asyncio.sleep(WATCHED_S)
        for task in taking:
            task.cancel()
        await asyncio.gather(*taking, return_exceptions=True)
        assert child.is_running or child.peak > ENDED_AT
        return child.peak


# Answers without end took the gateway's process to 2.9 GB within 2 s, which
# ended it with the requests of all of its callers.
@pytest.mark.parametrize('count', [1, 50])
@pytest.mark.parametrize('pace', CALLERS)
@pytest.mark.parametrize(('path', 'form'), ROUTED)
def test_answers_without_end_do_not_fill_the_memory(path, form, pace, count):
    endpoint = EndlessEndpoint(*FORMS[form])
    peak = asyncio.run(peak_of(endpoint, path, CALLERS[pace], count))
    assert peak < MOST_BYTES

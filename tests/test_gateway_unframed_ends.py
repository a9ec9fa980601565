"""Answers without a length that their callers take slowly, up to their end."""

import asyncio
import hashlib
import socket

import pytest

from cactusledge.gateway.unframed_end import CLOSE_IN_ORDER, RESET_AT_CLOSE
from tests.gateway_endpoints import Endpoint, unframed
from tests.gateway_support import running_gateway
from tests.records_support import wait_until
from tests.slow_callers import slow_caller
from tests.test_gateway_backpressure import take

pytestmark = pytest.mark.process

EVENT = b'id: 1\ndata: %b\n\n' % (b'y' * 1000)
COUNTS = (130, 200, 260, 1000)  # of events, more than the kernel keeps
PAUSE_S = 0.005  # between two reads of a slow caller


# Nothing may follow such an answer, however long its caller takes.
@pytest.mark.parametrize('count', COUNTS)
def test_request_behind_an_answer_without_a_length_is_not_served(count):
    async def main():
        endpoint = Endpoint(lambda head: unframed(head, body), closes=True)
        async with running_gateway(endpoint) as harness:
            caller, transport = await slow_caller(harness)
            await caller.send('/once/x')
            await wait_until(transport.get_write_buffer_size)
            await wait_until(lambda: not endpoint_is_answering(harness))
            await caller.send('/once/y')
            caller.writer.transport.resume_reading()
            return await take(caller, PAUSE_S), len(endpoint.requests)

    body = EVENT * count
    taken, requests = asyncio.run(main())
    assert taken.digest == hashlib.sha256(body).hexdigest()
    assert requests == 1


def endpoint_is_answering(harness):
    """Returns whether a request is in progress and not held back."""
    load = harness.fleet.loads.of('e0')
    conn = next(iter(harness.gateway.connections))
    return load.in_flight > 0 and not conn._responder.flow.is_paused


def linger_of(transport):
    """Returns how the connection would close with its process."""
    sock = transport.get_extra_info('socket')
    size = len(RESET_AT_CLOSE)
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, size)


async def watch(transport, seen):
    """Notes how the connection would close, and whether anything is left."""
    left = transport.get_write_buffer_size()
    while left or not transport.is_closing():
        seen.append((linger_of(transport), bool(left)))
        await asyncio.sleep(0)
        left = transport.get_write_buffer_size()


# A process that was killed after the end of an answer, with a part of it still
# in its buffer, left a connection that ended in order before the end.
@pytest.mark.parametrize('path', ['/once/x', '/safe/x', '/stream/x'])
@pytest.mark.parametrize('count', COUNTS)
def test_end_of_the_process_is_a_reset_until_all_is_written(path, count):
    async def main():
        seen = []
        endpoint = Endpoint(lambda head: unframed(head, body), closes=True)
        async with running_gateway(endpoint) as harness:
            caller, transport = await slow_caller(harness)
            await caller.send(path)
            await wait_until(transport.get_write_buffer_size)
            watching = asyncio.create_task(watch(transport, seen))
            caller.writer.transport.resume_reading()
            taken = await take(caller, PAUSE_S)
            watching.cancel()
        return taken, seen

    body = EVENT * count
    taken, seen = asyncio.run(main())
    assert taken.is_whole
    assert taken.digest == hashlib.sha256(body).hexdigest()
    assert (RESET_AT_CLOSE, True) in seen
    assert (CLOSE_IN_ORDER, True) not in seen

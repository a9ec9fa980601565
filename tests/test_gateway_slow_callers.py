"""Callers that take nothing of their answers, for a time or for ever."""

import asyncio
import hashlib

import pytest

from cactusledge.gateway.messages import Limits
from cactusledge.records.frames import USER_TIMEOUT_MS
from tests.gateway_endpoints import SEAL, Endpoint, chunked, reply_of, unframed
from tests.gateway_support import running_gateway
from tests.records_support import wait_until
from tests.slow_callers import slow_caller
from tests.test_gateway_backpressure import take

pytestmark = pytest.mark.process

PAUSE_S = 1.4 * USER_TIMEOUT_MS / 1000
BODY = b'id: 1\ndata: %b\n\n' % (b'y' * 1000) * 180
IDLE_MS = 200


def sized(head, body):
    return reply_of(200, head, SEAL, body=body)


# A caller whose window was full for 2.5 s was reset in the middle of its answer
# to a call that had run.
@pytest.mark.parametrize('reply', [sized, chunked, unframed])
@pytest.mark.parametrize('path', ['/once/x', '/safe/x'])
def test_answer_waits_for_a_caller_that_takes_nothing_for_a_time(path, reply):
    async def main():
        endpoint = Endpoint(lambda head: reply(head, BODY), closes=True)
        async with running_gateway(endpoint) as harness:
            caller, transport = await slow_caller(harness)
            await caller.send(path, 'Connection: close')
            await wait_until(transport.get_write_buffer_size)
            await asyncio.sleep(PAUSE_S)
            caller.writer.transport.resume_reading()
            return await take(caller)

    taken = asyncio.run(main())
    assert taken.is_whole
    assert taken.digest == hashlib.sha256(BODY).hexdigest()


# A caller that never takes its answer would be waited for as long as it lives.
@pytest.mark.parametrize('reply', [sized, chunked, unframed])
@pytest.mark.parametrize('headers', [(), ('Connection: close',)])
def test_caller_that_takes_nothing_is_given_up(reply, headers):
    async def main():
        endpoint = Endpoint(lambda head: reply(head, BODY), closes=True)
        async with running_gateway(endpoint) as harness:
            gateway = harness.gateway
            gateway.limits = Limits(idle_timeout_ms=IDLE_MS)
            caller, transport = await slow_caller(harness)
            await caller.send('/once/x', *headers)
            await wait_until(transport.get_write_buffer_size)
            await wait_until(lambda: not gateway.connections)
            caller.writer.transport.resume_reading()
            return await take(caller)

    assert not asyncio.run(main()).is_whole

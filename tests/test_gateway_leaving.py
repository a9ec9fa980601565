"""Replicas that say in their answers that they are leaving.

The pattern: an instance is cut off from the platform, so its list still has a
replica that drains; only the replica's own answers tell.
"""

import asyncio

import pytest

from tests.gateway_endpoints import (
    SEAL,
    Endpoint,
    answered,
    overloaded,
    reply_of,
)
from tests.gateway_support import running_gateway

pytestmark = pytest.mark.process

EVENT = b'id: 1\ndata: a\n\n'
AT_ONCE_S = 0.2
CLOCK_STEP_S = 0.001  # of the event loop's time
LEAVING = 'Server-Leaving: 1'


def leaving(head):
    return reply_of(200, head, SEAL, LEAVING, body=EVENT)


def leaving_and_full(head):
    return reply_of(503, head, 'X-Cactusledge-Not-Executed: 1', LEAVING)


def staying(head):
    return reply_of(200, head, SEAL, body=EVENT)


def ask(paths, *endpoints, window_s=2.0, pause_s=0):
    """Sends one request after the other; returns their statuses."""

    async def main():
        async with running_gateway(*endpoints) as harness:
            harness.fleet.departures.window_s = window_s
            statuses = []
            for path in paths:
                caller = await harness.call(path)
                statuses.append((await caller.read())[0])
                await asyncio.sleep(pause_s)
            return statuses

    return asyncio.run(main())


# A request was sent to a replica that had said it was leaving.
@pytest.mark.parametrize('path', ['/once/x', '/safe/x', '/turn/x', '/stream/x'])
@pytest.mark.parametrize('reply', [leaving, leaving_and_full])
def test_leaving_replica_gets_no_further_request(path, reply):
    first, second = Endpoint(reply), Endpoint(staying)
    ask([path, path, path], first, second)
    assert len(first.requests) == 1
    assert len(second.requests) >= 2


def test_last_replica_serves_while_it_may_and_is_refused_at_once_after():
    only = Endpoint(leaving)
    statuses = ask(
        ['/once/x', '/once/x', '/once/x', '/once/x'],
        only,
        window_s=0.15,
        pause_s=0.1,
    )
    assert statuses[:2] == [200, 200]
    assert statuses[-1] == 503
    assert len(only.requests) < len(statuses)


# A call waited for room at a replica that it could not be sent to any more.
def test_call_is_refused_at_once_if_all_replicas_have_left():
    async def main():
        async with running_gateway(Endpoint(leaving)) as harness:
            harness.fleet.departures.window_s = 0
            caller = await harness.call('/once/x')
            await caller.read()
            # A call of the moment at which the window ends is still in it.
            await asyncio.sleep(2 * CLOCK_STEP_S)
            started_s = asyncio.get_running_loop().time()
            caller = await harness.call('/once/y')
            status, _, _ = await caller.read()
            return status, asyncio.get_running_loop().time() - started_s

    status, took_s = asyncio.run(main())
    assert status == 503
    assert took_s < AT_ONCE_S


def test_full_replica_that_stays_is_tried_again():
    full_once = iter([overloaded, answered])
    endpoint = Endpoint(lambda head: next(full_once)(head))
    assert ask(['/once/x'], endpoint) == [200]

"""A request that crashes each endpoint that runs it, and comes again.

The pattern: callers send it anew after each failure, with another id, to any
instance, while endpoints that crashed come back.
"""

import asyncio

import pytest

from cactusledge.records.gateways import GatewayRegistry
from tests.gateway_crashes import DEADLY, crashing_endpoints, watching_ends
from tests.gateway_support import running_gateways
from tests.store_stubs import exchanging

pytestmark = pytest.mark.process

GATEWAYS = 3
ENDPOINTS = 5
ENDS_ALLOWED = 3  # endpoints that may end before a request is known
STABLE_S = 3.0  # after these ends, until it must be stopped
MOST_RETRIES = 3  # that reach endpoints later than that
PAUSE_S = 0.1  # between two deadly requests
RUN_S = 6.0
PATHS = [
    '/once/x',
    '/safe/x',
    '/stream/x',
    '/turn/x',
    '/resumable/x',
    '/resumable-turn/x',
]


async def send_again_and_again(harnesses, path, body):
    """Sends a request at one gateway after the other; returns its statuses."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + RUN_S
    statuses = []
    while loop.time() < end_s:
        number = len(statuses)
        harness = harnesses[number % len(harnesses)]
        caller = await harness.call(path, body=body, request_id=f'd{number}')
        statuses.append((await caller.read())[0])
        caller.writer.close()
        await asyncio.sleep(PAUSE_S)
    return statuses


def press(path):
    """Returns when deadly requests arrived and endpoints ended, statuses."""

    async def main():
        registry = GatewayRegistry()
        async with (
            running_gateways(GATEWAYS) as harnesses,
            crashing_endpoints(harnesses, ENDPOINTS) as endpoints,
            watching_ends(harnesses),
            exchanging(registry, harnesses),
        ):
            statuses = await send_again_and_again(harnesses, path, DEADLY)
            sound = await harnesses[0].call(path, body=b'sound')
            status, _, _ = await sound.read()
            arrivals_s = [at_s for one in endpoints for at_s in one.deadly_s]
            ends_s = [at_s for one in endpoints for at_s in one.ends_s]
        return sorted(arrivals_s), sorted(ends_s), statuses, status

    return asyncio.run(main())


# A gateway that repeats or resumes a request by itself sent it to one endpoint
# more before the last end had been noticed.
@pytest.mark.parametrize('path', PATHS)
def test_request_ends_no_more_endpoints_than_needed(path):
    _, ends_s, _, _ = press(path)
    assert len(ends_s) <= ENDS_ALLOWED + 1


# One request crashed endpoint after endpoint for as long as it came again.
@pytest.mark.parametrize('path', PATHS)
def test_request_that_crashes_endpoints_is_stopped(path):
    arrivals_s, ends_s, statuses, sound_status = press(path)
    assert len(ends_s) >= ENDS_ALLOWED
    stopped_s = ends_s[ENDS_ALLOWED - 1] + STABLE_S
    assert sum(at_s > stopped_s for at_s in arrivals_s) <= MOST_RETRIES
    assert statuses[-1] == 503
    assert sound_status == 200

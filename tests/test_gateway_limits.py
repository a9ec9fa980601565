"""Endpoints that name a limit, behind several gateways.

The pattern: an engine in need says how many requests a second it takes from
all instances together, while callers go on as before at each of them.
"""

import asyncio

import pytest

from cactusledge.records.gateways import GatewayRegistry
from tests.gateway_endpoints import SEAL, Endpoint, answered, reply_of
from tests.gateway_support import running_gateways
from tests.store_stubs import StubGrants, exchanging

pytestmark = pytest.mark.process

GATEWAYS = 3
LIMIT_PER_S = 4
STABLE_S = 3.0  # from the first answer that names a limit until it must hold
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5  # requests in any window
CALL_PAUSE_S = 0.05
RUN_S = STABLE_S + WINDOW_S + 1


class LimitedEndpoint(Endpoint):
    """Names its limit in all answers; keeps when requests arrived."""

    def __init__(self):
        super().__init__(self._answer)
        self.arrivals_s = []

    def most_in_window(self):
        """Returns the most arrivals in a window once the limit must hold."""
        stable_s = self.arrivals_s[0] + STABLE_S
        counted = [at_s for at_s in self.arrivals_s if at_s >= stable_s]
        return max(
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in counted)
            for start_s in counted or [stable_s]
        )

    def _answer(self, head):
        self.arrivals_s.append(asyncio.get_running_loop().time())
        limit = f'Server-Limit: {LIMIT_PER_S}'
        return reply_of(200, head, SEAL, limit, body=b'done')


async def call_steadily(harness, path, statuses):
    """Sends requests at a steady rate; adds their statuses."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + RUN_S
    while loop.time() < end_s:
        caller = await harness.call(path)
        statuses.append((await caller.read())[0])
        caller.writer.close()
        await asyncio.sleep(CALL_PAUSE_S)


def press(path, *endpoints):
    """Calls several gateways at once; returns all statuses."""
    statuses = []

    async def main():
        registry = GatewayRegistry()
        started = running_gateways(
            GATEWAYS, *endpoints, grants=StubGrants(registry)
        )
        async with started as harnesses, exchanging(registry, harnesses):
            calls = [
                call_steadily(harness, path, statuses) for harness in harnesses
            ]
            await asyncio.gather(*calls)

    asyncio.run(main())
    return statuses


# An engine got many times the rate that it had named, from all instances.
@pytest.mark.parametrize('path', ['/once/x', '/stream/x'])
def test_limited_endpoint_gets_no_more_than_it_names(path):
    limited, other = LimitedEndpoint(), Endpoint(answered)
    statuses = press(path, limited, other)
    assert limited.most_in_window() <= ALLOWED
    assert set(statuses) == {200}

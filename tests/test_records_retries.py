"""The pauses that requests to the stores really make."""

import asyncio
from types import SimpleNamespace

from cactusledge.records import retries

REQUESTS = 50
ROUNDS = 4
STORES = (
    SimpleNamespace(group=SimpleNamespace(generation=1), has_quorum=True),
)


async def pauses_of_requests(monkeypatch):
    """Returns the pauses of requests that begin together, by request."""
    found = []

    async def note(pause_s):
        found[-1].append(pause_s)

    monkeypatch.setattr(retries.asyncio, 'sleep', note)
    for _ in range(REQUESTS):
        found.append([])
        repeated = retries.Retries(lambda: STORES, retries.RetryLimits())
        for _ in range(ROUNDS):
            assert await repeated.wait()
    return found


# Turns that were refused together were repeated together, as one burst each.
def test_repeated_requests_do_not_come_in_step(monkeypatch):
    found = asyncio.run(pauses_of_requests(monkeypatch))
    for number, together in enumerate(zip(*found, strict=True)):
        pause_s = retries.FIRST_PAUSE_S * retries.GROWTH**number
        assert all(pause_s / 2 <= one <= pause_s for one in together)
        assert len(set(together)) == REQUESTS

"""The log tells which limit an endpoint named, and when it ended."""

import asyncio

import pytest
from structlog.testing import capture_logs

from cactusledge.records.gateways import GatewayRegistry
from tests.gateway_endpoints import SEAL, Endpoint, reply_of
from tests.gateway_support import running_gateway
from tests.store_stubs import StubGrants, exchanging

pytestmark = pytest.mark.process


def call_until_answered(*headers):
    """Calls an endpoint for answers with these headers; returns the log."""
    left = iter(headers)
    endpoint = Endpoint(
        lambda head: reply_of(200, head, SEAL, next(left), body=b'done')
    )

    async def main():
        registry = GatewayRegistry()
        started = running_gateway(endpoint, grants=StubGrants(registry))
        async with started as harness, exchanging(registry, [harness]):
            while len(endpoint.requests) < len(headers):
                caller = await harness.call('/once/x')
                await caller.read()

    with capture_logs() as lines:
        asyncio.run(main())
        return lines


def test_limits_of_answers_are_logged():
    lines = call_until_answered(
        'Server-Limit: 20', 'Server-Limit: x', 'X-Other: 1'
    )
    limits = [line for line in lines if 'limit' in line['event']]
    assert [line.get('is_ended') for line in limits] == [False, None, True]
    assert [line.get('per_s') for line in limits] == [20, None, 20]
    assert [line.get('found') for line in limits] == [None, 'x', None]
    sent = [line for line in lines if line['event'] == 'gateway: request sent']
    assert [line['limit_per_s'] for line in sent] == [None, 20, 20]

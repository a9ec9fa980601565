"""The log tells which limit an endpoint named, and when it ended."""

import asyncio

import pytest
from structlog.testing import capture_logs

from tests.gateway_endpoints import SEAL, Endpoint, reply_of
from tests.gateway_support import running_gateway

pytestmark = pytest.mark.process


def test_limits_of_answers_are_logged():
    headers = iter(['Server-Limit: 2.5', 'Server-Limit: x', 'X-Other: 1'])
    endpoint = Endpoint(
        lambda head: reply_of(200, head, SEAL, next(headers), body=b'done')
    )

    async def main():
        async with running_gateway(endpoint) as harness:
            for _ in range(3):
                caller = await harness.call('/once/x')
                await caller.read()

    with capture_logs() as lines:
        asyncio.run(main())
    limits = [line for line in lines if 'limit' in line['event']]
    assert [line.get('is_ended') for line in limits] == [False, None, True]
    assert limits[0]['per_s'] == 2.5
    assert limits[1]['found'] == 'x'
    sent = [
        line['limit_per_s']
        for line in lines
        if line['event'] == 'gateway: request sent'
    ]
    assert sent == [None, 2.5, 2.5]

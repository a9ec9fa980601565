"""Answers of endpoints in trouble whose status code is none of HTTP."""

import asyncio

import pytest

from tests.gateway_endpoints import SEAL, Endpoint, answered, reply_of
from tests.gateway_process import EVENT, gateway_process
from tests.gateway_support import running_gateway, running_gateways
from tests.test_gateway_forwarding import OneTarget, strand

pytestmark = pytest.mark.process

STATUSES = ('000', '001', '099', '600', '700', '999')
PATHS = (
    '/once/x',
    '/safe/x',
    '/stream/x',
    '/turn/x',
    '/resumable/x',
    '/resumable-turn/x',
)
AT_ONCE_S = 1.0  # half of the routes' time limit


def invalid(status):
    """Returns the reply of an endpoint that answers with a status."""
    return lambda head: reply_of(status, head, SEAL, body=b'done')


async def ask(harness, path):
    """Returns status and body of an answer; it has to come at once."""
    async with asyncio.timeout(AT_ONCE_S):
        caller = await harness.call(path, 'Connection: close')
        status, _, body = await caller.read()
    return status, body


# The caller got it as an answer, or nothing until its deadline had passed.
@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('path', PATHS)
def test_invalid_status_is_an_unknown_outcome(path, status):
    async def main():
        endpoint = Endpoint(invalid(status))
        async with running_gateway(endpoint) as harness:
            return await ask(harness, path)

    assert asyncio.run(main()) == (502, b'')


# A valid answer behind it may belong to any request.
@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('path', PATHS)
def test_answer_behind_an_invalid_status_is_not_believed(path, status):
    def reply(head):
        return invalid(status)(head) + answered(head)

    async def main():
        async with running_gateway(Endpoint(reply)) as harness:
            return await ask(harness, path)

    assert asyncio.run(main()) == (502, b'')


@pytest.mark.parametrize('status', STATUSES)
def test_safe_call_is_sent_elsewhere_after_an_invalid_status(status):
    async def main():
        endpoints = (Endpoint(invalid(status)), Endpoint(answered))
        async with running_gateway(*endpoints) as harness:
            return await ask(harness, '/safe/x')

    assert asyncio.run(main()) == (200, b'done')


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('path', ['/once/x', '/stream/x', '/turn/x'])
@pytest.mark.parametrize('is_gateways_own', [False, True])
def test_invalid_status_is_none_through_another_gateway(
    path, status, is_gateways_own
):
    async def main():
        endpoint = Endpoint(invalid(status))
        async with running_gateways(2, endpoint) as (own, other):
            strand(own, listed=4)
            port = endpoint.port if is_gateways_own else other.port
            own.fleet.forwarder.targets = OneTarget(port)
            seen = await ask(own, path)
            assert len(endpoint.requests) == 1
            return seen

    assert asyncio.run(main()) == (502, b'')


@pytest.mark.parametrize('status', ['000', '999'])
def test_process_passes_no_invalid_status_on(status):
    async def main():
        endpoint = Endpoint(invalid(status))
        routes = {'/once/': 2, '/stream/': 2}
        async with gateway_process(2, routes, endpoint) as gateway:
            await gateway.start()
            return [await ask(gateway, f'{prefix}x') for prefix in routes]

    assert asyncio.run(main()) == [(502, b''), (502, b'')]


@pytest.mark.parametrize('status', ['100', '103', '199'])
@pytest.mark.parametrize('path', PATHS)
def test_answer_after_an_interim_one_is_passed_on(path, status):
    def reply(head):
        interim = f'HTTP/1.1 {status} Wait\r\n\r\n'.encode()
        return interim + reply_of(200, head, SEAL, body=EVENT)

    async def main():
        async with running_gateway(Endpoint(reply)) as harness:
            caller = await harness.call(path, 'Connection: close')
            return await caller.see()

    assert asyncio.run(main()) == ('complete', EVENT)

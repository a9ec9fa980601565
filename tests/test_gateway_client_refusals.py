"""What a client outside the limits is told, and what a sound one may do."""

import asyncio

import pytest

from cactusledge.gateway.messages import Limits
from tests.gateway_endpoints import Endpoint, answered, field
from tests.gateway_support import run_scenario, running_gateway

LIMITS = Limits(header_bytes=1024, body_bytes=4096)
START = (
    b'POST /once/x HTTP/1.1\r\nHost: shop.example\r\n'
    b'X-Cactusledge-Request-Id: r1\r\n'
)
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % START
CHUNK = b'400\r\n%b\r\n' % bytes(1024)
MANY = 300  # requests that are sent at once


async def refused(sent):
    """Returns status, head and end of the answer; all is sent first."""
    endpoint = Endpoint(answered)
    async with running_gateway(endpoint) as harness:
        harness.gateway.limits = LIMITS
        caller = await harness.connect()
        caller.writer.write(sent)
        await caller.writer.drain()
        answer = await caller.read()
        rest = await caller.read_all()
        return answer, rest, endpoint.requests


# Clients were reset, or held until their time was over, without being told why.
@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'%bX: %b\r\n\r\n' % (START, b'v' * 2000), 431),
        (b'%bX: %b' % (START, b'v' * 20000), 431),
        (b'%b%b' % (START, b'a: b\r\n' * 400), 431),
        (b'GET /%b HTTP/1.1\r\n\r\n' % (b'p' * 2000), 414),
        (b'GET /%b' % (b'p' * 20000), 414),
        (b'%bContent-Length: 5000\r\n\r\n' % START, 413),
        (b'%bContent-Length: 5000\r\n\r\n%b' % (START, bytes(5000)), 413),
        (b'%b%b' % (CHUNKED, CHUNK * 5), 413),
        (b'%b0\r\n%b' % (CHUNKED, b'a: b\r\n' * 400), 431),
        (b'%b2;%b' % (CHUNKED, b'e' * 40000), 400),
        (b'\r\n' * 10000, 400),
        (b'no request\r\n\r\n', 400),
    ],
)
def test_refusal_can_be_read_and_ends_the_connection(sent, status):
    (seen, head, _), rest, requests = asyncio.run(refused(sent))
    assert seen == status
    assert field(head, 'connection') == 'close'
    assert not rest
    assert not requests


# A trailer reached the endpoint as a header of the request.
def test_trailer_is_no_header():
    async def scenario(harness):
        caller = await harness.connect()
        trailer = b'X-Cactusledge-Request-Id: r2\r\nX-T: v\r\n\r\n'
        caller.writer.write(b'%b%b0\r\n%b' % (CHUNKED, CHUNK, trailer))
        status, _, _ = await caller.read()
        assert status == 200

    endpoint = Endpoint(answered)
    run_scenario(scenario, endpoint)
    head, body = endpoint.requests[0]
    assert field(head, 'x-t') == ''
    assert field(head, 'x-cactusledge-request-id') != 'r2'
    assert body == bytes(1024)


# A connection kept the limits of its start, though a version had raised them.
def test_raised_limit_holds_on_open_connections():
    async def scenario(harness):
        harness.gateway.limits = LIMITS
        caller = await harness.connect()
        await caller.send('/once/x')
        assert (await caller.read())[0] == 200
        harness.gateway.limits = Limits()
        await caller.send('/once/x', body=bytes(5000))
        assert (await caller.read())[0] == 200

    run_scenario(scenario, Endpoint(answered))


# Requests behind the one in service were all kept, at any number.
def test_requests_that_are_sent_at_once_are_all_answered():
    async def scenario(harness):
        caller = await harness.connect()
        for _ in range(MANY):
            await caller.send('/once/x', body=b'some text')
        for _ in range(MANY):
            assert (await caller.read())[0] == 200

    endpoint = Endpoint(answered)
    run_scenario(scenario, endpoint)
    assert len(endpoint.requests) == MANY


# A request that ends its connection took the answers before it along.
def test_requests_before_the_last_one_are_answered():
    async def scenario(harness):
        caller = await harness.connect()
        await caller.send('/once/x')
        await caller.send('/once/x', 'Connection: close')
        caller.writer.write(b'no request\r\n\r\n')
        assert [(await caller.read())[0] for _ in range(2)] == [200, 200]
        assert await caller.read_all() == b''

    run_scenario(scenario, Endpoint(answered))

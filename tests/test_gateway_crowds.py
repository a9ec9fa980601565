"""A gateway as a process, and crowds of clients outside its limits.

What is checked does not depend on the machine's speed.
"""

import asyncio

import pytest

from tests.crowds import MIB, Watched, ask, crowd_at, head_of
from tests.gateway_crowds import (
    AT_THE_PAGE,
    AT_THE_PORT_FOR_CALLERS,
    DOCUMENT,
    EMPTY_LINES,
    MEMORY_MB,
    RESERVED_DESCRIPTORS,
    ROUTES,
)
from tests.gateway_endpoints import SEAL, field, reply_of
from tests.gateway_process import TimedEndpoint, gateway_process

pytestmark = [pytest.mark.process, pytest.mark.alone]

GRACE_S = 4.5
DEAF_S = 25
ORDINARY = head_of('/once/x')
PAGE = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
PAGE_ANSWERS = {200, 503}  # ready or not
LARGEST_BODY = 2 * MIB


class SizedEndpoint(TimedEndpoint):
    """Answers with as many bytes as the caller asks for.

    It takes no body of a request that says so.
    """

    def sent_at_the_end(self, head):
        size = int(field(head, 'x-answer-bytes') or 4)
        return reply_of(200, head, SEAL, body=bytes(size))

    async def _body_of(self, head, reader):
        if field(head, 'x-deaf'):
            await asyncio.sleep(DEAF_S)
        return await super()._body_of(head, reader)


def named(crowds):
    """Returns a case for each crowd."""
    return [pytest.param(crowd, id=crowd.name) for crowd in crowds]


@pytest.fixture
def run():
    """Returns a function that runs a scenario with a started gateway."""

    def run_scenario(scenario, crowd=None, **limits):
        document = {
            **DOCUMENT,
            'descriptors': (crowd or EMPTY_LINES).descriptors,
            'limits': DOCUMENT['limits'] | limits,
        }

        async def main():
            started = gateway_process(
                GRACE_S, ROUTES, SizedEndpoint(), **document
            )
            async with started as gateway:
                await gateway.start()
                watched = Watched(gateway.process.pid)
                await scenario(gateway, watched)
                assert gateway.process.returncode is None
                assert watched.peak_bytes() <= MEMORY_MB * MIB

        asyncio.run(main())

    return run_scenario


async def assert_bears(crowd, watched, port, callers_port):
    """Lets a crowd come to a port; ordinary callers are answered."""
    async with crowd_at(port, crowd):
        await watched.rests()
        assert await ask(callers_port, ORDINARY) == 200
        open_now = watched.descriptors()
        assert open_now <= crowd.descriptors - RESERVED_DESCRIPTORS
    assert await ask(callers_port, ORDINARY) == 200


# Clients that do not keep the limits ended the process: it held all they sent.
@pytest.mark.parametrize('crowd', named(AT_THE_PORT_FOR_CALLERS))
def test_crowd_at_the_port_for_callers(run, crowd):
    async def scenario(gateway, watched):
        await assert_bears(crowd, watched, gateway.port, gateway.port)

    run(scenario, crowd)


# The page for the balancer has the same parser, and had no limits of its own.
@pytest.mark.parametrize('crowd', named(AT_THE_PAGE))
def test_crowd_at_the_page_for_the_balancer(run, crowd):
    async def scenario(gateway, watched):
        page = gateway.page_port
        await assert_bears(crowd, watched, page, gateway.port)
        assert await ask(page, PAGE) in PAGE_ANSWERS

    run(scenario, crowd)


# Empty lines before a request cost processor time for the whole idle time.
def test_empty_lines_without_end_are_not_taken(run):
    async def scenario(gateway, watched):
        async with crowd_at(gateway.port, EMPTY_LINES) as clients:
            assert all(client.is_refused for client in clients)
        assert await ask(gateway.port, ORDINARY) == 200

    run(scenario)


# Inside the limits: what takes the most memory for its bytes is served.
@pytest.mark.parametrize('form', ['shortest_lines', 'smallest_chunks'])
def test_request_at_the_limits_is_served(run, form):
    requests = {
        'shortest_lines': request_of_shortest_lines(),
        'smallest_chunks': request_of_smallest_chunks(),
    }

    async def scenario(gateway, watched):
        assert await ask(gateway.port, requests[form]) == 200
        assert await ask(gateway.port, ORDINARY) == 200

    run(scenario, body_bytes=LARGEST_BODY)


def request_of_shortest_lines():
    """Returns a head of exactly the largest size, of lines of four bytes."""
    head = head_of('/once/x')[:-2]
    left = DOCUMENT['limits']['header_bytes'] - len(head) - 2
    lines, odd = divmod(left, 4)
    return head + b'a:\r\n' * (lines - 1) + b'a:%b\r\n\r\n' % (b'b' * odd)


def request_of_smallest_chunks():
    """Returns a body of the largest size in chunks of one byte."""
    head = head_of('/once/x').replace(
        b'Content-Length: 0', b'Transfer-Encoding: chunked'
    )
    body = b'1\r\nb\r\n' * LARGEST_BODY
    return b'%b%b0\r\n\r\n' % (head, body)

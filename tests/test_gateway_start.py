"""Requests that come while a gateway still starts.

After a loss of power all gateways, stores and callers come back together: what
a gateway lacks at its first requests is there some tens of ms later.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest

from cactusledge.gateway.background import (
    MAINTENANCE_INTERVAL_S,
    START_INTERVAL_S,
    START_S,
    maintenance_pause_s,
)
from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.http_server import ServerConnection
from cactusledge.gateway.start_gate import StartGate
from cactusledge.gateway.start_hold import DEADLINE_SHARE, WINDOW_S, hold_s
from tests.fakes_records import FakeRecords
from tests.gateway_endpoints import Endpoint, answered
from tests.gateway_support import GatewayHarness

SHORT_S = 0.1  # until what was missing is there
CLOSE_S = 0.02  # for both ends of the connections
UNSERVED = 503
REQUEST = b'GET /safe/a HTTP/1.1\r\nHost: shop.example\r\n\r\n'


@asynccontextmanager
async def starting_gateway(has_quorum):
    """Runs a gateway that has just opened its port, without any list."""
    harness = GatewayHarness()
    known = harness.gateway.table.cfg
    harness.gateway = Gateway(harness.fleet, FakeRecords())
    gate = StartGate(harness.gateway, has_quorum)
    endpoint = Endpoint(answered)
    listening = await asyncio.get_running_loop().create_server(
        lambda: ServerConnection(gate), '127.0.0.1', 0
    )
    harness.port = listening.sockets[0].getsockname()[1]
    servers = [await endpoint.start(), listening]
    opening = asyncio.ensure_future(gate.run())
    await asyncio.sleep(0)

    def list_all():
        harness.gateway.apply(known)
        harness.list_endpoints([endpoint])

    try:
        yield harness, gate, list_all
    finally:
        opening.cancel()
        await close_all(harness, servers)


async def close_all(harness, servers):
    harness.close()
    for server in servers:
        server.close()
    await asyncio.sleep(CLOSE_S)


async def status_of(harness, path, *headers):
    caller = await harness.call(path, *headers)
    status, _, _ = await caller.read()
    return status


@pytest.mark.parametrize(
    ('open_for_s', 'waited_s', 'limit_s', 'expected_s'),
    [
        (0, 0, 2.0, 2 * DEADLINE_SHARE),
        (0, 0.2, 2.0, 2 * DEADLINE_SHARE - 0.2),
        (0, 0, 0.4, 0.4 * DEADLINE_SHARE),
        (WINDOW_S - 0.1, 0, 60.0, 0.1),
        (WINDOW_S + 1, 0, 60.0, 0),
        (0, 9.0, 2.0, 0),
    ],
)
def test_hold_at_a_start_leaves_most_of_the_deadline_to_the_request(
    open_for_s, waited_s, limit_s, expected_s
):
    assert hold_s(open_for_s, waited_s, limit_s) == pytest.approx(expected_s)


# All instances start at once: the lists come while the first request waits.
def test_all_start_at_once_and_a_request_before_the_lists_is_served():
    async def main():
        async with starting_gateway(lambda: True) as (harness, _, list_all):
            loop = asyncio.get_running_loop()
            loop.call_later(SHORT_S, list_all)
            assert await status_of(harness, '/safe/a') == 200

    asyncio.run(main())


# All instances start at once: turns wait for the stores, other calls don't.
@pytest.mark.parametrize(
    ('path', 'waits'), [('/turn/a', True), ('/safe/a', False)]
)
def test_all_start_at_once_and_only_turns_wait_for_the_stores(path, waits):
    async def main():
        in_reach = []
        gateway = starting_gateway(lambda: bool(in_reach))
        async with gateway as (harness, _, list_all):
            list_all()
            asking = asyncio.ensure_future(status_of(harness, path))
            await asyncio.sleep(SHORT_S)
            assert asking.done() is not waits
            in_reach.append('stores')
            await asking

    asyncio.run(main())


# The platform does not answer at a start: no configuration comes.
def test_platform_that_does_not_answer_at_a_start_gets_the_caller_refused():
    async def main():
        async with starting_gateway(lambda: True) as (harness, _, _):
            began_s = asyncio.get_running_loop().time()
            deadline = 'X-Cactusledge-Deadline-Ms: 400'
            assert await status_of(harness, '/safe/a', deadline) == UNSERVED
            took_s = asyncio.get_running_loop().time() - began_s
            assert took_s < WINDOW_S

    asyncio.run(main())


# A stop in the middle of a start must not keep callers waiting.
def test_stop_during_a_start_lets_held_requests_go_at_once():
    async def main():
        async with starting_gateway(lambda: True) as (harness, gate, _):
            asking = asyncio.ensure_future(status_of(harness, '/safe/a'))
            await asyncio.sleep(SHORT_S)
            assert not asking.done()
            gate.release()
            assert await asking == UNSERVED
            assert await status_of(harness, '/safe/b') == UNSERVED

    asyncio.run(main())


# A stop that has no time left ends a start's requests too.
def test_stop_during_a_start_answers_a_held_request_that_it_cuts():
    async def main():
        async with starting_gateway(lambda: True) as (harness, gate, _):
            asking = asyncio.ensure_future(status_of(harness, '/safe/a'))
            await asyncio.sleep(SHORT_S)
            for conn in tuple(gate.connections):
                conn.cut()
            assert await asking == UNSERVED

    asyncio.run(main())


# A paused process sees a request and the end of its stop in the same moment.
def test_pause_at_a_start_and_a_request_cut_before_its_first_step_is_answered():
    async def main():
        async with starting_gateway(lambda: True) as (harness, gate, _):
            caller = await harness.connect()
            while not gate.connections:
                await asyncio.sleep(0)
            conn = next(iter(gate.connections))
            conn.data_received(REQUEST)
            conn.cut()
            status, _, _ = await caller.read()
            assert status == UNSERVED

    asyncio.run(main())


# Stores that start at the same moment are asked again soon, others seldom.
@pytest.mark.parametrize(
    ('running_for_s', 'lacks_something', 'expected_s'),
    [
        (0, True, START_INTERVAL_S),
        (0, False, MAINTENANCE_INTERVAL_S),
        (START_S, True, MAINTENANCE_INTERVAL_S),
    ],
)
def test_all_start_at_once_and_what_lacks_is_looked_for_often_only_at_first(
    running_for_s, lacks_something, expected_s
):
    pause_s = maintenance_pause_s(
        running_for_s, lacks_something=lacks_something
    )
    assert pause_s == expected_s

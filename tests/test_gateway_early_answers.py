"""Answers that begin while the request is still being sent to its endpoint."""

import asyncio

import pytest

from tests.early_answers import PAUSE_S, UPLOAD, EarlyEndpoint
from tests.fakes_records import FakeRecords
from tests.gateway_endpoints import (
    SEAL,
    Endpoint,
    answered,
    reply_of,
    unframed,
)
from tests.gateway_process import gateway_process
from tests.gateway_support import running_gateway, running_gateways
from tests.test_gateway_forwarding import OneTarget, strand

pytestmark = pytest.mark.process

EVENT = b'id: 1\ndata: a\n\n'
TOKENS = 18  # of one event
LARGE = b'data: b\n\n' * 40_000  # passed on before its end
ENDS = ('reset', 'close', 'shut', 'shut and reset')
CALLS = ('/once/x', '/safe/x')
STREAMS = ('/stream/x', '/turn/x')
RESUMED = ('/resumable/x', '/resumable-turn/x')


def part_unframed(head):
    return unframed(head, EVENT)


def large_unframed(head):
    return unframed(head, LARGE)


def failure_unframed(head):
    return part_unframed(head).replace(b' 200 X', b' 400 X', 1)


async def upload(harness, path):
    """Sends a long request; returns its caller."""
    return await harness.call(path, 'Connection: close', body=UPLOAD)


def see(path, *endpoints, records=None):
    """Returns what a caller of a long request sees."""

    async def main():
        async with running_gateway(*endpoints, records=records) as harness:
            return await (await upload(harness, path)).see()

    return asyncio.run(main())


# An answer without a length whose connection ended while its request was still
# being sent was taken for whole.
@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('path', CALLS)
@pytest.mark.parametrize('reply', [part_unframed, failure_unframed])
def test_early_part_of_an_answer_is_an_unknown_outcome(path, end, reply):
    async def main():
        async with running_gateway(EarlyEndpoint(reply, end)) as harness:
            status, _, body = await (await upload(harness, path)).read()
        assert (status, body) == (502, b'')

    asyncio.run(main())


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('path', STREAMS)
def test_early_part_of_a_stream_is_broken_off(path, end):
    records = FakeRecords()
    seen = see(path, EarlyEndpoint(part_unframed, end), records=records)
    assert seen == ('broken', EVENT)
    assert not records.recorded
    assert records.settled == [('r1', TOKENS)]


# It is asked for the rest, and answers early again.
@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('path', RESUMED)
def test_early_parts_of_a_resumed_stream_are_broken_off(path, end):
    records = FakeRecords()
    seen = see(path, EarlyEndpoint(part_unframed, end), records=records)
    assert seen.end == 'broken'
    assert not records.recorded


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('path', CALLS)
def test_large_early_part_that_is_passed_on_is_broken_off(path, end):
    seen = see(path, EarlyEndpoint(large_unframed, end))
    assert seen.end == 'broken'


@pytest.mark.parametrize('end', ENDS)
def test_early_part_is_asked_for_elsewhere_if_that_is_safe(end):
    endpoints = (EarlyEndpoint(part_unframed, end), Endpoint(answered))
    assert see('/safe/x', *endpoints) == ('complete', b'done')


def see_forwarded(path, endpoint):
    """Returns what a caller sees whose gateway asks another gateway."""

    async def main():
        async with running_gateways(2, endpoint) as (own, other):
            strand(own, listed=4)
            own.fleet.forwarder.targets = OneTarget(other.port)
            seen = await (await upload(own, path)).see()
            assert len(endpoint.requests) == 1
            return seen

    return asyncio.run(main())


# The same between two gateways: the first one passed on what it got as whole.
@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('path', ['/once/x', '/stream/x', '/turn/x'])
def test_early_part_is_not_whole_through_another_gateway(path, end):
    seen = see_forwarded(path, EarlyEndpoint(part_unframed, end))
    expected = ('complete', b'') if path in CALLS else ('broken', EVENT)
    assert seen == expected


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('path', ['/once/x', '/stream/x'])
def test_gateway_that_breaks_off_early_is_not_believed(path, end):
    async def main():
        other = EarlyEndpoint(part_unframed, end)
        async with running_gateway() as harness:
            server = await other.start()
            strand(harness, listed=4)
            harness.fleet.forwarder.targets = OneTarget(other.port)
            seen = await (await upload(harness, path)).see()
            server.close()
            return seen

    assert asyncio.run(main()) == ('broken', EVENT)


# In a process of its own, as it is deployed.
@pytest.mark.parametrize('end', ENDS)
def test_process_takes_no_early_part_for_a_whole_answer(end):
    async def main():
        endpoint = EarlyEndpoint(part_unframed, end)
        routes = {'/once/': 2, '/stream/': 2}
        async with gateway_process(2, routes, endpoint) as gateway:
            await gateway.start()
            return [
                await (await upload(gateway, path)).see()
                for path in ('/once/x', '/stream/x')
            ]

    assert asyncio.run(main()) == [('complete', b''), ('broken', EVENT)]


# An endpoint may answer before it has read a long request, and read on later.
@pytest.mark.parametrize('path', ['/once/x', '/safe/x', '/stream/x'])
def test_early_answer_with_a_length_is_whole_and_the_next_one_follows(path):
    def whole(head):
        return reply_of(200, head, SEAL, body=EVENT)

    async def main():
        endpoint = EarlyEndpoint(whole, 'keep')
        async with running_gateway(endpoint) as harness:
            first = await (await upload(harness, path)).see()
            await asyncio.sleep(PAUSE_S)
            second = await (await upload(harness, path)).see()
            await asyncio.sleep(2 * PAUSE_S)
        return first, second, [body for _, body in endpoint.requests]

    first, second, bodies = asyncio.run(main())
    assert first == second == ('complete', EVENT)
    assert bodies == [UPLOAD, UPLOAD]

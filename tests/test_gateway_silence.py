"""Endpoints that run a call and lose its answer, with an open connection.

A caller of a lookup waited for its whole deadline, and its program failed,
although another endpoint would have answered at once.
"""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusledge.gateway.silence import silence_limit_s
from tests.gateway_endpoints import Endpoint, answered
from tests.gateway_support import run_scenario

TIMES_MS = st.floats(0, 10000)


@given(TIMES_MS, TIMES_MS, TIMES_MS)
def test_other_endpoint_gets_half_of_the_time(target_ms, latency_ms, left_ms):
    limit_s = silence_limit_s(target_ms, latency_ms, left_ms)
    assert limit_s is None or limit_s <= left_ms / 2000


@given(TIMES_MS, TIMES_MS)
def test_loaded_endpoint_is_given_more_time(target_ms, latency_ms):
    idle_s = silence_limit_s(target_ms, 0, 1e6)
    assert silence_limit_s(target_ms, latency_ms, 1e6) >= idle_s


def test_endpoint_is_not_left_shortly_before_the_deadline():
    """A stream with 75 ms left was taken from its engine after 37 ms."""
    assert silence_limit_s(200, 10, 75) is None


def silent(head):
    """Runs the call and never answers; the connection stays open."""


async def status_of_call(harness, path):
    caller = await harness.call(path, 'X-Cactusledge-Deadline-Ms: 1000')
    return (await caller.read())[0]


@pytest.mark.process
@pytest.mark.parametrize('prefix', ['/safe/', '/resumable/'])
def test_call_that_may_be_repeated_leaves_a_silent_endpoint(prefix):
    async def scenario(harness):
        assert await status_of_call(harness, f'{prefix}x') == 200
        await asyncio.wait_for(first.left.wait(), 2)

    first = Endpoint(silent)
    run_scenario(scenario, first, Endpoint(answered))


@pytest.mark.process
@pytest.mark.parametrize('prefix', ['/once/', '/stream/', '/turn/'])
def test_other_calls_wait_for_a_silent_endpoint(prefix):
    async def scenario(harness):
        assert await status_of_call(harness, f'{prefix}x') == 504
        assert not second.requests

    second = Endpoint(answered)
    run_scenario(scenario, Endpoint(silent), second)


@pytest.mark.process
def test_last_endpoint_is_waited_for():
    async def scenario(harness):
        assert await status_of_call(harness, '/safe/x') == 504
        assert len(endpoint.requests) == 1

    endpoint = Endpoint(silent)
    run_scenario(scenario, endpoint)

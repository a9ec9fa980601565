"""Turns that are recorded at stores that confirm late."""

import asyncio

import pytest

from cactusledge.records.entries import Turn
from cactusledge.records.messages import Append

pytestmark = pytest.mark.process

SLOW_S = 0.8  # longer than a round
DEADLINE_S = 4.4
ROUNDS_WITH_TEXT = 2


def turn(turn_id):
    return Turn(turn_id, '', 'p', b'in', b'out', 10, 'engine-1', ())


def slow_down(cluster):
    """Makes all writes take long; returns the ones that carry text."""
    with_text = []

    async def wait(body):
        if isinstance(body, Append):
            with_text.extend(one for one in body.entries if one.has_text)
            await asyncio.sleep(SLOW_S)

    for node in cluster.nodes.values():
        node.on_request = wait
    return with_text


# Confirmations that came after their round did not count: the answer was cut.
def test_turn_is_recorded_at_stores_slower_than_a_round(run_scenario):
    async def scenario(cluster):
        slow_down(cluster)
        async with asyncio.timeout(DEADLINE_S):
            assert await cluster.client.record(turn('t1'))

    run_scenario(3, scenario)


# Slow stores got the whole text again and again, and so became slower.
def test_slow_stores_do_not_get_the_text_in_each_round(run_scenario):
    async def scenario(cluster):
        with_text = slow_down(cluster)
        async with asyncio.timeout(DEADLINE_S):
            assert await cluster.client.record(turn('t1'))
        assert len(with_text) <= ROUNDS_WITH_TEXT * len(cluster.nodes)

    run_scenario(5, scenario)

"""Stores lost for good one after the other, each with a successor, for real."""

import asyncio

import pytest

from tests.store_losses import Plan, play

pytestmark = pytest.mark.process


# Service ended for good, and turns that had been answered were lost, when a
# store was lost at the end of the time for which the one before still counts.
@pytest.mark.timeout(180)
@pytest.mark.parametrize(
    'plan',
    [
        pytest.param(Plan(stores=3, losses=3), id='three'),
        pytest.param(
            Plan(stores=4, losses=3, senders=4, places=(0, -1)), id='four'
        ),
    ],
)
def test_stores_replaced_in_turn_lose_no_answered_turn(tmp_path, plan):
    turns, _, lost = asyncio.run(play(tmp_path, plan))
    assert turns.whole
    assert lost == []

"""A short soak of the record stores; `make soak` runs more seeds."""

import asyncio

import pytest

from cactusledge.records import group_manager
from tests.soak import FORMATION_DELAY_S, run_seed

SEEDS = (1, 7)
pytestmark = pytest.mark.process


@pytest.mark.timeout(120)
@pytest.mark.parametrize('seed', SEEDS)
def test_soak_violates_no_guarantee(seed, monkeypatch):
    monkeypatch.setattr(group_manager, 'FORMATION_DELAY_S', FORMATION_DELAY_S)
    checker = asyncio.run(run_seed(seed))
    assert not checker.violations
    assert checker.durable_turns

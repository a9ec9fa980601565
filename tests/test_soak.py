"""A short soak of the record stores; `make soak` plays more seeds."""

import asyncio

import pytest

from cactusledge.records import keeper
from tests.soak import FORM_AFTER_S, play

SEEDS = (1, 7)
pytestmark = pytest.mark.process


@pytest.mark.timeout(120)
@pytest.mark.parametrize('seed', SEEDS)
def test_no_promise_is_broken(seed, monkeypatch):
    monkeypatch.setattr(keeper, 'FORM_AFTER_S', FORM_AFTER_S)
    books = asyncio.run(play(seed))
    assert not books.broken
    assert books.told

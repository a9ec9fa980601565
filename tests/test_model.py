"""Reduced run of the models; `make model` explores the larger bounds."""

import pytest

from model import scenarios
from model.guards import GUARDS, HEAD, HELD
from model.runner import explore_model, run_without

QUICK = (scenarios.SMALL, scenarios.MODEL_CALL, HELD, HEAD)
SLOW_GUARDS = frozenset((
    'names of collected objects never come back',
    'a NOT_RUN is not given to a request that joined later',
    'a returned share is less what the sub-agent spent',
))


def name_of(item):
    return getattr(item, 'name', item)


@pytest.mark.parametrize('model', QUICK, ids=name_of)
def test_invariants_hold_in_all_states(model):
    found = explore_model(model)
    assert found.exhaustive
    assert not found.violated, found.trace


@pytest.mark.parametrize(
    'guard',
    [guard for guard in GUARDS if guard.name not in SLOW_GUARDS],
    ids=name_of,
)
def test_removal_of_a_guard_is_caught(guard):
    found = run_without(guard)
    assert found.violated
    assert found.trace

"""Scenarios that `make model` explores, with their bounds."""

from cactusledge.models import CallKind
from model.platform import Form
from model.world import Limits, Scenario, call

LONG = 12  # appends

ONE_CALL = Scenario('one call', (call(1),), limits=Limits(1, 1, 2))
SMALL = Scenario('one call, one takeover', (call(1),), limits=Limits(1, 1, 1))
PAUSED = Scenario(
    'three instances, no crash',
    (call(1),),
    instances=3,
    limits=Limits(0, 1, 2),
    max_number=8,
)
GIVE_UP = Scenario(
    'call given up, ring of 3',
    (call(1),),
    size=3,
    limits=Limits(1, 1, 1, 1),
)
LOSSY = Scenario(
    'call given up, two lost answers',
    (call(1),),
    limits=Limits(0, 2, 1, 1),
)
BUDGET = Scenario(
    'two calls over budget',
    (call(1, reserve=2), call(2, reserve=2)),
    budget=3,
    limits=Limits(1, 1, 1),
)
EAGER = Scenario(
    'caller that does not wait',
    (call(1), call(2)),
    limits=Limits(1, 0, 1),
    eager=True,
    max_number=LONG,
)
MODEL_CALL = Scenario(
    'model call, end, release',
    (call(1, idempotent=True, kind=CallKind.MODEL),),
    limits=Limits(1, 1, 1),
    ends=True,
)
TOMBSTONES = Scenario(
    'objects with tombstones',
    (call(1),),
    limits=Limits(1, 1, 1),
    form=Form.TOMBSTONES,
)
DELETED = Scenario(
    'objects deleted when collected',
    (call(1),),
    limits=Limits(1, 1, 2),
    form=Form.DELETED,
)

HOLDING = (
    ONE_CALL,
    PAUSED,
    GIVE_UP,
    LOSSY,
    BUDGET,
    EAGER,
    MODEL_CALL,
    TOMBSTONES,
)

"""Orders to model engines: fencing, lost answers, ownership."""

import threading

import pytest

from cactusledge.endpoints.engine import (
    Accepted,
    Mismatch,
    Order,
    StaleFencing,
)
from cactusledge.endpoints.errors import (
    EndpointFailedError,
)
from cactusledge.endpoints.order_runner import EnginePort, run_order
from cactusledge.endpoints.order_states import OrderLimits, Phase
from cactusledge.models import Outcome
from standins.service_faults import Fault, FaultKind
from tests.engine_support import (
    replica_of,
    soon,
)


@pytest.mark.parametrize(
    ('ignore_fencing', 'result_type', 'model'),
    [(False, StaleFencing, 'm-2'), (True, Accepted, 'm-1')],
)
def test_old_fencing_number(
    engine_client, start_engine, ignore_fencing, result_type, model
):
    engine = start_engine(ignore_fencing=ignore_fencing)
    replica = replica_of(engine)
    newer = engine_client.order(replica, Order(7, 'm-2'), deadline_s=soon())
    older = engine_client.order(replica, Order(6, 'm-1'), deadline_s=soon())
    assert (type(newer), type(older)) == (Accepted, result_type)
    assert engine.orders.state.model == model


def test_order_is_read_back(engine_client, engine):
    replica = replica_of(engine)
    engine.orders.broken = True
    result = engine_client.order(replica, Order(1, 'm-2'), deadline_s=soon())
    assert isinstance(result, Mismatch)


def test_lost_answer_to_an_order_is_settled_by_reading(engine_client, engine):
    engine.set_faults(Fault(FaultKind.RESET_AFTER_EFFECT, 1, '/v1/orders'))
    result = engine_client.order(
        replica_of(engine), Order(1, 'm-2'), deadline_s=soon()
    )
    assert isinstance(result, Accepted)


@pytest.mark.parametrize(
    'faults',
    [
        (Fault(FaultKind.HANG, match='/v1/orders'),),
        (Fault(FaultKind.ERROR_AFTER_EFFECT, match='/v1/'),),
        (Fault(FaultKind.ERROR_NOT_RUN, match='/v1/state'),),
        (
            Fault(FaultKind.HANG, match='/v1/orders'),
            Fault(FaultKind.ERROR_NOT_RUN, match='/v1/state'),
        ),
    ],
    ids=str,
)
def test_order_that_cannot_be_read_back_is_unknown(
    engine_client, engine, faults
):
    engine.set_faults(*faults)
    with pytest.raises(EndpointFailedError) as caught:
        engine_client.order(
            replica_of(engine), Order(1, 'm-2'), deadline_s=soon()
        )
    assert caught.value.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ('is_owner', 'stopped', 'phase', 'orders'),
    [
        (True, False, Phase.DONE, 1),
        (False, False, Phase.SUPERSEDED, 0),
        (True, True, Phase.SUPERSEDED, 0),
    ],
)
def test_order_owner_of_an_engine_that_ignores_fencing(
    engine_client, start_engine, is_owner, stopped, phase, orders
):
    engine = start_engine(ignore_fencing=True)
    stop = threading.Event()
    if stopped:
        stop.set()
    port = EnginePort(engine_client, replica_of(engine), lambda: is_owner, stop)
    limits = OrderLimits(send_window_s=0.5, longest_order_s=0.5, max_attempts=1)
    progress = run_order(port, Order(3, 'm-2'), limits)
    assert progress.phase is phase
    assert len(engine.orders.records) == orders

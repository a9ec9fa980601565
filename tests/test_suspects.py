"""Where requests go that may crash endpoints; no network.

The pattern: an endpoint ends, and the cause and all that ran beside it are sent
again at once, at any gateway.
"""

import random

import pytest

from cactusledge.gateway.messages import Replica
from cactusledge.gateway.suspects import (
    AVOID_MS,
    LIKELY_AFTER,
    RUNNING_RETRY_S,
    Suspects,
)
from cactusledge.records.crash_evidence import STOP_AFTER, CrashEvidence
from cactusledge.records.gateway_messages import CrashedRun, RequestKeys

ENGINES = [
    Replica(f'e{number}', 'svc', '10.0.0.1', 80, 'dc', 8, False, 1)
    for number in range(6)
]
CAUSE = RequestKeys('cause', '/cause')
FRESH = RequestKeys('fresh', '/fresh')
BYSTANDERS = [RequestKeys(f'b{one}', f'/b{one}') for one in range(24)]


@pytest.fixture(name='evidence')
def new_evidence():
    return CrashEvidence()


@pytest.fixture(name='suspects')
def new_suspects(evidence):
    return Suspects(evidence)


def end(evidence, number, *running):
    for keys in running:
        evidence.add(CrashedRun(f'x{number}', 1, keys, 0), 100 + number)


def place(suspects, keys, engines):
    """Returns the engine of a request, all else being equal."""
    risk_ms = suspects.risk_of(keys, 0)
    return min(engines, key=lambda one: (risk_ms(one), random.random()))


# Requests that ran beside the cause were all sent to the next endpoint with it,
# and then looked like the cause.
@pytest.mark.parametrize('gateways', [1, 8, 171])
def test_bystanders_do_not_follow_the_cause(evidence, gateways):
    running = [CAUSE, *BYSTANDERS]
    engines = list(ENGINES)
    for number in range(STOP_AFTER):
        end(evidence, number, *running)
        suspects = [Suspects(evidence) for _ in range(gateways)]
        placed = {
            keys: place(random.choice(suspects), keys, engines)
            for keys in running
        }
        lost = placed[CAUSE]
        running = [keys for keys in running if placed[keys] is lost]
        engines.remove(lost)
    assert len(running) <= 2
    assert evidence.stopped_for_s(CAUSE, 103) or len(running) > 1


def test_fresh_request_avoids_an_endpoint_with_a_likely_cause(
    evidence, suspects
):
    for number in range(LIKELY_AFTER):
        end(evidence, number, CAUSE)
    with suspects.running('e0', CAUSE):
        assert suspects.risk_of(FRESH, 0)(ENGINES[0]) == AVOID_MS
        assert suspects.risk_of(FRESH, 0)(ENGINES[1]) == 0
    assert suspects.risk_of(FRESH, 0)(ENGINES[0]) == 0


def test_suspects_avoid_each_other(evidence, suspects):
    end(evidence, 1, *BYSTANDERS[:2])
    with suspects.running('e0', BYSTANDERS[0]):
        assert suspects.risk_of(BYSTANDERS[1], 0)(ENGINES[0]) >= AVOID_MS
        assert suspects.risk_of(FRESH, 0)(ENGINES[0]) == 0


def test_likely_cause_runs_once_at_a_time(evidence, suspects):
    for number in range(LIKELY_AFTER):
        assert suspects.refused_for_s(CAUSE, 100) == 0
        end(evidence, number, CAUSE)
    with suspects.running('e0', CAUSE):
        assert suspects.refused_for_s(CAUSE, 102) == RUNNING_RETRY_S
    assert suspects.refused_for_s(CAUSE, 102) == 0


def test_attempt_after_a_break_is_spread_before_the_end_is_known(suspects):
    engines = {
        min(ENGINES, key=suspects.risk_of(keys, 1)).endpoint_id
        for keys in BYSTANDERS
    }
    assert len(engines) > len(ENGINES) / 2

"""Which requests count as the cause when endpoints end; no network.

The pattern: one request crashes each endpoint that runs it and comes again,
while others that ran there beside it are sent again too.
"""

import pytest

from cactusledge.records.crash_evidence import (
    MAX_STOP_S,
    REPORT_S,
    STOP_AFTER,
    STOP_AFTER_SHARED,
    STOP_S,
    CrashEvidence,
)
from cactusledge.records.crash_history import ANSWER_TTL_S, FORGET_S
from cactusledge.records.gateway_messages import CrashedRun, RequestKeys

CAUSE = RequestKeys('cause', '/cause')
OTHER = RequestKeys('other', '/other')


@pytest.fixture(name='evidence')
def new_evidence():
    return CrashEvidence()


def end(evidence, endpoint, at_s, *running):
    """Ends an endpoint while it runs these requests."""
    for keys in running:
        evidence.add(CrashedRun(f'e{endpoint}', 1, keys, 0), at_s)


def stop(evidence, keys=CAUSE, first_s=100.0):
    """Ends as many endpoints as it takes, a second apart."""
    for number in range(STOP_AFTER):
        end(evidence, f'{keys.exact}{number}', first_s + number, keys)
    return first_s + STOP_AFTER - 1


def test_request_is_stopped_after_some_ends(evidence):
    for number in range(STOP_AFTER):
        assert not evidence.stopped_for_s(CAUSE, 100 + number)
        end(evidence, number, 100 + number, CAUSE)
    last_s = 100 + STOP_AFTER - 1
    assert evidence.stopped_for_s(CAUSE, last_s) == STOP_S
    assert not evidence.stopped_for_s(CAUSE, last_s + STOP_S)


def test_end_that_several_saw_counts_once(evidence):
    for number in range(STOP_AFTER):
        end(evidence, 1, 100 + number, CAUSE)
    assert evidence.suspicion(CAUSE) == 1


def test_further_end_stops_for_longer(evidence):
    last_s = stop(evidence)
    end(evidence, 'x', last_s + STOP_S, CAUSE)
    stopped_s = evidence.stopped_for_s(CAUSE, last_s + STOP_S)
    assert stopped_s == 2 * STOP_S
    for number in range(20):
        end(evidence, f'y{number}', last_s + STOP_S, CAUSE)
    assert evidence.stopped_for_s(CAUSE, last_s + STOP_S) == MAX_STOP_S


# Requests that ran beside the cause were refused although they are sound.
def test_request_that_ran_beside_the_cause_is_not_stopped(evidence):
    end(evidence, 0, 100, CAUSE)
    for number in range(STOP_AFTER):
        end(evidence, f'b{number}', 101 + number, CAUSE, OTHER)
    assert evidence.stopped_for_s(CAUSE, 104)
    assert not evidence.stopped_for_s(OTHER, 104)
    assert evidence.suspicion(OTHER) == 0


# Two requests that ran together at each end cannot be told apart yet.
def test_request_with_equal_ends_is_stopped_later(evidence):
    for number in range(STOP_AFTER_SHARED - 1):
        end(evidence, number, 100 + number, CAUSE, OTHER)
        assert not evidence.stopped_for_s(CAUSE, 100 + number)
    end(evidence, 'last', 110, CAUSE)
    assert evidence.stopped_for_s(CAUSE, 110)
    assert not evidence.stopped_for_s(OTHER, 110)


# While reports were under way, a request with as many ends as a known cause was
# stopped.
def test_ends_beside_a_known_cause_count_for_nobody_else(evidence):
    end(evidence, 0, 100, CAUSE, OTHER)
    end(evidence, 1, 101, CAUSE, OTHER)
    end(evidence, 2, 102, CAUSE)
    end(evidence, 3, 103, OTHER)
    assert evidence.stopped_for_s(CAUSE, 103)
    assert not evidence.stopped_for_s(OTHER, 103)


def test_other_body_of_a_stopped_target_is_suspected(evidence):
    stop(evidence)
    form = RequestKeys('form', CAUSE.target)
    assert evidence.suspicion(form) == STOP_AFTER
    evidence.add_answered((CAUSE.target,), 200)
    assert evidence.suspicion(form) == 0


def test_answered_request_is_not_suspected(evidence):
    last_s = stop(evidence)
    evidence.add_answered(CAUSE, last_s + 1)
    assert not evidence.stopped_for_s(CAUSE, last_s + 1)
    assert evidence.suspicion(CAUSE) == 0


# A common request, such as a read of one page, runs at every end by chance.
def test_request_answered_shortly_before_is_not_suspected(evidence):
    for number in range(STOP_AFTER):
        evidence.add_answered(CAUSE, 100 + number - ANSWER_TTL_S)
        end(evidence, number, 100 + number, CAUSE)
    assert not evidence.stopped_for_s(CAUSE, 100 + STOP_AFTER)


def test_answer_to_another_body_does_not_clear_a_request(evidence):
    last_s = stop(evidence)
    evidence.add_answered(RequestKeys('sound', CAUSE.target), last_s)
    assert evidence.stopped_for_s(CAUSE, last_s)


# A turn came once with its context, once with its input only, and crashed
# engines in both forms.
def test_target_is_stopped_if_several_bodies_end_endpoints(evidence):
    forms = [RequestKeys(f'form{number}', '/deadly') for number in range(3)]
    for number, form in enumerate(forms):
        end(evidence, number, 100 + number, form)
    assert evidence.stopped_for_s(RequestKeys('new', '/deadly'), 103)


# A request that ran beside both forms of the cause had more ends than either.
def test_request_that_ran_beside_several_forms_is_not_stopped(evidence):
    forms = [RequestKeys(f'form{number}', '/deadly') for number in range(2)]
    end(evidence, 'first', 100, forms[0])
    for number in range(2 * STOP_AFTER - 2):
        end(evidence, number, 101 + number, forms[number % 2], OTHER)
    assert evidence.stopped_for_s(forms[0], 105)
    assert not evidence.stopped_for_s(OTHER, 105)


def test_target_is_not_stopped_for_one_body(evidence):
    last_s = stop(evidence)
    sound = RequestKeys('sound', CAUSE.target)
    assert not evidence.stopped_for_s(sound, last_s)


def test_endpoints_lost_at_once_stop_nothing(evidence):
    for number in range(50):
        keys = [RequestKeys(f'{number}-{one}', '/x') for one in range(5)]
        evidence.add_answered(('/x',), 99)
        end(evidence, number, 100, *keys)
        assert not any(evidence.stopped_for_s(one, 100) for one in keys)


def test_evidence_reaches_others_with_its_age(evidence):
    last_s = stop(evidence)
    other = CrashEvidence()
    other.add_reported(evidence.to_report(last_s), now_s=5)
    assert other.stopped_for_s(CAUSE, 5) == pytest.approx(STOP_S)


# An instance that started later let the request through again.
def test_stopped_request_is_reported_for_as_long_as_it_is_stopped(evidence):
    last_s = stop(evidence)
    other = CrashEvidence()
    other.add_reported(evidence.to_report(last_s + STOP_S - 1), now_s=5)
    assert other.stopped_for_s(CAUSE, 5) == pytest.approx(1)


def test_old_bystanders_are_not_reported(evidence):
    end(evidence, 1, 100, OTHER)
    assert evidence.to_report(100).runs
    assert not evidence.to_report(100 + REPORT_S).runs


def test_answer_reaches_others(evidence):
    last_s = stop(evidence)
    other = CrashEvidence()
    other.add_reported(evidence.to_report(last_s), last_s)
    evidence.add_answered(CAUSE, last_s + 1)
    other.add_reported(evidence.to_report(last_s + 1), last_s + 1)
    assert not other.stopped_for_s(CAUSE, last_s + 1)


def test_ends_are_forgotten(evidence):
    last_s = stop(evidence)
    evidence.to_report(last_s + FORGET_S)
    assert evidence.suspicion(CAUSE) == 0

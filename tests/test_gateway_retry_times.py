"""Callers of a cut-off data centre, and callers after a restart of all."""

import pytest

from cactusledge.gateway.retry_times import (
    BALANCER_FAILOVER_S,
    CONNECT_RETRY_S,
    UNSURE_RETRY_S,
    quorum_retry_s,
)

CALLER_WAIT_S = 4 / 3  # a third of a turn's deadline, honoured by callers


@pytest.mark.parametrize('lost_for_s', [0, 0.5, 2, 9])
def test_callers_return_soon_after_a_restart_of_all_instances(lost_for_s):
    retry_s = quorum_retry_s(lost_for_s, was_connected=False)
    assert retry_s == CONNECT_RETRY_S
    assert retry_s < CALLER_WAIT_S


@pytest.mark.parametrize('lost_for_s', [0, 0.5, 1.5])
def test_callers_of_a_cut_off_instance_return_once_others_serve(lost_for_s):
    retry_s = quorum_retry_s(lost_for_s, was_connected=True)
    assert lost_for_s + retry_s == pytest.approx(BALANCER_FAILOVER_S)


def test_callers_that_still_come_later_are_not_put_off_for_long():
    assert quorum_retry_s(9, was_connected=True) == UNSURE_RETRY_S

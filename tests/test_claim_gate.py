"""Delays before an instance may claim logs that seem to have no owner."""

import pytest

from cactusledge.programs.logs.claims import SEED_WAIT_S, ClaimGate

INTERVAL_S = 1.0


@pytest.fixture
def gate():
    """The gate of an instance with seeds."""
    return ClaimGate(INTERVAL_S, has_seeds=True)


@pytest.mark.parametrize(
    ('after_s', 'is_expected'), [(0, False), (1.9, False), (2, True)]
)
def test_peers_have_two_heartbeats_to_report_takeovers(
    gate, after_s, is_expected
):
    assert not gate.is_open(10, accepts=True, has_peers=True)
    is_open = gate.is_open(10 + after_s, accepts=True, has_peers=True)
    assert is_open is is_expected


def test_time_before_the_instance_is_ready_does_not_count(gate):
    assert not gate.is_open(10, accepts=False, has_peers=True)
    assert not gate.is_open(20, accepts=True, has_peers=True)
    assert gate.is_open(22, accepts=True, has_peers=True)


def test_instance_alone_waits_for_its_seeds(gate):
    assert not gate.is_open(10, accepts=True, has_peers=False)
    assert gate.is_open(10 + SEED_WAIT_S, accepts=True, has_peers=False)


def test_instance_without_seeds_claims_at_once():
    gate = ClaimGate(INTERVAL_S, has_seeds=False)
    assert gate.is_open(10, accepts=True, has_peers=False)

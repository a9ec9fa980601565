"""An account's quota, divided over gateways by the stores; no network.

The pattern: one account sends many times its quota, through all gateways or a
few, while reports are lost, stores are cut from each other, and processes end.
"""

import hypothesis
import pytest
from hypothesis import strategies as st

from cactusledge.gateway.messages import Quota
from tests.quota_simulation import Load, QuotaSimulation

STEADY_S = 4.0  # after the start

quotas = st.builds(
    Quota,
    st.sampled_from([1, 5, 20, 100, 180]),
    st.sampled_from([1, 5, 20, 60, 200]),
)
loads = st.builds(
    Load,
    gateways=st.sampled_from([1, 4, 20, 62, 200]),
    stores=st.sampled_from([1, 3, 5, 9]),
    quota=quotas,
    demand=st.floats(0.3, 8),
    skew=st.floats(0, 3),
    loss=st.sampled_from([0, 0.05, 0.3]),
    seed=st.integers(0, 10**6),
)


def demand(simulation, choice):
    """Changes how much is sent."""
    simulation.demand = (0, 0.3, 0.6, 1, 3, 8)[choice % 6]


def skew(simulation, choice):
    """Moves the callers of all gateways to other ones."""
    parts = [gateway.part for gateway in simulation.gateways]
    for number, gateway in enumerate(simulation.gateways):
        gateway.part = parts[(number + choice) % len(parts)]


def cut(simulation, choice):
    """Cuts some stores from the others, or ends the cut."""
    count = len(simulation.stores)
    cut_off = choice % count if sum(simulation.side) == 0 else 0
    simulation.side = [int(one < cut_off) for one in range(count)]


def restart(simulation, choice):
    """Restarts a gateway."""
    gateways = simulation.gateways
    simulation.restart(gateways[choice % len(gateways)])


def restart_store(simulation, choice):
    """Restarts a store."""
    simulation.restart_store(choice % len(simulation.stores))


STEPS = (demand, demand, skew, cut, restart, restart_store)
steps = st.lists(
    st.tuples(st.sampled_from(STEPS), st.integers(0, 1000)), max_size=12
)


# Requests of an account came through all gateways at many times its quota.
@hypothesis.settings(max_examples=40, deadline=None, derandomize=True)
@hypothesis.given(load=loads, taken=steps)
def test_no_window_exceeds_the_quota(load, taken):
    simulation = QuotaSimulation(load)
    simulation.run(3)
    for step, choice in taken:
        step(simulation, choice)
        simulation.run(0.5 + choice % 4)
    assert simulation.most_over() <= 0


@pytest.mark.parametrize('gateways', [1, 8, 62, 171])
@pytest.mark.parametrize('quota', [Quota(2, 4), Quota(20, 20), Quota(180, 60)])
@pytest.mark.parametrize('skew', [0, 2])
def test_quota_is_used_where_there_is_demand(gateways, quota, skew):
    simulation = QuotaSimulation(Load(gateways, 9, quota, 4, skew))
    simulation.run(20)
    assert simulation.rate_per_s(STEADY_S) >= 0.9 * quota.rate_per_s
    assert simulation.most_over() <= 0


# Requests within a quota were refused while another store had room left.
@pytest.mark.parametrize('gateways', [1, 8, 62])
@pytest.mark.parametrize('quota', [Quota(1, 5), Quota(5, 5), Quota(150, 100)])
@pytest.mark.parametrize('seed', range(3))
def test_account_far_below_its_quota_is_not_refused(gateways, quota, seed):
    load = Load(gateways, 9, quota, 0.45, 1, seed=seed)
    simulation = QuotaSimulation(load)
    simulation.run(30)
    assert simulation.share_taken(STEADY_S) >= 1


# Most requests of a busy fleet waited for a store.
def test_large_account_below_its_quota_asks_nobody():
    simulation = QuotaSimulation(Load(62, 9, Quota(180, 60), 0.62))
    simulation.run(STEADY_S)
    asked = simulation.asked
    simulation.run(10)
    assert simulation.asked - asked < 0.05 * 180 * 0.62 * 10


# Over a quota all programs ended half done.
@pytest.mark.parametrize('demand', [2, 4])
def test_first_ranks_are_mostly_served(demand):
    load = Load(62, 9, Quota(150, 150), demand)
    simulation = QuotaSimulation(load)
    simulation.run(20)
    first = sum(rank < 0.5 / demand for rank in simulation.ranks)
    assert first >= 0.8 * len(simulation.sent_s) * 0.5 / demand
    assert simulation.most_over() <= 0


# A burst began on both sides of a cut between data centres.
@pytest.mark.parametrize('before', [0, 0.6])
@pytest.mark.parametrize('quota', [Quota(2, 4), Quota(60, 30), Quota(180, 60)])
def test_two_sides_of_a_cut_keep_to_a_quota_together(quota, before):
    simulation = QuotaSimulation(Load(62, 9, quota, before, 1))
    simulation.run(6)
    simulation.side = [0, 0, 0, 1, 1, 1, 1, 1, 1]
    simulation.demand = 8
    simulation.run(20)
    assert simulation.most_over() <= 0
    assert simulation.rate_per_s(10) >= 0.8 * quota.rate_per_s


# Callers of a lost store's gateways had only the parts of the others.
def test_gateways_of_a_lost_store_share_the_part_of_its_neighbours():
    simulation = QuotaSimulation(Load(62, 9, Quota(60, 60), 0.6))
    simulation.run(6)
    simulation.side = [1, 0, 0, 0, 0, 0, 0, 0, 0]
    for gateway in simulation.gateways:
        gateway.store = gateway.store or 1
    simulation.run(20)
    refused = 1 - simulation.share_taken(8)
    assert refused * 50 <= 1


# Instances that are cut off from all stores kept to the whole quota.
@pytest.mark.parametrize('cut_off', [3, 62])
def test_gateways_without_a_store_keep_to_their_part(cut_off):
    simulation = QuotaSimulation(Load(62, 9, Quota(20, 20), 8))
    simulation.run(6)
    for gateway in simulation.gateways[:cut_off]:
        gateway.is_cut = True
    simulation.run(20)
    assert simulation.most_over() <= 0
    assert simulation.rate_per_s(10) >= 18


# A smaller quota counted only once a burst of the larger one was used.
def test_smaller_quota_binds_soon_and_a_larger_one_at_once():
    simulation = QuotaSimulation(Load(62, 9, Quota(60, 120), 0.1))
    simulation.run(6)
    simulation.change_quota(Quota(10, 5))
    simulation.run(1)
    simulation.demand = 4
    simulation.run(8)
    assert simulation.most_over(7) <= 0
    simulation.change_quota(Quota(60, 120))
    simulation.run(4)
    assert simulation.rate_per_s(15.5) >= 0.9 * 60

"""An endpoint's limit, divided over gateways by the stores; no network.

The pattern: an endpoint in need names a limit that is smaller than the demand,
sometimes smaller than the number of gateways, while reports are lost, demand
moves and processes end.
"""

import hypothesis
import pytest
from hypothesis import strategies as st

from tests.limits_simulation import STABLE_S, WINDOW_S, LimitSimulation, Load

RUN_S = 14.0
STEADY_S = 4.0  # after the first answer that names a limit


def allowed(limit_per_s):
    """Returns the requests that any window may see."""
    return 1.5 * limit_per_s * WINDOW_S + 5


loads = st.builds(
    Load,
    gateways=st.integers(1, 200),
    stores=st.integers(1, 5),
    limit_per_s=st.floats(0.5, 40),
    demand_per_s=st.floats(1, 150),
    skew=st.floats(0, 3),
    loss=st.floats(0, 0.3),
    seed=st.integers(0, 10**6),
)


@hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
@hypothesis.given(load=loads)
def test_limit_holds_for_all_gateways_together(load):
    simulation = LimitSimulation(load)
    simulation.run(RUN_S)
    assert simulation.most_in_window() <= allowed(load.limit_per_s)


@pytest.mark.parametrize('gateways', [1, 8, 32, 171])
@pytest.mark.parametrize('limit_per_s', [1.0, 2.6, 20.0])
@pytest.mark.parametrize('skew', [0, 2])
def test_limit_is_used_where_there_is_demand(gateways, limit_per_s, skew):
    load = Load(gateways, 4, limit_per_s, demand_per_s=80, skew=skew)
    simulation = LimitSimulation(load)
    simulation.run(34)
    rate = simulation.rate_per_s(STEADY_S, 34)
    assert 0.85 * limit_per_s <= rate <= 1.1 * limit_per_s


def test_requests_go_where_the_demand_is():
    simulation = LimitSimulation(Load(gateways=4, skew=1, limit_per_s=10))
    simulation.run(30)
    by_name = {
        gateway.name: sum(
            name == gateway.name and at_s > STEADY_S
            for at_s, name in simulation.arrivals
        )
        for gateway in simulation.gateways
    }
    assert by_name['f0'] > 2 * by_name['f3']
    assert by_name['f3']


# Instances that are cut off from all stores kept to the whole limit.
@pytest.mark.parametrize('cut', [1, 2, 4])
def test_gateways_without_a_store_keep_to_their_part(cut):
    simulation = LimitSimulation(Load(gateways=8, limit_per_s=8))
    simulation.run(5)
    for gateway in simulation.gateways[:cut]:
        gateway.is_cut = True
    simulation.run(10)
    names = {f'f{number}' for number in range(cut)}
    sent = sum(
        name in names and at_s >= 7 for at_s, name in simulation.arrivals
    )
    assert sent <= cut * (15 - 7) + cut


# Instances that start again, or get another demand, began with a burst.
@pytest.mark.parametrize('gateways', [8, 100])
def test_restarts_and_moving_demand_bring_no_burst(gateways):
    simulation = LimitSimulation(Load(gateways=gateways, limit_per_s=4))
    for step in range(10):
        simulation.run(1)
        one = simulation.gateways[step % gateways]
        simulation.restart(one)
        simulation.swap_demand(one, simulation.gateways[-1 - step % gateways])
        if step % 3 == 0:
            simulation.restart_store(step % 4)
    assert simulation.most_in_window() <= allowed(4)


def test_smaller_limit_holds_once_it_is_named():
    simulation = LimitSimulation(Load(limit_per_s=20))
    simulation.run(8)
    simulation.limit_per_s = 3
    simulation.run(10)
    assert simulation.most_in_window(8 + STABLE_S) <= allowed(3)

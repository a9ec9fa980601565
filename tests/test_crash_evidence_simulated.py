"""Requests that crash endpoints, among sound ones; no network.

The pattern: causes come again and again at any gateway while endpoints end,
also by themselves, reports are lost and gateways start anew. Callers of sound
requests send them again until they are answered.
"""

import pytest

from cactusledge.records.crash_evidence import STOP_AFTER
from tests.crash_simulation import CrashSimulation, Load

RUN_S = 12.0
STABLE_S = 3.0  # after the last end that is allowed, until a cause must stop
MOST_RETRIES = 3  # that end endpoints later than that

LOADS = {
    'one-gateway': Load(gateways=1, stores=1),
    'eight-gateways': Load(),
    'many-gateways': Load(gateways=171, stores=5, endpoints=32),
    'few-endpoints': Load(endpoints=3),
    'much-at-stake': Load(sound_per_s=200),
}
HARD_LOADS = {
    **LOADS,
    'lost-reports': Load(loss=0.3),
    'three-causes': Load(causes=3),
    'three-causes-lost-reports': Load(causes=3, loss=0.3),
    'ten-causes': Load(causes=10, seed=2),
}


def simulated(load):
    simulation = CrashSimulation(load)
    simulation.run(RUN_S)
    return simulation


# One end more than needed may come in the delay of the reports.
@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('name', LOADS)
def test_one_cause_ends_few_endpoints(name, seed):
    simulation = simulated(LOADS[name]._replace(seed=seed))
    counts = [len(ends_s) for ends_s in simulation.ends.values()]
    assert max(counts) <= STOP_AFTER + 1


@pytest.mark.parametrize('name', HARD_LOADS)
def test_cause_is_stopped_in_time(name):
    for ends_s in simulated(HARD_LOADS[name]).ends.values():
        allowed = sorted(ends_s)[:STOP_AFTER]
        late = [at_s for at_s in ends_s if at_s > allowed[-1] + STABLE_S]
        assert len(late) <= MOST_RETRIES


# Requests that ran beside a cause were refused although they were sound.
@pytest.mark.parametrize('name', HARD_LOADS)
def test_sound_requests_are_not_stopped(name):
    assert not simulated(HARD_LOADS[name]).refused


# Racks and data centres that are lost have no request as their cause.
@pytest.mark.parametrize('share', [0.25, 0.5, 1])
def test_ends_by_no_request_stop_nothing(share):
    simulation = CrashSimulation(Load(causes=0))
    for number in range(6):
        simulation.end_some(1 + 1.5 * number, share)
    simulation.run(RUN_S)
    assert not simulation.refused


def test_gateways_that_start_anew_learn_what_is_stopped():
    simulation = CrashSimulation(Load())
    for number in range(20):
        simulation.restart_gateway(1 + number / 2)
    simulation.run(RUN_S)
    counts = [len(ends_s) for ends_s in simulation.ends.values()]
    assert max(counts) <= STOP_AFTER + 1

"""Engine groups: partition, preference order and policy."""

import pytest

from cactusledge.models import Address, CallKind, Endpoint
from cactusledge.programs.engines.groups import EngineGroups, policy_of
from cactusledge.routing.policy import CACHE_FIRST, LATENCY_FIRST
from cactusledge.settings.configuration import Configuration, Program, Weights

GROUP_SIZE = 2


class Engines:
    """Five engines in two data centres."""

    def all(self):
        return tuple(
            Endpoint(
                f'engine-{index}',
                'm',
                CallKind.MODEL,
                Address('127.0.0.1', index),
                'bole' if index < 3 else 'kirkos',
            )
            for index in range(5)
        )


@pytest.fixture
def groups():
    engine_groups = EngineGroups(GROUP_SIZE)
    engine_groups.refresh(Engines())
    return engine_groups


def test_every_engine_has_a_group_in_its_data_centre(groups):
    keys = [groups.key_of(one.name) for one in Engines().all()]
    data_centres = [one.data_centre for one in Engines().all()]
    assert [key.data_centre for key in keys] == data_centres
    assert max(keys.count(key) for key in keys) <= GROUP_SIZE
    assert groups.key_of('another') is None


@pytest.mark.parametrize('last', ['', 'engine-0', 'engine-4'])
def test_group_of_last_engine_precedes_the_nearest_groups(groups, last):
    candidates = groups.candidates('bole-0.ab', last, Engines().all())
    if last:
        assert candidates[0] == groups.key_of(last)
    data_centres = [
        key.data_centre for key in candidates if key != groups.key_of(last)
    ]
    assert data_centres == sorted(data_centres)
    assert len(set(candidates)) == len(candidates) == 3


@pytest.mark.parametrize(
    ('latency', 'wasted_cache', 'policy'),
    [(4, 1, LATENCY_FIRST), (1, 3, CACHE_FIRST), (1, 1, LATENCY_FIRST)],
)
def test_program_weights_select_the_policy(latency, wasted_cache, policy):
    program = Program('p', ('m',), (), 1, 1, 1, 1, 1, 1)
    weighted = program._replace(weights=Weights(latency, wasted_cache))
    config = Configuration(programs={'p': weighted})
    assert policy_of('m', config) is policy
    assert policy_of('other', config) is LATENCY_FIRST

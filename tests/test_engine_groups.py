"""Engine groups of an instance: splitting, order to ask, policy."""

import pytest

from cactusledge.models import Address, CallKind, Endpoint
from cactusledge.programs.engine_groups import EngineGroups, policy_of
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
    split = EngineGroups(GROUP_SIZE)
    split.refresh(Engines())
    return split


def test_every_engine_has_a_group_of_its_data_centre(groups):
    keys = [groups.key_of(one.name) for one in Engines().all()]
    places = [one.data_centre for one in Engines().all()]
    assert [key.data_centre for key in keys] == places
    assert max(keys.count(key) for key in keys) <= GROUP_SIZE
    assert groups.key_of('another') is None


@pytest.mark.parametrize('last', ['', 'engine-0', 'engine-4'])
def test_warm_group_goes_first_and_then_the_nearest(groups, last):
    asked = groups.candidates('bole-0.ab', last, Engines().all())
    if last:
        assert asked[0] == groups.key_of(last)
    places = [key.data_centre for key in asked if key != groups.key_of(last)]
    assert places == sorted(places)
    assert len(set(asked)) == len(asked) == 3


@pytest.mark.parametrize(
    ('latency', 'wasted_cache', 'policy'),
    [(4, 1, LATENCY_FIRST), (1, 3, CACHE_FIRST), (1, 1, LATENCY_FIRST)],
)
def test_definitions_weigh_the_policy(latency, wasted_cache, policy):
    program = Program('p', ('m',), (), 1, 1, 1, 1, 1, 1)
    weighed = program._replace(weights=Weights(latency, wasted_cache))
    config = Configuration(programs={'p': weighed})
    assert policy_of('m', config) is policy
    assert policy_of('other', config) is LATENCY_FIRST

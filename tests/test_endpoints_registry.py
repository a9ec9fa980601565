"""Registry: a leaving incarnation stays so, whichever source reported it."""

import pytest

from cactusledge.endpoints.registry import EndpointRegistry, LeavingIncarnation
from cactusledge.models import Address, CallKind, Endpoint

FIRST = Endpoint(
    'e-1', 'agent', CallKind.MODEL, Address('127.0.0.1', 1), 'bole', 'a'
)
OTHER = FIRST._replace(name='e-2')
ELSEWHERE = FIRST._replace(name='e-3', data_centre='yeka')
LEAVING_FIRST = LeavingIncarnation('e-1', 'a')


def available_names(registry, data_centre='bole'):
    return [one.name for one in registry.available('agent', data_centre)]


@pytest.fixture(name='registry')
def listed_registry():
    registry = EndpointRegistry()
    registry.replace_all([FIRST, OTHER, ELSEWHERE])
    return registry


def test_available_is_by_service_and_data_centre(registry):
    assert available_names(registry) == ['e-1', 'e-2']
    assert available_names(registry, 'yeka') == ['e-3']
    assert not registry.available('another', 'bole')


@pytest.mark.parametrize(
    'source',
    [
        lambda registry: registry.put(FIRST._replace(leaving=True)),
        lambda registry: registry.mark_leaving(LEAVING_FIRST),
    ],
    ids=['list', 'refusal or peer'],
)
@pytest.mark.parametrize(
    ('listed', 'expected'),
    [
        ([FIRST, OTHER], ['e-2']),  # a stale list cannot revoke it
        ([OTHER], ['e-2']),
        ([FIRST._replace(incarnation='b'), OTHER], ['e-1', 'e-2']),
    ],
    ids=['same', 'gone', 'replaced'],
)
def test_only_a_new_incarnation_is_available_again(
    registry, source, listed, expected
):
    source(registry)
    assert available_names(registry) == ['e-2']
    registry.replace_all(listed)
    assert available_names(registry) == expected
    registry.remove('e-1')
    registry.put(FIRST)
    assert available_names(registry) == ['e-2']


def test_leaving_may_be_reported_before_the_endpoint_is_listed():
    registry = EndpointRegistry()
    assert registry.mark_leaving(LEAVING_FIRST)
    assert not registry.mark_leaving(LEAVING_FIRST)
    registry.put(FIRST)
    assert not available_names(registry)
    assert registry.find('e-1').leaving
    assert registry.leaving() == (LEAVING_FIRST,)


def test_endpoint_moves_between_data_centres(registry):
    registry.put(FIRST._replace(data_centre='yeka'))
    assert available_names(registry) == ['e-2']
    assert available_names(registry, 'yeka') == ['e-1', 'e-3']
    registry.replace_all([])
    assert not registry.groups()


def test_leaving_records_are_bounded():
    registry = EndpointRegistry(max_leaving=2)
    for number in range(3):
        registry.mark_leaving(LeavingIncarnation('e-1', str(number)))
    assert [word.incarnation for word in registry.leaving()] == ['1', '2']

"""Which endpoint a call goes to, from tracked loads; no network."""

import pytest

from cactusledge.gateway.loads import Loads
from cactusledge.gateway.messages import PromptPart, Replica
from cactusledge.gateway.placement import (
    Terms,
    choose_engine,
    choose_service,
    healthy,
    queueing_ms,
)

HERE = 'dc-a'


def replica(endpoint_id, data_centre=HERE, service='svc', **changes):
    base = Replica(
        endpoint_id, service, '10.0.0.1', 80, data_centre, 4, False, 1
    )
    return base._replace(**changes)


def test_engine_with_the_cached_prompt_is_chosen():
    loads = Loads()
    parts = (PromptPart('shared', 12000), PromptPart('own', 1700))
    engines = (replica('cold'), replica('warm'))
    loads.at(engines[1]).add_cached_parts(parts)
    loads.of('warm').in_flight = 2
    assert (
        choose_engine(engines, loads, parts, Terms(HERE, 0)).endpoint_id
        == 'warm'
    )


@pytest.mark.parametrize(('in_flight', 'chosen'), [(0, 'near'), (4, 'far')])
def test_remote_engine_with_cached_prompt_is_chosen_if_prefill_delays_others(
    in_flight, chosen
):
    loads = Loads()
    parts = (PromptPart('shared', 12000), PromptPart('own', 1700))
    engines = (replica('near', slots=8), replica('far', 'dc-b', slots=8))
    loads.at(engines[1]).add_cached_parts(parts)
    for endpoint_id in ('near', 'far'):
        loads.of(endpoint_id).in_flight = in_flight
    assert (
        choose_engine(engines, loads, parts, Terms(HERE, 0)).endpoint_id
        == chosen
    )


def test_overloaded_engine_with_cached_prompt_is_not_chosen():
    loads = Loads()
    parts = (PromptPart('own', 1600),)
    engines = (replica('warm'), replica('cold'))
    loads.at(engines[0]).add_cached_parts(parts)
    loads.of('warm').in_flight = 8
    assert (
        choose_engine(engines, loads, parts, Terms(HERE, 0)).endpoint_id
        == 'cold'
    )


def test_all_tokens_after_the_first_uncached_part_count():
    load = Loads().of('e')
    load.add_cached_parts((PromptPart('b', 5),))
    parts = (PromptPart('a', 10), PromptPart('b', 5))
    assert load.uncached_tokens(parts) == 15


def test_slow_replica_of_a_service_is_avoided():
    loads = Loads()
    for _ in range(20):
        loads.of('slow').record_success(400, 0)
        loads.of('sound').record_success(20, 0)
    found = choose_service(
        (replica('slow'), replica('sound', 'dc-b')), loads, Terms(HERE, 0)
    )
    assert found.endpoint_id == 'sound'


def test_fast_failing_replica_does_not_attract_load():
    """Errors come fast, so a failing replica looks idle and quick."""
    loads = Loads()
    failing, sound = replica('failing'), replica('sound')
    loads.of('failing').record_error_sample(0, is_error=True)
    loads.of('sound').in_flight = 3
    for choose in (
        lambda now_s: choose_service(
            (failing, sound), loads, Terms(HERE, now_s)
        ),
        lambda now_s: choose_engine(
            (failing, sound), loads, (), Terms(HERE, now_s)
        ),
    ):
        assert choose(0.1) == sound
        assert choose(60) == failing


def test_one_error_among_many_responses_weighs_little():
    load = Loads().of('e')
    load.record_error_sample(0, is_error=True)
    for _ in range(20):
        load.record_error_sample(0, is_error=False)
    assert round(load.error_share(0), 2) == 0


def test_failed_endpoint_is_avoided_while_others_are_left():
    loads = Loads()
    loads.of('e1').record_failure(now_s=10)
    both = (replica('e1'), replica('e2'))
    assert healthy(both, loads, (), 10.1) == [both[1]]
    assert healthy(both, loads, {'e2'}, 10.1) == [both[0]]
    assert len(healthy(both, loads, (), 11)) == 2


def test_queueing_delay_grows_with_load():
    waits = [queueing_ms(in_flight, 4) for in_flight in range(12)]
    assert waits == sorted(waits)

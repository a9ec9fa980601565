"""Scheduling decisions for an engine group."""

import pytest

from cactusledge.models import Usage
from cactusledge.routing import types
from cactusledge.routing.policy import PolicySettings
from cactusledge.routing.scheduler import GroupScheduler

KEY = types.GroupKey('tw-1', 'booking')
SMALL = types.EngineLimits(max_batch=2, kv_tokens=50_000)
JOB = types.Job(
    job_id='j',
    program_id='p',
    account='buyers',
    model='booking',
    prefix=(1, 2, 3, 4),
    prompt_tokens=1024,
    max_output_tokens=100,
    turn=1,
    submitted_s=0,
    deadline_s=100,
    program_started_s=0,
    common_chunks=1,
)


def views(*names, **changes):
    return [types.EngineView(name, SMALL, **changes) for name in names]


def job(name, program='', **changes):
    return JOB._replace(job_id=name, program_id=program or name, **changes)


def done(name, ok=True, latency_s=2.0, cached=0):
    return types.JobResult(name, Usage(1024, cached, 100), ok, latency_s)


def granted(effects):
    return [
        (effect.job_id, effect.engine)
        for effect in effects
        if isinstance(effect, types.Grant)
    ]


def refused(effects):
    return [
        effect.reason for effect in effects if isinstance(effect, types.Refusal)
    ]


def build_group(*names, **settings):
    group = GroupScheduler(KEY, PolicySettings(**settings))
    group.set_engines(views(*names), 0)
    return group


@pytest.fixture
def make_group():
    return build_group


def fill(group, count, now=0, **changes):
    for number in range(count):
        group.submit(job(f'fill{number}', **changes), now)


def test_sends_only_what_the_engines_can_batch(make_group):
    group = make_group('e1', 'e2')
    sent = [granted(group.submit(job(f'j{num}'), 0)) for num in range(6)]
    assert sum(map(len, sent)) == 4
    assert group.summary('', 0).waiting == 2
    assert len(granted(group.finish(done('j0'), 2))) == 1


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        pytest.param({'turn': 1}, {'turn': 2}, id='later turn'),
        pytest.param(
            {'remaining_estimate_s': 50.0, 'turn': 2},
            {'remaining_estimate_s': 5.0, 'turn': 2},
            id='expected end of the program',
        ),
        pytest.param(
            {'account': 'heavy', 'turn': 2},
            {'account': 'light', 'turn': 2},
            id='share',
        ),
        pytest.param(
            {'turn': 2, 'submitted_s': 2.0},
            {'turn': 1, 'submitted_s': -30.0},
            id='starvation bound',
        ),
    ],
)
def test_second_job_is_served_first(make_group, first, second):
    group = make_group('e1')
    group.submit(job('warm', account='light'), 0)
    group.finish(done('warm'), 1)
    fill(group, 2, account='heavy')
    group.submit(job('a', **first), 1)
    group.submit(job('b', **second), 1)
    assert granted(group.finish(done('fill0'), 2)) == [('b', 'e1')]


def test_later_turn_waits_for_engine_with_its_cache(make_group):
    group = make_group('e1', 'e2')
    prefix = tuple(range(100))
    first = job('a', 'p', prefix=prefix, prompt_tokens=25_600)
    home = granted(group.submit(first, 0))[0][1]
    group.finish(done('a'), 4)
    fill(group, 1, 4, prefix=())
    again = first._replace(job_id='b', turn=2)
    assert granted(group.submit(again, 4)) == [('b', home)]


def test_cache_is_released_when_program_moves(make_group):
    group = make_group('e1')
    group.submit(job('a', 'p'), 0)
    group.finish(done('a'), 1)
    group.set_engines([*views('e1', leaving=True), *views('e2')], 1)
    effects = group.submit(job('b', 'p', turn=2), 2)
    assert effects == [types.Grant('b', 'e2'), types.CacheRelease('e1', 'p')]


def test_ended_program_is_released_once(make_group):
    group = make_group('e1')
    group.submit(job('a', 'p'), 0)
    group.finish(done('a'), 1)
    release = types.CacheRelease('e1', 'p')
    assert release in group.program_ended('p', 1)
    assert group.program_ended('p', 1) == []


@pytest.mark.parametrize(
    ('change', 'now', 'reason'),
    [
        ({'deadline_s': 5.0}, 6, ['deadline_exceeded']),
        ({'deadline_s': 40.0}, 30, ['deadline_exceeded']),
        ({}, 20, []),
        ({'deadline_s': 40.0, 'turn': 2}, 30, []),
    ],
)
def test_deadlines(make_group, change, now, reason):
    effects = make_group('e1').submit(job('a', **change), now)
    assert refused(effects) == reason


def test_overload_refuses_new_programs_and_spreads_their_return(make_group):
    group = make_group('e1', starvation_s=1000.0)
    fill(group, 2)
    for number in range(40):
        late = job(f'n{number}', submitted_s=float(number), deadline_s=1e6)
        group.submit(late, number)
    group.finish(done('fill0'), 40)
    group.finish(done('fill1'), 50)
    effects = [
        group.submit(job(f'x{num}', deadline_s=1e6), 51) for num in range(20)
    ]
    waits = {one.retry_after_s for found in effects for one in found}
    assert all(refused(found) == ['overloaded'] for found in effects)
    assert len(waits) == 20
    assert max(waits) <= 2 * min(waits) + 2
    assert refused(group.submit(job('y', turn=2, deadline_s=1e6), 51)) == []


def test_account_below_its_share_is_not_refused_for_the_others(make_group):
    group = make_group('e1', starvation_s=1000.0)
    fill(group, 2, account='hot')
    for number in range(20):
        waiting = job(f'n{number}', account='hot', deadline_s=1e6)
        group.submit(waiting, number)
    group.finish(done('fill0'), 40)
    group.finish(done('fill1'), 50)
    late = job('x', program_started_s=51, deadline_s=1e6)
    assert refused(group.submit(late._replace(account='hot'), 51))
    assert refused(group.submit(late._replace(account='calm'), 51)) == []


def test_job_without_usable_engine_is_refused(make_group):
    group = make_group('e1')
    group.set_engines(views('e1', leaving=True), 1)
    assert refused(group.submit(job('a'), 1)) == ['no_endpoint']


@pytest.mark.parametrize(
    ('incarnation', 'usable'), [('', False), ('second', True)]
)
def test_leaving_engine_returns_only_as_new_incarnation(
    make_group, incarnation, usable
):
    group = make_group('e1')
    group.submit(job('a'), 0)
    group.set_engines(views('e1', leaving=True), 1)
    group.finish(done('a'), 2)
    group.set_engines(views('e1', incarnation=incarnation), 3)
    assert bool(granted(group.submit(job('b'), 3))) is usable


def test_unlisted_engine_finishes_and_may_return(make_group):
    group = make_group('e1')
    group.submit(job('a'), 0)
    group.set_engines([], 1)
    assert refused(group.submit(job('b'), 1)) == ['no_endpoint']
    group.set_engines(views('e1'), 2)
    assert granted(group.submit(job('c'), 2)) == [('c', 'e1')]
    assert group.summary('', 2).running == 2


def test_failing_engine_is_only_probed(make_group):
    group = make_group('e1')
    for number in range(3):
        group.submit(job(f'f{number}', turn=2), 0)
        group.finish(done(f'f{number}', ok=False), 0)
    probes = []
    for probe in range(3):
        probes.extend(granted(group.submit(job(f'p{probe}', turn=2), 1)))
    assert len(probes) == 1
    assert len(granted(group.finish(done('p0'), 2))) == 2


def test_retries_are_refused_once_budget_is_spent(make_group):
    group = make_group('e1', retry_burst=1.0, retry_ratio=0)
    reasons = [
        refused(group.submit(job(f'r{num}', turn=2, retry=True), 0))
        for num in range(3)
    ]
    assert reasons == [[], [], ['retry_budget']]


@pytest.mark.parametrize(
    ('timestamp_s', 'running', 'left'),
    [(5.0, 0, 1), (60.0, 1, 1), (60.0, 0, 0)],
)
def test_lost_grant_ends_after_an_idle_report(
    make_group, timestamp_s, running, left
):
    group = make_group('e1')
    group.submit(job('a'), 0)
    group.report(
        types.EngineReport('e1', timestamp_s, running, 0, 0), timestamp_s
    )
    assert group.summary('', timestamp_s).running == left


def test_sequences_of_another_owner_occupy_slots(make_group):
    group = make_group('e1')
    for timestamp_s in (1.0, 2.0):
        group.report(
            types.EngineReport('e1', timestamp_s, 2, 1, 0), timestamp_s
        )
    assert granted(group.submit(job('a'), 2)) == []
    for timestamp_s in (3.0, 4.0):
        effects = group.report(
            types.EngineReport('e1', timestamp_s, 0, 0, 0), 4
        )
        assert len(granted(effects)) <= 1
    assert group.summary('', 4).running == 1


def test_lost_grant_expires_at_maximum_age(make_group):
    group = make_group('e1', max_grant_age_s=100.0)
    group.submit(job('a'), 0)
    assert types.CacheRelease('e1', 'a') in group.tick(101)
    assert group.summary('', 101).running == 0


def test_long_pause_cache_is_released_under_memory_pressure(make_group):
    group = make_group('e1', pressure_share=0.8)
    for name in ('long', 'short'):
        group.submit(job(name, prompt_tokens=22_000), 0)
        group.finish(done(name), 1)
    assert group.program_paused('short', 2, 1) == []
    effects = group.program_paused('long', 60, 1)
    assert effects == [types.CacheRelease('e1', 'long')]

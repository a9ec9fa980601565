"""Cost of a scheduling decision and of the endpoint directory."""

import time
import tracemalloc
from collections.abc import Iterator

from benchmarks.capacity_series import Series
from cactusledge.endpoints.directory import EndpointDirectory
from cactusledge.models import Usage
from cactusledge.objects.store import ObjectList, StoredObject, WatchEvent
from cactusledge.routing import types
from cactusledge.routing.policy import LATENCY_FIRST
from cactusledge.routing.scheduler import GroupScheduler

ENGINES = (8, 65, 260)
PROGRAMS_PER_ENGINE = 10
GRANTS = 400
CHUNKS = 200  # of a history of 51,200 tokens
ENDPOINTS = (100, 775, 1550, 3100)
EVENTS = 20
US_PER_S = 1_000_000
MS_PER_S = 1000
KB = 1000


def _job(number: int, programs: int, now_s: float) -> types.Job:
    program = number % programs
    turn = number // programs + 1
    return types.Job(
        job_id=f'job-{number}',
        program_id=f'program-{program}',
        account=f'account-{program % 100}',
        model='model',
        prefix=tuple(range(program * CHUNKS, (program + 1) * CHUNKS)),
        prompt_tokens=CHUNKS * 256,
        max_output_tokens=512,
        turn=turn,
        submitted_s=now_s,
        deadline_s=now_s + 60,
        program_started_s=now_s,
    )


def _decide(engines: int) -> tuple[float, ...]:
    key = types.GroupKey('data-centre', 'model')
    scheduler = GroupScheduler(key, LATENCY_FIRST)
    limits = types.EngineLimits(max_batch=16, kv_tokens=2_000_000)
    views = [
        types.EngineView(f'engine-{number}', limits)
        for number in range(engines)
    ]
    scheduler.set_engines(views, 0)
    programs = engines * PROGRAMS_PER_ENGINE
    tracemalloc.start()
    _run(scheduler, programs, 0, programs)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began_s = time.process_time()
    granted = _run(scheduler, programs, programs, GRANTS)
    spent_s = time.process_time() - began_s
    return (
        engines,
        spent_s * US_PER_S / max(1, granted),
        granted / GRANTS,
        held / KB / programs,
    )


def _run(
    scheduler: GroupScheduler,
    programs: int,
    first: int,
    count: int,
) -> int:
    """Submits and finishes jobs one after the other; returns the grants."""
    granted = 0
    usage = Usage(CHUNKS * 256, 0, 100)
    for number in range(first, first + count):
        now_s = float(number)
        job = _job(number, programs, now_s)
        effects = scheduler.submit(job, now_s)
        granted += sum(isinstance(one, types.Grant) for one in effects)
        finish = types.JobResult(job.job_id, usage, ok=True, latency_s=0.5)
        scheduler.finish(finish, now_s + 0.5)
    return granted


def _endpoint(number: int, incarnation: int = 0) -> StoredObject:
    body = {
        'role': 'endpoint',
        'service': f'model-{number % 6}',
        'kind': 'model',
        'address': f'10.0.{number // 250}.{number % 250}:8000',
        'data_centre': f'data-centre-{number % 8}',
        'incarnation': str(incarnation),
    }
    return StoredObject('instances', f'engine-{number:05}', '1', body)


def _ignore_change() -> None:
    """Takes the place of the queues."""


def _follow(endpoints: int) -> tuple[float, ...]:
    listed = ObjectList(tuple(map(_endpoint, range(endpoints))), '1')
    directory = EndpointDirectory('data-centre-0', tuple, _ignore_change)
    tracemalloc.start()
    directory.on_snapshot(listed)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began_s = time.process_time()
    for number in range(EVENTS):
        event = WatchEvent('MODIFIED', _endpoint(number, 1))
        directory.on_event(event)
    event_s = (time.process_time() - began_s) / EVENTS
    began_s = time.process_time()
    for _ in range(EVENTS):
        directory.available('model-1')
    lookup_s = (time.process_time() - began_s) / EVENTS
    return (
        endpoints,
        held / KB,
        event_s * MS_PER_S,
        lookup_s * US_PER_S,
    )


def series() -> Iterator[Series]:
    """Measures decisions by engines and the directory by endpoints."""
    yield Series(
        'Scheduling decision',
        (
            'engines of a group',
            'CPU us a grant, submit and finish',
            'granted at once',
            'memory KB a program',
        ),
        tuple(_decide(engines) for engines in ENGINES),
        f'{PROGRAMS_PER_ENGINE} programs an engine, each with a history of'
        f' {CHUNKS * 256:,} tokens; nothing waits.',
    )
    yield Series(
        'Endpoint directory',
        (
            'endpoints',
            'memory KB',
            'CPU ms an event',
            'CPU us a look-up of a service',
        ),
        tuple(_follow(endpoints) for endpoints in ENDPOINTS),
    )

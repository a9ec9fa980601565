"""Futures that the dispatcher resolves for its client."""

import pykka
import pytest

from cactusledge.errors import ErrorCode
from cactusledge.models import Address, CallKind, Endpoint, Outcome, Usage
from cactusledge.routing import errors, types
from cactusledge.routing.client import DispatcherClient
from cactusledge.routing.dispatcher import Dispatcher
from cactusledge.routing.policy import PolicySettings

KEY = types.GroupKey('bole', 'ledger')
WAIT_S = 5.0
JOB = types.Job(
    job_id='j1',
    program_id='p1',
    account='kiosk',
    model='ledger',
    prefix=(1, 2, 3),
    prompt_tokens=800,
    max_output_tokens=100,
    turn=1,
    submitted_s=0,
    deadline_s=100,
    program_started_s=0,
)


@pytest.fixture
def effects():
    return []


@pytest.fixture
def client(effects):
    ref = Dispatcher.start(
        'instance-1', PolicySettings(), effects.append, clock=lambda: 1.0
    )
    client = DispatcherClient(ref)
    engine = Endpoint(
        'e1', 'ledger', CallKind.MODEL, Address('127.0.0.1', 1), 'bole'
    )
    client.set_engines(KEY, [engine], types.EngineLimits(max_batch=1))
    yield client
    pykka.ActorRegistry.stop_all()


def test_grant_and_finish(client, effects):
    assert client.request(KEY, JOB).get(timeout=WAIT_S) == types.Grant(
        'j1', 'e1'
    )
    second = client.request(KEY, JOB._replace(job_id='j2', turn=2))
    client.finish(KEY, types.JobResult('j1', Usage(800, 0, 50), True, 1.0))
    assert second.get(timeout=WAIT_S).engine == 'e1'
    client.program_ended(KEY, 'p1')
    assert client.summaries().get(timeout=WAIT_S)[0].running == 1
    assert effects == [types.CacheRelease('e1', 'p1')]


@pytest.mark.parametrize(
    ('key', 'job', 'code'),
    [
        (KEY, JOB._replace(deadline_s=0.5), ErrorCode.DEADLINE_EXCEEDED),
        (types.GroupKey('yeka', 'x'), JOB, ErrorCode.STOPPING),
    ],
)
def test_refused_job_is_reported_as_not_run(client, key, job, code):
    with pytest.raises(errors.OverloadedError) as caught:
        client.request(key, job).get(timeout=WAIT_S)
    assert caught.value.code == code
    assert caught.value.outcome == Outcome.NOT_RUN
    assert caught.value.retry_after_s is not None


def test_dropped_group_refuses_queued_jobs(client):
    client.request(KEY, JOB).get(timeout=WAIT_S)
    waiting = client.request(KEY, JOB._replace(job_id='j2', turn=2))
    client.drop_group(KEY)
    with pytest.raises(errors.DispatcherStoppingError):
        waiting.get(timeout=WAIT_S)

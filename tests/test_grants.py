"""Grant requests to an engine group's owner and to the next owner."""

import pykka
import pytest

from cactusledge.errors import CactusledgeError
from cactusledge.peers.errors import PeerUnreachableError
from cactusledge.programs.engines.grants import GrantRouter
from cactusledge.routing.errors import OverloadedError, stopping_error
from cactusledge.routing.types import Grant, GroupKey, Job

KEY = GroupKey('bole', 'm')
JOB = Job('job', 'bole-0.ab', 'a', 'm', (), 1, 1, 1, 0, 10, 0)
GRANT = Grant('job', 'engine-1')
OVERLOADED = OverloadedError(
    'Queue full.', remedy='Retry later.', retry_after_s=1
)
UNREACHABLE = PeerUnreachableError('Connection refused.', remedy='None.')


class FakeQueues:
    """Local scheduler that returns the given replies, then grants."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.jobs = []

    def request(self, key, job):
        self.jobs.append(job.job_id)
        future = pykka.ThreadingFuture()
        reply = self.replies.pop(0) if self.replies else GRANT
        if isinstance(reply, Exception):
            future.set_exception((type(reply), reply, None))
        else:
            future.set(reply)
        return future


class FakeOwner:
    """Peer that fails every request."""

    def __init__(self, exc):
        self.exc = exc

    def request_grant(self, request):
        raise self.exc


@pytest.mark.parametrize('stops', [0, 1, 3])
def test_job_is_retried_while_owners_are_stopping(stops):
    queues = FakeQueues(*(stopping_error() for _ in range(stops)))
    granted = GrantRouter(queues, lambda key: None, 'e').acquire(KEY, JOB, 5)
    assert granted.engine == 'engine-1'
    assert len(set(queues.jobs)) == stops + 1


def test_refusal_is_final():
    router = GrantRouter(FakeQueues(OVERLOADED), lambda key: None, 'e')
    with pytest.raises(OverloadedError):
        router.acquire(KEY, JOB, 5)


def test_retries_at_stopping_owners_end_with_the_wait():
    queues = FakeQueues(*(stopping_error() for _ in range(9)))
    with pytest.raises(CactusledgeError):
        GrantRouter(queues, lambda key: None, 'e').acquire(KEY, JOB, 0.25)


def test_local_scheduler_grants_while_the_owner_is_unreachable():
    router = GrantRouter(FakeQueues(), lambda key: FakeOwner(UNREACHABLE), 'e')
    assert router.acquire(KEY, JOB, 5).grantor is None

"""Engine grants from a group's owner or from the local scheduler."""

import itertools
import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import msgspec
import pykka

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.peers import messages as peer
from cactusledge.peers.client import PeerClient
from cactusledge.peers.errors import PeerAnswerLostError, PeerUnreachableError
from cactusledge.routing.client import DispatcherClient
from cactusledge.routing.types import GroupKey, Job, JobResult
from cactusledge.telemetry.logs import get_logger

POLL_WAIT_MS = 1000
MS_PER_S = 1000
POLL_EXPIRY_S = 6.0
OWNER_RETRY_DELAY_S = 0.1

log = get_logger('grants')


class AcquiredGrant(NamedTuple):
    """A granted engine, and the instance to notify when its call ends."""

    key: GroupKey
    job_id: str
    engine: str
    grantor: PeerClient | None  # None for this instance


class GrantSource(Protocol):
    """Acquires engine grants and reports how the granted jobs ended."""

    def acquire(
        self, key: GroupKey, job: Job, wait_s: float
    ) -> AcquiredGrant | None:
        """Returns a grant, or None when the wait is over.

        Raises:
            CactusledgeError: The job was refused; nothing was run.
        """

    def finish(self, grant: AcquiredGrant, result: JobResult) -> None:
        """Reports the result of a granted job."""


class GrantRouter:
    """Requests grants from the owner of an engine group.

    Ownership is not exclusive: while the owner does not answer, the local
    scheduler grants engines instead. It knows less about the group's load,
    which affects speed but not correctness.
    """

    def __init__(
        self,
        local: DispatcherClient,
        owner_of: Callable[[GroupKey], PeerClient | None],
        sender: str,
    ) -> None:
        """Creates a router; no peer is contacted yet.

        Args:
            local: This instance's schedulers.
            owner_of: Returns the group's owner, or None for this instance.
            sender: Name of this instance.
        """
        self._local = local
        self._owner_of = owner_of
        self._sender = sender

    def acquire(
        self, key: GroupKey, job: Job, wait_s: float
    ) -> AcquiredGrant | None:
        """Returns a grant, or None when the wait is over.

        If the owner is stopping or no longer owns the group, the request is
        repeated at the next owner under a new job id.
        """
        deadline_s = time.monotonic() + wait_s
        for attempt in itertools.count():
            attempt_job = job._replace(job_id=f'{job.job_id}:{attempt}')
            remaining_s = max(0, deadline_s - time.monotonic())
            try:
                return self._acquire(key, attempt_job, remaining_s)
            except CactusledgeError as exc:
                is_over = time.monotonic() >= deadline_s
                if exc.code is not ErrorCode.STOPPING or is_over:
                    raise
            time.sleep(OWNER_RETRY_DELAY_S)
        return None

    def finish(self, grant: AcquiredGrant, result: JobResult) -> None:
        """Reports the result of a job to the instance that granted it."""
        if grant.grantor is None:
            self._local.finish(grant.key, result)
            return
        report = peer.GrantFinish(
            grant.job_id,
            str(grant.key),
            msgspec.json.encode((grant.key, result)),
        )
        try:
            grant.grantor.finish_grant(report)
        except CactusledgeError as exc:
            log.info(
                'Job result not delivered to the group owner.',
                reason=exc.message,
            )

    def _acquire(
        self,
        key: GroupKey,
        job: Job,
        wait_s: float,
    ) -> AcquiredGrant | None:
        owner = self._owner_of(key)
        if owner is None:
            return self._acquire_locally(key, job, wait_s)
        try:
            return self._acquire_from(owner, key, job, wait_s)
        except (PeerUnreachableError, PeerAnswerLostError) as exc:
            log.info(
                'Group owner did not answer; using the local scheduler.',
                group=str(key),
                reason=exc.message,
            )
        return self._acquire_locally(key, job, wait_s)

    def _acquire_locally(
        self,
        key: GroupKey,
        job: Job,
        wait_s: float,
    ) -> AcquiredGrant | None:
        future = self._local.request(key, job)
        try:
            grant = future.get(timeout=wait_s)
        except pykka.Timeout:
            self._local.cancel(key, job.job_id)
            return None
        return AcquiredGrant(key, job.job_id, grant.engine, None)

    def _acquire_from(
        self,
        owner: PeerClient,
        key: GroupKey,
        job: Job,
        wait_s: float,
    ) -> AcquiredGrant | None:
        """Polls the owner; the job keeps its place in the queue."""
        deadline_s = time.monotonic() + wait_s
        request = peer.GrantRequest(
            job_id=job.job_id,
            group=str(key),
            sender=self._sender,
            job=msgspec.json.encode((key, job)),
            wait_ms=POLL_WAIT_MS,
        )
        while time.monotonic() < deadline_s:
            remaining_s = deadline_s - time.monotonic()
            wait_ms = min(POLL_WAIT_MS, max(0, round(remaining_s * MS_PER_S)))
            reply = owner.request_grant(request._replace(wait_ms=wait_ms))
            if reply.endpoint:
                return AcquiredGrant(key, job.job_id, reply.endpoint, owner)
        return None


class _PendingGrant(NamedTuple):
    key: GroupKey
    future: Any
    last_polled_s: float


class GrantManager:
    """Handles grant requests from peers.

    Cancels a job when its sender stops polling, so that the jobs of a dead
    instance do not occupy engines.
    """

    def __init__(self, local: DispatcherClient) -> None:
        """Creates a manager without pending jobs."""
        self._local = local
        self._pending: dict[str, _PendingGrant] = {}

    def request(self, request: peer.GrantRequest) -> peer.GrantReply:
        """Waits up to the request's `wait_ms` for the job's grant."""
        key, job = msgspec.json.decode(request.job, type=tuple[GroupKey, Job])
        known = self._pending.get(job.job_id)
        future = known.future if known else self._local.request(key, job)
        now_s = time.monotonic()
        self._pending[job.job_id] = _PendingGrant(key, future, now_s)
        try:
            grant = future.get(timeout=request.wait_ms / MS_PER_S)
        except pykka.Timeout:
            return peer.GrantReply(job.job_id)
        except CactusledgeError:
            self._pending.pop(job.job_id, None)
            raise
        refreshed = _PendingGrant(key, future, time.monotonic())
        self._pending[job.job_id] = refreshed
        return peer.GrantReply(
            job.job_id,
            grant_id=job.job_id,
            endpoint=grant.engine,
        )

    def finish(self, report: peer.GrantFinish) -> None:
        """Records the result of a granted job."""
        self._pending.pop(report.grant_id, None)
        key, result = msgspec.json.decode(
            report.document,
            type=tuple[GroupKey, JobResult],
        )
        self._local.finish(key, result)

    def tick(self) -> None:
        """Cancels pending jobs not polled within `POLL_EXPIRY_S`."""
        oldest_poll_s = time.monotonic() - POLL_EXPIRY_S
        for job_id, pending in tuple(self._pending.items()):
            is_waiting = _is_pending(pending.future)
            if is_waiting and pending.last_polled_s < oldest_poll_s:
                self._pending.pop(job_id, None)
                self._local.cancel(pending.key, job_id)


def _is_pending(future: Any) -> bool:
    try:
        future.get(timeout=0)
    except pykka.Timeout:
        return True
    except CactusledgeError:
        return False
    return False

"""Leases endpoints for calls of this instance."""

import time
from collections.abc import Sequence
from contextlib import suppress
from typing import Protocol

from cactusledge.endpoints.errors import EndpointNotRunError
from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import CallKind, Endpoint, Usage
from cactusledge.programs.calls.prompt import common_chunks, prompt_text
from cactusledge.programs.calls.sending import Lease, LeaseReport, ModelRequest
from cactusledge.programs.engines.grants import AcquiredGrant, GrantSource
from cactusledge.programs.engines.groups import EngineGroups
from cactusledge.routing.errors import OverloadedError
from cactusledge.routing.prefix import estimate_tokens, prefix_chain
from cactusledge.routing.types import GroupKey, Job, JobResult

NO_ENDPOINT_RETRY_S = 2.0
MAX_GROUPS_TRIED = 2  # engine groups asked for one call


class NoEndpointError(CactusledgeError):
    """No endpoint accepts calls for this model or service."""

    code = ErrorCode.NO_ENDPOINT


class QueueTimeoutError(CactusledgeError):
    """The call's deadline passed while it was queued for an engine."""

    code = ErrorCode.DEADLINE_EXCEEDED


class EndpointSource(Protocol):
    """Endpoints that are known to this instance."""

    def available(self, service: str) -> Sequence[Endpoint]:
        """Returns the endpoints that accept calls, the nearest first.

        Args:
            service: Name of a model or of a plain service.
        """

    def find(self, name: str) -> Endpoint | None:
        """Returns an endpoint by name, even if it is leaving."""

    def mark_leaving(self, endpoint: Endpoint) -> None:
        """Records that an endpoint refused a call because it is leaving."""


class ReplicaSelector(Protocol):
    """Selects replicas of plain services."""

    def start(self, service: str, replicas: Sequence[Endpoint]) -> Endpoint:
        """Selects the replica for one call and counts the call."""

    def finish(self, endpoint: Endpoint, *, ok: bool) -> None:
        """Records how the call ended."""


class LeaseManager:
    """Leases endpoints to the senders of calls."""

    def __init__(
        self,
        endpoints: EndpointSource,
        grants: GrantSource,
        replicas: ReplicaSelector,
        engine_groups: EngineGroups,
    ) -> None:
        """Creates the lease manager.

        Args:
            endpoints: The known endpoints.
            grants: Grants engines on behalf of the engine groups' owners.
            replicas: Selects replicas of plain services.
            engine_groups: The engines' groups.
        """
        self._engine_groups = engine_groups
        self._endpoints = endpoints
        self._grants = grants
        self._replicas = replicas

    def lease_engine(self, req: ModelRequest) -> Lease:
        """Waits for a grant from the preferred engine group, then the next.

        Raises:
            OverloadedError: The last group refused the call; nothing was run.
            QueueTimeoutError: The deadline passed while the call was queued.
            NoEndpointError: No engine accepts calls for the model.
        """
        keys = self._groups(req)
        for key in keys[:-1]:
            with suppress(OverloadedError):
                return self._lease_from(key, req)
        return self._lease_from(keys[-1], req)

    def lease_service(self, service: str, avoid: tuple[str, ...]) -> Lease:
        """Returns a replica, preferably one that has not failed the call.

        Args:
            service: Name of the plain service.
            avoid: Names of the replicas that have failed the call.
        """
        replicas = self._endpoints.available(service)
        if not replicas:
            raise _no_endpoint_error(CallKind.SERVICE, service)
        untried = [one for one in replicas if one.name not in avoid]
        return Lease(self._replicas.start(service, untried or replicas))

    def finish(self, lease: Lease, report: LeaseReport) -> None:
        """Returns a lease; records if the endpoint is leaving."""
        error = report.error
        if isinstance(error, EndpointNotRunError) and error.leaving:
            self._endpoints.mark_leaving(lease.endpoint)
        granted = lease.grant
        if isinstance(granted, AcquiredGrant):
            finish = JobResult(
                granted.job_id,
                report.usage,
                error is None,
                report.latency_s,
            )
            self._grants.finish(granted, finish)
        else:
            self._replicas.finish(lease.endpoint, ok=error is None)

    def _groups(self, req: ModelRequest) -> list[GroupKey]:
        """Returns the group that has the program's cache, then the nearest.

        The second group is asked only if the first one is overloaded.
        """
        model = req.task.spec.target
        engines = self._endpoints.available(model)
        if not engines:
            raise _no_endpoint_error(CallKind.MODEL, model)
        keys = self._engine_groups.candidates(
            req.task.spec.program_id,
            _last_engine(req, model),
            engines,
        )
        return keys[:MAX_GROUPS_TRIED]

    def _lease_from(self, key: GroupKey, req: ModelRequest) -> Lease:
        granted = self._grants.acquire(key, _build_job(req), _remaining_s(req))
        if granted is None:
            raise _queue_timeout_error(key.model)
        endpoint = self._endpoints.find(granted.engine)
        if endpoint is None:
            finish = JobResult(granted.job_id, Usage(), ok=False, latency_s=0)
            self._grants.finish(granted, finish)
            raise _no_endpoint_error(CallKind.MODEL, key.model)
        return Lease(endpoint, granted)


def _last_engine(req: ModelRequest, model: str) -> str:
    """Returns the engine of the program's latest call to the model.

    Empty on a retry, which prefers no engine.
    """
    if req.attempt:
        return ''
    calls = req.task.state.calls
    names = [one.endpoint for one in calls if one.target == model]
    return names[-1] if names else ''


def _build_job(req: ModelRequest) -> Job:
    spec = req.task.spec
    text = prompt_text(req.messages)
    now_s = time.time()
    turns = [
        call for call in req.task.state.calls if call.kind is CallKind.MODEL
    ]
    return Job(
        job_id=f'{spec.program_id}:{spec.seq}:{req.attempt}:{now_s}',
        program_id=spec.program_id,
        account=req.task.state.account,
        model=spec.target,
        prefix=prefix_chain(text),
        prompt_tokens=estimate_tokens(text),
        max_output_tokens=spec.max_output_tokens,
        turn=len(turns) + 1,
        submitted_s=now_s,
        deadline_s=now_s + _remaining_s(req),
        program_started_s=req.task.state.opened_at_s,
        retry=req.attempt > 0,
        common_chunks=common_chunks(req.task.program.common_prefix),
    )


def _remaining_s(req: ModelRequest) -> float:
    return max(0, req.task.deadline_s - time.monotonic())


def _no_endpoint_error(kind: CallKind, name: str) -> NoEndpointError:
    return NoEndpointError(
        f'No endpoint accepts calls for the {kind} {name!r}.',
        remedy='Repeat the call later; operators: run cactusledge status.',
        retry_after_s=NO_ENDPOINT_RETRY_S,
    )


def _queue_timeout_error(model: str) -> QueueTimeoutError:
    return QueueTimeoutError(
        f'No engine for {model!r} was available before the deadline.',
        remedy='Repeat the call with the same seq and key.',
        retry_after_s=NO_ENDPOINT_RETRY_S,
    )

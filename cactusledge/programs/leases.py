"""Leases of endpoints for calls, from this instance's own queues."""

import time
from collections.abc import Callable, Sequence
from typing import Protocol

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import CallKind, Endpoint, Usage
from cactusledge.programs.grants import Granted, GrantSource
from cactusledge.programs.prompt import prompt_text
from cactusledge.programs.sending import Lease, LeaseReport, ModelRequest
from cactusledge.routing.prefix import estimate_tokens, prefix_chain
from cactusledge.routing.types import Finish, GroupKey, Job

NO_ENDPOINT_RETRY_S = 2.0


class NoEndpointError(CactusledgeError):
    """No endpoint takes calls for this model or service."""

    code = ErrorCode.NO_ENDPOINT


class QueueTimeoutError(CactusledgeError):
    """The call's deadline passed while it waited for an engine."""

    code = ErrorCode.DEADLINE_EXCEEDED


class EndpointSource(Protocol):
    """The endpoints that take new calls."""

    def available(self, service: str) -> Sequence[Endpoint]:
        """Returns the endpoints of a model or service, the nearest first."""

    def find(self, name: str) -> Endpoint | None:
        """Returns an endpoint by its name, also while it is leaving."""


class LeaseDesk:
    """Chooses endpoints for the senders."""

    def __init__(
        self,
        endpoints: EndpointSource,
        grants: GrantSource,
        pick: Callable[[Sequence[Endpoint]], Endpoint],
    ) -> None:
        """Prepares the desk.

        Args:
            endpoints: Who takes new calls.
            grants: Owners of the engine groups.
            pick: Chooses among the replicas of a plain service.
        """
        self._endpoints = endpoints
        self._grants = grants
        self._pick = pick

    def lease_engine(self, req: ModelRequest) -> Lease:
        """Waits for a grant of the nearest engine group.

        Raises:
            OverloadedError: The call was refused; nothing was run.
            QueueTimeoutError: The deadline passed first.
            NoEndpointError: No engine serves the model.
        """
        model = req.task.spec.target
        engines = self._endpoints.available(model)
        if not engines:
            raise _no_endpoint(CallKind.MODEL, model)
        key = GroupKey(engines[0].data_centre, model)
        granted = self._grants.acquire(key, _job_of(req), _seconds_left(req))
        if granted is None:
            raise _too_late(model)
        endpoint = self._endpoints.find(granted.engine)
        if endpoint is None:
            finish = Finish(granted.job_id, Usage(), ok=False, latency_s=0)
            self._grants.finish(granted, finish)
            raise _no_endpoint(CallKind.MODEL, model)
        return Lease(endpoint, granted)

    def lease_service(self, service: str, avoid: tuple[str, ...]) -> Lease:
        """Returns a replica, one that has not failed the call if possible."""
        replicas = self._endpoints.available(service)
        if not replicas:
            raise _no_endpoint(CallKind.SERVICE, service)
        untried = [one for one in replicas if one.name not in avoid]
        return Lease(self._pick(untried or replicas))

    def finish(self, lease: Lease, report: LeaseReport) -> None:
        """Gives a lease back."""
        granted = lease.ticket
        if isinstance(granted, Granted):
            finish = Finish(
                granted.job_id,
                report.usage,
                report.ok,
                report.latency_s,
            )
            self._grants.finish(granted, finish)


def _job_of(req: ModelRequest) -> Job:
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
        deadline_s=now_s + _seconds_left(req),
        program_started_s=req.task.state.opened_at_s,
        retry=req.attempt > 0,
        common_chunks=len(prefix_chain(req.task.program.common_prefix)),
    )


def _seconds_left(req: ModelRequest) -> float:
    return max(0, req.task.deadline_s - time.monotonic())


def _no_endpoint(kind: CallKind, name: str) -> NoEndpointError:
    return NoEndpointError(
        f'No endpoint takes calls for the {kind} {name!r}.',
        remedy='Repeat the call later; operators: see cactusledge status.',
        retry_after_s=NO_ENDPOINT_RETRY_S,
    )


def _too_late(model: str) -> QueueTimeoutError:
    return QueueTimeoutError(
        f'No engine of {model!r} was free before the deadline.',
        remedy='Repeat the call with the same seq and key.',
        retry_after_s=NO_ENDPOINT_RETRY_S,
    )

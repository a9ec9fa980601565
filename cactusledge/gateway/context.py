"""Types shared by the request handlers."""

import asyncio
from typing import NamedTuple, Protocol

from cactusledge.gateway import crash_reports, cross_traffic
from cactusledge.gateway.answer_end import AnswerEnd
from cactusledge.gateway.departures import Departures
from cactusledge.gateway.dialect import Dialect
from cactusledge.gateway.endpoint_ends import EndpointEnds
from cactusledge.gateway.endpoint_limits import EndpointLimits
from cactusledge.gateway.forward_peers import ForwardTargets
from cactusledge.gateway.grants import GrantSource, QuotaGate
from cactusledge.gateway.loads import Loads
from cactusledge.gateway.messages import Account, CallInfo, Request, Route
from cactusledge.gateway.partitions import Partitions
from cactusledge.gateway.pool import ConnectionPool
from cactusledge.gateway.reach import EndpointReach
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.gateway.responder import Responder
from cactusledge.gateway.routes import RouteTable
from cactusledge.gateway.suspects import Suspects
from cactusledge.records.crash_evidence import CrashEvidence
from cactusledge.records.gateway_messages import RequestKeys
from cactusledge.telemetry.metrics import Metrics


class Fleet(NamedTuple):
    """The endpoints and the components that reach them."""

    replicas: ReplicaList
    loads: Loads
    pool: ConnectionPool
    dialect: Dialect
    data_centre: str
    partitions: Partitions
    metrics: Metrics
    departures: Departures
    limits: EndpointLimits
    grants: GrantSource
    reach: EndpointReach
    forwarder: 'CallForwarder'
    ends: EndpointEnds
    evidence: CrashEvidence
    suspects: Suspects
    crashes: crash_reports.CrashReports
    quotas: QuotaGate
    cross: cross_traffic.CostTraffic


class CallForwarder(Protocol):
    """Serves calls through other gateways."""

    targets: ForwardTargets

    def can_forward(self, call: 'Call') -> bool:
        """Returns whether a gateway may take the call."""

    async def serve(self, call: 'Call') -> 'Outcome | None':
        """Serves a call that has not run; None if no gateway took it."""

    def close(self) -> None:
        """Closes the idle connections."""

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""


class Progress:
    """Attempt history of a request, written to its final log line."""

    def __init__(self) -> None:
        """Starts before the first attempt."""
        self.contacted: list[str] = []  # endpoint ids, in order of the attempts
        self.first_event_ms: float | None = None  # since it was received
        self.answer_end: AnswerEnd | None = None  # of the last attempt
        self.forwarded_to = ''  # the gateway that serves the request


class Call(NamedTuple):
    """A request being served."""

    request: Request
    keys: RequestKeys
    info: CallInfo
    route: Route
    table: RouteTable
    conn: Responder
    deadline_s: float  # caller's deadline or route's timeout; loop clock
    progress: Progress
    account: Account | None = None  # None on public routes, or without accounts

    @property
    def priority(self) -> int:
        """The rank of the call, 0 is the highest."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    @property
    def account_name(self) -> str:
        """The name of the caller's account, '' without one."""
        return '' if self.account is None else self.account.name

    def remaining_ms(self) -> float:
        """Returns the time left until the deadline."""
        now_s = asyncio.get_running_loop().time()
        return max(0, (self.deadline_s - now_s) * 1000)

    def age_ms(self) -> float:
        """Returns the time since the request was received."""
        now_s = asyncio.get_running_loop().time()
        return (now_s - self.request.received_s) * 1000


class Outcome(NamedTuple):
    """How a request ended, for the log."""

    status: int  # 0 if the connection was closed without a full response
    reason: str
    retry_after_s: float | None = None

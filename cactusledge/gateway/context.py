"""What the handlers of requests share."""

import asyncio
from typing import NamedTuple

from cactusledge.gateway.dialect import Dialect
from cactusledge.gateway.loads import Loads
from cactusledge.gateway.messages import CallInfo, Request, Route
from cactusledge.gateway.partitions import Partitions
from cactusledge.gateway.pool import ConnectionPool
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.gateway.responder import Responder
from cactusledge.gateway.routes import RouteTable
from cactusledge.telemetry.metrics import Metrics


class Fleet(NamedTuple):
    """The endpoints and the way to them."""

    replicas: ReplicaList
    loads: Loads
    pool: ConnectionPool
    dialect: Dialect
    data_centre: str
    partitions: Partitions
    metrics: Metrics


class Progress:
    """How far a request has come; its closing line tells."""

    def __init__(self) -> None:
        """Starts before the first attempt."""
        self.contacted: list[
            str
        ] = []  # endpoints that it was sent to, in order
        self.first_event_ms: float | None = None  # since it was received


class Call(NamedTuple):
    """One request on its way."""

    request: Request
    info: CallInfo
    route: Route
    table: RouteTable
    conn: Responder
    deadline_s: float  # when the caller or the route gives up; loop's clock
    progress: Progress

    def remaining_ms(self) -> float:
        """Returns the time that is left."""
        now_s = asyncio.get_running_loop().time()
        return max(0, (self.deadline_s - now_s) * 1000)

    def age_ms(self) -> float:
        """Returns the time since the request was received."""
        now_s = asyncio.get_running_loop().time()
        return (now_s - self.request.received_s) * 1000


class Outcome(NamedTuple):
    """How a request ended, for the log."""

    status: int  # 0 for a connection that was closed
    reason: str
    retry_after_s: float | None = None

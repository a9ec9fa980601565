"""What bounds the clients of a port, and the refusals it leads to.

A refused request has not run.
"""

import asyncio
import enum
import http
import math
from collections import Counter
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, Self

import structlog

from cactusledge.gateway.buffer_space import (
    BufferSpace,
    MachineLimits,
    ProcessBounds,
    bounds_of,
)
from cactusledge.gateway.client_memory import ClientMemory
from cactusledge.gateway.connection_slots import ConnectionSlots
from cactusledge.telemetry.metrics import Metrics

MEMORY_RETRY_S = 0.5  # for requests in service to end
LOG_INTERVAL_S = 10.0  # between two lines of a bound

log = structlog.get_logger('gateway')


class Bound(enum.StrEnum):
    """A bound that a client has met; label of a metric."""

    TARGET = 'target'  # path and query, of `header_bytes`
    HEADER = 'header'  # a head or trailers, of `header_bytes`
    BODY = 'body'  # of `body_bytes`
    FRAMING = 'framing'  # chunk sizes, extensions and trailers of a body
    EMPTY_LINES = 'empty_lines'  # before a request
    SYNTAX = 'syntax'  # no valid request
    TIME = 'time'  # `header_timeout_ms`
    MEMORY = 'memory'  # of the process
    CONNECTIONS = 'connections'  # of the process
    STOP = 'stop'  # of the process


STATUSES: Mapping[Bound, int] = MappingProxyType({
    Bound.TARGET: http.HTTPStatus.REQUEST_URI_TOO_LONG,
    Bound.HEADER: http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Bound.BODY: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Bound.FRAMING: http.HTTPStatus.BAD_REQUEST,
    Bound.EMPTY_LINES: http.HTTPStatus.BAD_REQUEST,
    Bound.SYNTAX: http.HTTPStatus.BAD_REQUEST,
    Bound.TIME: http.HTTPStatus.REQUEST_TIMEOUT,
    Bound.MEMORY: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Bound.STOP: http.HTTPStatus.SERVICE_UNAVAILABLE,
})


class BoundMetError(Exception):
    """A request is refused, as a bound is met."""

    def __init__(self, bound: Bound) -> None:
        """Stores the bound."""
        super().__init__(bound)
        self.bound = bound

    @property
    def status(self) -> int:
        """The status of the refusal."""
        return STATUSES[self.bound]

    @property
    def headers(self) -> bytes:
        """The encoded header lines of the refusal."""
        if self.bound is Bound.MEMORY:
            return f'Retry-After: {MEMORY_RETRY_S:.3f}\r\n'.encode()
        return b''


class BoundNotes:
    """Notes each bound that is met; logs a crowd of them in one line."""

    def __init__(self, metrics: Metrics) -> None:
        """Stores the metrics that count the bounds."""
        self._metrics = metrics
        self._times: Counter[Bound] = Counter()  # since the last line
        self._logged_s: dict[Bound, float] = {}  # loop clock

    def note(self, bound: Bound) -> None:
        """Notes that a client has met a bound."""
        self._metrics.add('gateway_bounds_met_total', bound=bound)
        self._times[bound] += 1
        now_s = asyncio.get_running_loop().time()
        logged_s = self._logged_s.get(bound, -math.inf)
        if now_s - logged_s >= LOG_INTERVAL_S:
            log.warning(
                'gateway: clients met a bound',
                bound=bound,
                times=self._times.pop(bound),
            )
            self._logged_s[bound] = now_s


class ClientBounds(NamedTuple):
    """The connections and the memory that clients of one port may take."""

    connections: ConnectionSlots[Any]  # the open ones
    memory: ClientMemory  # of all ports of the process
    note: Callable[[Bound], None]  # takes note of a bound that is met

    def for_port(self, most: int) -> Self:
        """Returns the bounds of another port, with so many connections."""
        return self._replace(connections=ConnectionSlots[Any](most))


def caller_bounds(
    metrics: Metrics, space: BufferSpace, bounds: ProcessBounds | None = None
) -> ClientBounds:
    """Returns the bounds of the port for callers.

    Args:
        metrics: Counts the bounds that are met.
        space: Shared with the answers of endpoints.
        bounds: What clients may take; None: of a usual machine.
    """
    callers = (bounds or bounds_of(MachineLimits())).callers
    return ClientBounds(
        ConnectionSlots[Any](callers),
        ClientMemory(space),
        BoundNotes(metrics).note,
    )

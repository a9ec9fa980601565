"""Client of plain services; every call is sent at most once."""

from collections.abc import Mapping
from contextlib import AbstractContextManager, closing
from math import inf
from typing import Any, NamedTuple
from urllib.parse import quote

from urllib3 import HTTPConnectionPool

from cactusledge.endpoints.errors import (
    AnswerMismatchError,
    EndpointFailedError,
)
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.transport import (
    Exchange,
    HttpRequest,
    Timeouts,
    send,
)
from cactusledge.models import Endpoint, Outcome

IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
HTTP_OK = 200


class ServiceLimits(NamedTuple):
    """Timeouts of a call, in seconds."""

    connect_timeout_s: float = 1
    read_timeout_s: float = inf  # since services answer only when done


DEFAULT_LIMITS = ServiceLimits()


class ServiceAnswer(NamedTuple):
    """The complete answer of a service to one call."""

    status: int
    body: Any


class ServiceClient:
    """Calls plain services."""

    def __init__(
        self,
        pools: ConnectionPools,
        limits: ServiceLimits = DEFAULT_LIMITS,
    ) -> None:
        """Takes the connections to use and the timeouts."""
        self._pools = pools
        self._limits = limits

    def call(
        self,
        endpoint: Endpoint,
        operation: str,
        body: Mapping[str, Any],
        *,
        idempotent: bool,
        key: str,
        deadline_s: float,
        headers: Mapping[str, str],
    ) -> ServiceAnswer:
        """Sends a call once and returns the service's complete answer.

        Args:
            endpoint: Replica that receives the call.
            operation: Name of the operation.
            body: Request document.
            idempotent: If False, the call is sent on a new connection.
            key: Idempotency key; if the answer carries one, it must match.
            deadline_s: Deadline on the clock of `time.monotonic`.
            headers: Additional headers, such as `traceparent`.

        Raises:
            EndpointRefusedError: Nothing was sent, or the service did not run.
            EndpointFailedError: It is not known whether the service ran.
        """
        path = f'/operations/{quote(operation, safe="")}'
        request = HttpRequest(
            'POST', path, {**headers, IDEMPOTENCY_KEY_HEADER: key}, body
        )
        connections = self._connections(endpoint, idempotent=idempotent)
        timeouts = self._timeouts(deadline_s)
        try:
            with connections as pool:
                return _answer(send(pool, endpoint, request, timeouts), key)
        except EndpointFailedError:
            self._pools.evict(endpoint.address)
            raise

    def query_status(
        self,
        endpoint: Endpoint,
        operation: str,
        key: str,
        *,
        deadline_s: float,
    ) -> Outcome:
        """Returns the outcome that the service reports for an earlier call.

        `UNKNOWN` if the service offers no status query.
        """
        path = f'/operations/{quote(operation, safe="")}/{quote(key, safe="")}'
        request = HttpRequest('GET', path)
        with self._pools.fresh(endpoint.address) as pool:
            exchange = send(pool, endpoint, request, self._timeouts(deadline_s))
            return _status(exchange, key)

    def _connections(
        self,
        endpoint: Endpoint,
        *,
        idempotent: bool,
    ) -> AbstractContextManager[HTTPConnectionPool]:
        if idempotent:
            return self._pools.shared(endpoint.address)
        return self._pools.fresh(endpoint.address)

    def _timeouts(self, deadline_s: float) -> Timeouts:
        return Timeouts(
            deadline_s,
            self._limits.connect_timeout_s,
            self._limits.read_timeout_s,
        )


def _answer(exchange: Exchange, key: str) -> ServiceAnswer:
    answered_key = exchange.response.headers.get(IDEMPOTENCY_KEY_HEADER, key)
    with closing(exchange):
        body = exchange.document()
    if answered_key != key:
        raise _mismatch(exchange, answered_key)
    return ServiceAnswer(exchange.response.status, body)


def _status(exchange: Exchange, key: str) -> Outcome:
    with closing(exchange):
        document = exchange.document()
    if exchange.response.status != HTTP_OK:
        return Outcome.UNKNOWN
    if document.get('key') != key:
        raise _mismatch(exchange, str(document.get('key')))
    return Outcome.RAN if document['ran'] else Outcome.NOT_RUN


def _mismatch(exchange: Exchange, key: str) -> AnswerMismatchError:
    name = exchange.endpoint.name
    return AnswerMismatchError(
        f'{name} answered for the key {key!r}, which was not requested.',
        remedy='Query the call state; report the fault to the service owner.',
        endpoint=name,
        status=exchange.response.status,
    )

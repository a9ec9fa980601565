"""One HTTP request to an endpoint: sent once, with limits on every wait."""

import json
import time
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from urllib3 import BaseHTTPResponse, HTTPConnectionPool, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from cactusledge.endpoints.errors import (
    EndpointDeadlineError,
    EndpointError,
    EndpointFailedError,
    EndpointNotRunError,
    EndpointRefusedError,
    EndpointSilentError,
)
from cactusledge.models import Endpoint

NOT_RUN_HEADER = 'X-Not-Run'
READ_BYTES = 65_536
SHORTEST_WAIT_S = 0.001
HTTP_ERRORS_FROM = 500
NOTHING_SENT = (NewConnectionError, ConnectTimeoutError, EmptyPoolError)


class Outgoing(NamedTuple):
    """A request to send."""

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: Mapping[str, Any] | None = None


class Waits(NamedTuple):
    """Limits on the waits of one request, in seconds."""

    deadline_s: float  # a point in time of `time.monotonic`
    connect_s: float = 1
    silence_s: float = 10  # without a byte from the endpoint


class Exchange:
    """The answer to one request, read under limits."""

    def __init__(
        self,
        endpoint: Endpoint,
        response: BaseHTTPResponse,
        waits: Waits,
    ) -> None:
        """Keeps the response, of which the head has been read."""
        self.endpoint = endpoint
        self.response = response
        self.waits = waits

    def pieces(self) -> Iterator[bytes]:
        """Yields the body as it arrives."""
        while True:
            piece = self._read()
            if not piece:
                return
            yield piece

    def document(self) -> Any:
        """Returns the whole body, a JSON document."""
        body = b''.join(self.pieces())
        try:
            return json.loads(body)
        except ValueError as exc:
            raise EndpointFailedError(
                f'The answer of {self.endpoint.name} is no JSON document.',
                remedy='Check that the endpoint is of the declared kind.',
                endpoint=self.endpoint.name,
                status=self.response.status,
            ) from exc

    def close(self) -> None:
        """Drops the connection unless the body has been read to its end."""
        self.response.close()

    def _read(self) -> bytes:
        self._limit_next_read()
        try:
            return self.response.read1(READ_BYTES)
        except HTTPError as exc:
            raise lost_answer(self.endpoint, exc, self.waits) from exc

    def _limit_next_read(self) -> None:
        left_s = _time_left(self.endpoint, self.waits)
        conn = self.response.connection
        sock = getattr(conn, 'sock', None)
        if sock is not None:
            sock.settimeout(min(left_s, self.waits.silence_s))


def send(
    pool: HTTPConnectionPool,
    endpoint: Endpoint,
    request: Outgoing,
    waits: Waits,
) -> Exchange:
    """Sends a request once and returns its answer, of which the head came.

    Raises:
        EndpointRefusedError: Nothing was sent.
        EndpointNotRunError: The endpoint said that it did not run.
        EndpointFailedError: It was sent; whether it ran is not known.
    """
    left_s = _time_before_send(endpoint, waits)
    timeout = Timeout(
        connect=min(left_s, waits.connect_s),
        read=min(left_s, waits.silence_s),
    )
    try:
        response = _urlopen(pool, request, timeout, waits.connect_s)
    except NOTHING_SENT as exc:
        raise _refused(endpoint) from exc
    except HTTPError as exc:
        raise lost_answer(endpoint, exc, waits) from exc
    exchange = Exchange(endpoint, response, waits)
    _check_status(exchange)
    return exchange


def _urlopen(
    pool: HTTPConnectionPool,
    request: Outgoing,
    timeout: Timeout,
    pool_wait_s: float,
) -> BaseHTTPResponse:
    headers = {'Content-Type': 'application/json', **request.headers}
    body = None if request.body is None else json.dumps(request.body).encode()
    return pool.urlopen(
        request.method,
        request.path,
        body=body,
        headers=headers,
        retries=False,
        redirect=False,
        timeout=timeout,
        pool_timeout=pool_wait_s,  # type: ignore[arg-type]
        preload_content=False,
    )


def _check_status(exchange: Exchange) -> None:
    response, endpoint = exchange.response, exchange.endpoint
    if response.headers.get(NOT_RUN_HEADER, '').lower() == 'true':
        exchange.close()
        raise EndpointNotRunError(
            f'{endpoint.name} answered that it did not run the call.',
            remedy='Send it to another replica, or later.',
            endpoint=endpoint.name,
            status=response.status,
            retry_after_s=_retry_after(response),
        )
    if response.status >= HTTP_ERRORS_FROM:
        exchange.close()
        raise EndpointFailedError(
            f'{endpoint.name} answered with status {response.status}.',
            remedy='Query its state before a repeat; see its own log.',
            endpoint=endpoint.name,
            status=response.status,
            retry_after_s=_retry_after(response),
        )


def _retry_after(response: BaseHTTPResponse) -> float | None:
    text = response.headers.get('Retry-After', '')
    return float(text) if text.isdecimal() else None


def _time_before_send(endpoint: Endpoint, waits: Waits) -> float:
    left_s = waits.deadline_s - time.monotonic()
    if left_s > SHORTEST_WAIT_S:
        return left_s
    raise EndpointRefusedError(
        f'The deadline passed before the call to {endpoint.name} was sent.',
        remedy='Allow the call more time.',
        endpoint=endpoint.name,
    )


def _time_left(endpoint: Endpoint, waits: Waits) -> float:
    left_s = waits.deadline_s - time.monotonic()
    if left_s > SHORTEST_WAIT_S:
        return left_s
    raise _deadline(endpoint)


def _deadline(endpoint: Endpoint) -> EndpointError:
    return EndpointDeadlineError(
        f'The deadline passed before {endpoint.name} had answered.',
        remedy='Allow the call more time; query its state before a repeat.',
        endpoint=endpoint.name,
    )


def _refused(endpoint: Endpoint) -> EndpointError:
    return EndpointRefusedError(
        f'{endpoint.name} at {endpoint.address} takes no connection.',
        remedy='Send the call to another replica.',
        endpoint=endpoint.name,
    )


def lost_answer(
    endpoint: Endpoint,
    exc: HTTPError,
    waits: Waits,
) -> EndpointError:
    """Returns the error of a call that was sent and got no whole answer."""
    if time.monotonic() >= waits.deadline_s - SHORTEST_WAIT_S:
        return _deadline(endpoint)
    if isinstance(exc, ReadTimeoutError):
        return EndpointSilentError(
            f'{endpoint.name} sent nothing for {waits.silence_s} s.',
            remedy='Query its state before a repeat.',
            endpoint=endpoint.name,
        )
    return EndpointFailedError(
        f'The connection to {endpoint.name} broke before the whole answer.',
        remedy='Query its state before a repeat.',
        endpoint=endpoint.name,
    )

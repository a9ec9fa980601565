"""One HTTP request to an endpoint: sent once, with limits on every wait."""

import json
import time
from collections import deque
from collections.abc import Iterator, Mapping
from contextlib import suppress
from typing import Any, NamedTuple

from urllib3 import BaseHTTPResponse, HTTPConnectionPool, Timeout
from urllib3.exceptions import (
    ClosedPoolError,
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    NewConnectionError,
)

from cactusledge.endpoints import failures
from cactusledge.endpoints.connections import EndpointConnection
from cactusledge.endpoints.errors import EndpointError, EndpointFailedError
from cactusledge.models import Endpoint

READ_BYTES = 65_536
DOCUMENT_LIMIT_BYTES = 8_388_608
SHORTEST_WAIT_S = 0.001
FINISH_LIMIT_S = 0.05
HTTP_ERRORS_FROM = 500
NOTHING_SENT = (
    NewConnectionError,
    ConnectTimeoutError,
    EmptyPoolError,
    ClosedPoolError,  # evicted by another thread before the send
)


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

    def left_s(self) -> float:
        """Returns the time until the deadline."""
        return self.deadline_s - time.monotonic()


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
        body = b''.join(self._limited_pieces())
        try:
            return json.loads(body)
        except ValueError as exc:
            raise EndpointFailedError(
                f'The answer of {self.endpoint.name} is no JSON document.',
                remedy='Check that the endpoint is of the declared kind.',
                endpoint=self.endpoint.name,
                status=self.response.status,
            ) from exc

    def finish(self) -> None:
        """Reads what follows the answer, so that the connection is kept."""
        deadline_s = time.monotonic() + FINISH_LIMIT_S
        self.waits = self.waits._replace(deadline_s=deadline_s)
        with suppress(EndpointError):
            deque(self.pieces(), maxlen=0)

    def close(self) -> None:
        """Drops the connection unless the body has been read to its end."""
        self.response.close()
        self.response.release_conn()  # gives its place in the pool back

    def _limited_pieces(self) -> Iterator[bytes]:
        size = 0
        for piece in self.pieces():
            size += len(piece)
            if size > DOCUMENT_LIMIT_BYTES:
                raise failures.too_large(self.endpoint, DOCUMENT_LIMIT_BYTES)
            yield piece

    def _read(self) -> bytes:
        self._limit_next_read()
        try:
            return self.response.read1(READ_BYTES)
        except HTTPError as exc:
            raise _lost(self.endpoint, exc, self.waits) from exc

    def _limit_next_read(self) -> None:
        left_s = self.waits.left_s()
        if left_s <= SHORTEST_WAIT_S:
            raise failures.too_late(self.endpoint)
        conn = self.response.connection
        if isinstance(conn, EndpointConnection) and conn.last_socket:
            conn.last_socket.settimeout(min(left_s, self.waits.silence_s))


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
    left_s = waits.left_s()
    if left_s <= SHORTEST_WAIT_S:
        raise failures.too_late_to_send(endpoint)
    _check_headers(endpoint, request.headers)
    timeout = Timeout(
        total=left_s,
        connect=min(left_s, waits.connect_s),
        read=min(left_s, waits.silence_s),
    )
    try:
        response = _urlopen(pool, request, timeout)
    except NOTHING_SENT as exc:
        raise failures.no_connection(endpoint) from exc
    except HTTPError as exc:
        raise _lost(endpoint, exc, waits) from exc
    exchange = Exchange(endpoint, response, waits)
    _check_status(exchange)
    return exchange


def _urlopen(
    pool: HTTPConnectionPool,
    request: Outgoing,
    timeout: Timeout,
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
        pool_timeout=timeout.connect_timeout,  # type: ignore[arg-type]
        preload_content=False,
    )


def _check_status(exchange: Exchange) -> None:
    response, endpoint = exchange.response, exchange.endpoint
    if failures.says(response, failures.NOT_RUN_HEADER):
        exchange.close()
        raise failures.not_run(endpoint, response)
    if response.status >= HTTP_ERRORS_FROM:
        exchange.close()
        raise failures.server_error(endpoint, response)


def _check_headers(endpoint: Endpoint, headers: Mapping[str, str]) -> None:
    for header, text in headers.items():
        if not (text.isascii() and text.isprintable()):
            raise failures.unsendable(endpoint, header)


def _lost(
    endpoint: Endpoint,
    exc: HTTPError,
    waits: Waits,
) -> EndpointFailedError:
    if waits.left_s() <= SHORTEST_WAIT_S:
        return failures.too_late(endpoint)
    return failures.lost_answer(endpoint, exc)

"""Sends an HTTP request once, with a timeout for every wait."""

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

from cactusledge.endpoints import error_factories
from cactusledge.endpoints.connections import EndpointConnection
from cactusledge.endpoints.errors import EndpointError, EndpointFailedError
from cactusledge.models import Endpoint

READ_SIZE_BYTES = 65_536
MAX_DOCUMENT_BYTES = 8_388_608
MIN_TIMEOUT_S = 0.001
DRAIN_TIMEOUT_S = 0.05
MIN_SERVER_ERROR_STATUS = 500
NOT_SENT_ERRORS = (
    NewConnectionError,
    ConnectTimeoutError,
    EmptyPoolError,
    ClosedPoolError,  # evicted by another thread before the send
)


class HttpRequest(NamedTuple):
    """An HTTP request; `body` is sent as JSON."""

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: Mapping[str, Any] | None = None


class Timeouts(NamedTuple):
    """Timeouts of one request, in seconds."""

    deadline_s: float  # on the clock of `time.monotonic`
    connect_timeout_s: float = 1
    read_timeout_s: float = 10  # without a byte from the endpoint

    def remaining_s(self) -> float:
        """Returns the time left until the deadline."""
        return self.deadline_s - time.monotonic()


class Exchange:
    """The answer to one request, read with timeouts and a size limit."""

    def __init__(
        self,
        endpoint: Endpoint,
        response: BaseHTTPResponse,
        timeouts: Timeouts,
    ) -> None:
        """Takes a response whose headers have been read."""
        self.endpoint = endpoint
        self.response = response
        self.timeouts = timeouts

    def body_parts(self) -> Iterator[bytes]:
        """Yields the body as it arrives."""
        while True:
            part = self._read()
            if not part:
                return
            yield part

    def document(self) -> Any:
        """Reads the complete body and parses it as JSON."""
        body = b''.join(self._limited_body_parts())
        try:
            document = json.loads(body)
        except ValueError as exc:
            raise error_factories.not_json_error(
                self.endpoint, self.response
            ) from exc
        if not self._has_framing() and isinstance(document, int | float):
            # A number that is cut short is still a number.
            raise error_factories.unframed_number_error(
                self.endpoint, self.response
            )
        return document

    def drain(self) -> None:
        """Reads the rest of the body so that the connection can be reused."""
        deadline_s = time.monotonic() + DRAIN_TIMEOUT_S
        self.timeouts = self.timeouts._replace(deadline_s=deadline_s)
        with suppress(EndpointError):
            deque(self.body_parts(), maxlen=0)

    def close(self) -> None:
        """Closes the connection unless the body has been read to its end."""
        self.response.close()
        self.response.release_conn()  # frees its slot in the pool

    def _has_framing(self) -> bool:
        headers = self.response.headers
        return 'Content-Length' in headers or 'Transfer-Encoding' in headers

    def _limited_body_parts(self) -> Iterator[bytes]:
        size = 0
        for part in self.body_parts():
            size += len(part)
            if size > MAX_DOCUMENT_BYTES:
                raise error_factories.too_large_error(
                    self.endpoint, MAX_DOCUMENT_BYTES
                )
            yield part

    def _read(self) -> bytes:
        self._limit_next_read()
        try:
            return self.response.read1(READ_SIZE_BYTES)
        except HTTPError as exc:
            raise _read_error(self.endpoint, exc, self.timeouts) from exc

    def _limit_next_read(self) -> None:
        remaining_s = self.timeouts.remaining_s()
        if remaining_s <= MIN_TIMEOUT_S:
            raise error_factories.deadline_error(self.endpoint)
        conn = self.response.connection
        if isinstance(conn, EndpointConnection) and conn.last_socket:
            conn.last_socket.settimeout(
                min(remaining_s, self.timeouts.read_timeout_s)
            )


def send(
    pool: HTTPConnectionPool,
    endpoint: Endpoint,
    request: HttpRequest,
    timeouts: Timeouts,
) -> Exchange:
    """Sends a request once and returns once the headers have arrived.

    Raises:
        EndpointRefusedError: Nothing was sent.
        EndpointNotRunError: The endpoint answered that it did not run it.
        EndpointFailedError: It was sent; it is not known whether it ran.
    """
    remaining_s = timeouts.remaining_s()
    if remaining_s <= MIN_TIMEOUT_S:
        raise error_factories.not_sent_in_time_error(endpoint)
    _check_headers(endpoint, request.headers)
    timeout = Timeout(
        total=remaining_s,
        connect=min(remaining_s, timeouts.connect_timeout_s),
        read=min(remaining_s, timeouts.read_timeout_s),
    )
    try:
        response = _urlopen(pool, request, timeout)
    except NOT_SENT_ERRORS as exc:
        raise error_factories.connection_error(endpoint) from exc
    except HTTPError as exc:
        raise _read_error(endpoint, exc, timeouts) from exc
    exchange = Exchange(endpoint, response, timeouts)
    _check_status(exchange)
    return exchange


def _urlopen(
    pool: HTTPConnectionPool,
    request: HttpRequest,
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
    if error_factories.header_is_true(response, error_factories.NOT_RUN_HEADER):
        exchange.close()
        raise error_factories.not_run_error(endpoint, response)
    if response.status >= MIN_SERVER_ERROR_STATUS:
        exchange.close()
        raise error_factories.server_error(endpoint, response)


def _check_headers(endpoint: Endpoint, headers: Mapping[str, str]) -> None:
    for header, text in headers.items():
        if not (text.isascii() and text.isprintable()):
            raise error_factories.invalid_header_error(endpoint, header)


def _read_error(
    endpoint: Endpoint,
    exc: HTTPError,
    timeouts: Timeouts,
) -> EndpointFailedError:
    if timeouts.remaining_s() <= MIN_TIMEOUT_S:
        return error_factories.deadline_error(endpoint)
    return error_factories.connection_lost_error(endpoint, exc)

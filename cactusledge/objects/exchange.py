"""HTTP exchanges with the platform and how their failures are classified."""

import socket
import time
from collections.abc import Sequence
from typing import NoReturn

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from cactusledge.errors import StoreAnswerLostError, StoreUnavailableError
from cactusledge.models import Address
from cactusledge.objects.replies import Reply

POOL_SIZE = 8  # maximum number of idle connections per address
READ_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
# A watch may receive nothing for many seconds; keep-alive probes detect a
# dead connection.
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2500),
)
NOT_SENT_ERRORS = (NewConnectionError, ConnectTimeoutError)


class Exchange:
    """Sends each request at most once, to the first address that connects.

    The connection pools do not retry. After a failure all idle connections to
    that address are dropped, because they may be dead too.
    """

    def __init__(self, addresses: Sequence[Address], timeout_s: float) -> None:
        """Stores the addresses; connections are opened by requests."""
        self._addresses = tuple(addresses)
        self._pools = {address: new_pool(address) for address in addresses}
        self._timeout_s = timeout_s
        self._preferred = 0

    @property
    def address(self) -> Address:
        """The address that is tried first."""
        return self._addresses[self._preferred]

    def send(self, method: str, path: str, body: bytes | None = None) -> Reply:
        """Returns the response.

        Raises:
            StoreUnavailableError: No address accepted a connection.
            StoreAnswerLostError: The request may have been executed.
        """
        for address in self._addresses_in_order():
            try:
                return self._send_to(address, method, path, body)
            except NOT_SENT_ERRORS:
                self._drop_connections(address)
            except (HTTPError, OSError) as exc:
                self._drop_connections(address)
                raise_answer_lost(method, path, exc)
        raise StoreUnavailableError(
            f'No platform address accepted a connection for {method} {path}.',
            remedy='Try again later; nothing was written.',
        )

    def close(self) -> None:
        """Closes the idle connections; no request may be sent afterwards."""
        for pool in self._pools.values():
            pool.close()

    def _send_to(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes | None,
    ) -> Reply:
        deadline = time.monotonic() + self._timeout_s
        resp = self._pools[address].request(
            method,
            path,
            body=body,
            headers={'Content-Type': 'application/json'},
            preload_content=False,
            timeout=request_timeout(self._timeout_s),
            retries=False,
            redirect=False,
        )
        try:
            content = read_body(resp, deadline)
        except BaseException:
            resp.close()
            raise
        resp.release_conn()
        return Reply(resp.status, content, retry_after_s(resp))

    def _addresses_in_order(self) -> tuple[Address, ...]:
        start = self._preferred
        return self._addresses[start:] + self._addresses[:start]

    def _drop_connections(self, address: Address) -> None:
        self._pools[address] = new_pool(address)
        following = self._addresses.index(address) + 1
        self._preferred = following % len(self._addresses)


def new_pool(address: Address) -> urllib3.HTTPConnectionPool:
    """Returns a pool without automatic retries."""
    return urllib3.HTTPConnectionPool(
        address.host,
        address.port,
        maxsize=POOL_SIZE,
        retries=False,
        socket_options=SOCKET_OPTIONS,
    )


def request_timeout(timeout_s: float) -> urllib3.Timeout:
    """Returns the time-outs for connecting and for each read."""
    return urllib3.Timeout(
        connect=min(CONNECT_TIMEOUT_S, timeout_s),
        read=timeout_s,
    )


def read_body(resp: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    """Returns the body; raises TimeoutError once the deadline has passed."""
    parts = []
    for part in resp.stream(READ_BYTES):
        parts.append(part)
        if time.monotonic() > deadline:
            raise TimeoutError(
                'the response was not complete before the time-out'
            )
    return b''.join(parts)


def retry_after_s(resp: urllib3.BaseHTTPResponse) -> float | None:
    """Returns the seconds in the Retry-After header; None without one."""
    text = resp.headers.get('Retry-After', '')
    try:
        return float(text)
    except ValueError:
        return None


def raise_answer_lost(method: str, path: str, exc: Exception) -> NoReturn:
    """Raises the error for a request without a complete response."""
    raise StoreAnswerLostError(
        f'The response to {method} {path} was lost ({type(exc).__name__}).',
        remedy='Read the object back before writing it again.',
    ) from exc

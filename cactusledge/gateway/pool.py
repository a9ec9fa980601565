"""Pool of idle keep-alive connections to endpoints."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from cactusledge.gateway.buffer_space import BufferSpace
from cactusledge.gateway.dialect import Dialect
from cactusledge.gateway.http_client import EndpointConnection
from cactusledge.gateway.messages import EndpointAnswer, Lifetime, Replica
from cactusledge.gateway.reach import EndpointReach

CONNECT_TIMEOUT_S = 0.4
PROBE_TIMEOUT_S = 0.25
DEFAULT_IDLE_S = 4.0
IDLE_MARGIN_S = 0.7  # endpoints may close idle connections slightly early
MAX_IDLE_PER_ENDPOINT = 12  # idle connections


def do_nothing(replica: Replica, answer: EndpointAnswer) -> None:
    """Takes no note of what an endpoint says of itself."""


class EndpointUnreachableError(Exception):
    """No connection could be opened; nothing was sent."""


class _Idle(NamedTuple):
    """An idle connection and the time until which it may be reused."""

    conn: EndpointConnection
    until_s: float


class ConnectionPool:
    """Idle connections by endpoint lifetime."""

    def __init__(
        self,
        dialect: Dialect,
        on_answer: Callable[[Replica, EndpointAnswer], None] = do_nothing,
        reach: EndpointReach | None = None,
        space: BufferSpace | None = None,
        *,
        echoes_ids: bool = True,
    ) -> None:
        """Starts without connections.

        Args:
            dialect: Reads the heads of answers.
            on_answer: Called with an endpoint and the head of its answer.
            reach: Told of attempts to connect; stops them if all fail.
            space: Counts the bytes of all answers.
            echoes_ids: Whether each answer names its request.
        """
        self._dialect = dialect
        self._on_answer = on_answer
        self._reach = reach or EndpointReach()
        self.space = space or BufferSpace()
        self._echoes_ids = echoes_ids
        self._idle: dict[Lifetime, list[_Idle]] = {}
        self.opened = 0

    async def take(
        self, replica: Replica, request_id: str
    ) -> EndpointConnection:
        """Returns the most recently used idle connection, or opens a new one.

        One on which its answer might be taken for another is left for others.

        Raises:
            EndpointUnreachableError: The endpoint accepts no connection.
        """
        now_s = asyncio.get_running_loop().time()
        conn = self._take_idle(replica.lifetime, request_id, now_s)
        if conn is not None:
            return conn
        if not self._reach.can_connect(now_s):
            raise EndpointUnreachableError('no endpoint is in reach')
        return await self._open(replica)

    async def probe(self, replica: Replica) -> None:
        """Opens a connection and keeps it for a request.

        Raises:
            EndpointUnreachableError: The endpoint accepts no connection.
        """
        conn = await self._open(replica, PROBE_TIMEOUT_S)
        self._put(replica.lifetime, conn, None)

    def forget(self, endpoint_id: str) -> None:
        """Closes the idle connections to an endpoint."""
        for lifetime in tuple(self._idle):
            if lifetime.endpoint_id == endpoint_id:
                self._drop(lifetime)

    def close(self) -> None:
        """Closes all idle connections."""
        for lifetime in tuple(self._idle):
            self._drop(lifetime)

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        now_s = asyncio.get_running_loop().time()
        for lifetime, idle in self._idle.items():
            for conn, until_s in idle:
                if until_s <= now_s:
                    conn.abort()
            self._idle[lifetime] = [
                kept for kept in idle if kept.until_s > now_s
            ]

    def _take_idle(
        self, lifetime: Lifetime, request_id: str, now_s: float
    ) -> EndpointConnection | None:
        idle = self._idle.get(lifetime, [])
        for index in reversed(range(len(idle))):
            conn, until_s = idle[index]
            is_usable = conn.is_open and now_s < until_s
            if is_usable and not conn.refusals.can_carry(request_id):
                continue
            idle.pop(index)
            if is_usable:
                return conn
            conn.abort()
        return None

    def _drop(self, lifetime: Lifetime) -> None:
        for conn, _ in self._idle.pop(lifetime, []):
            conn.abort()

    async def _open(
        self, replica: Replica, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> EndpointConnection:
        loop = asyncio.get_running_loop()
        lifetime = replica.lifetime

        def put(conn: EndpointConnection, idle_s: float | None) -> None:  # noqa: WPS430
            self._put(lifetime, conn, idle_s)

        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(
                    lambda: EndpointConnection(
                        self._dialect,
                        put,
                        partial(self._on_answer, replica),
                        self.space,
                        echoes_ids=self._echoes_ids,
                    ),
                    replica.host,
                    replica.port,
                )
        except (OSError, TimeoutError) as exc:
            self._reach.add_failed(
                replica.endpoint_id,
                loop.time(),
                is_refused=isinstance(exc, ConnectionRefusedError),
            )
            raise EndpointUnreachableError(repr(exc)) from exc
        self._reach.add_connected(replica.endpoint_id, loop.time())
        self.opened += 1
        return conn

    def _put(
        self,
        lifetime: Lifetime,
        conn: EndpointConnection,
        idle_s: float | None,
    ) -> None:
        keep_s = (idle_s or DEFAULT_IDLE_S) - IDLE_MARGIN_S
        idle = self._idle.setdefault(lifetime, [])
        if keep_s <= 0 or len(idle) >= MAX_IDLE_PER_ENDPOINT:
            conn.abort()
            return
        now_s = asyncio.get_running_loop().time()
        idle.append(_Idle(conn, now_s + keep_s))

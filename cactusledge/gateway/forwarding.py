"""Serves requests through another gateway that reaches the endpoints.

The other gateway serves the request as a caller's own: it alone decides on
budget, record and attempts. Its answer is passed on with its framing.
"""

import asyncio
import http
from collections.abc import Callable

import structlog

from cactusledge.gateway.answer_end import Framing, Transfer, TransferEnd
from cactusledge.gateway.answers import answer_unknown_outcome, begin_framed
from cactusledge.gateway.buffer_space import BufferSpace, HeldBytes
from cactusledge.gateway.context import Call, Outcome
from cactusledge.gateway.dialect import Dialect
from cactusledge.gateway.forward_peers import (
    ForwardPeer,
    ForwardTargets,
    NoTargets,
)
from cactusledge.gateway.http_client import EndpointConnection
from cactusledge.gateway.messages import EndpointAnswer, Outgoing, Replica
from cactusledge.gateway.pool import ConnectionPool, EndpointUnreachableError
from cactusledge.gateway.reach import EndpointReach
from cactusledge.gateway.responder import Responder

FORWARDED = 'forwarded'  # outcome reason: another gateway has served it
CLOSES = (b'Connection', b'close')  # as `Responder` writes it
MAX_TARGETS = 2  # gateways tried for one request

log = structlog.get_logger('gateway')


class ForwardedAnswer:
    """Passes another gateway's answer on to the caller.

    An answer with a length is passed on when it is whole or too large to be
    kept, any other one as it arrives. The caller's framing never claims more
    than the answer's.
    """

    def __init__(
        self,
        conn: Responder,
        encode: Callable[[EndpointAnswer], bytes],
        held: HeldBytes,
    ) -> None:
        """Stores the caller's connection and the encoder of headers."""
        self.held = held
        self.head: EndpointAnswer | None = None
        self.ended: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._conn = conn
        self._encode = encode
        self._framing = Framing.NONE
        self._kept = bytearray()

    def on_head(self, answer: EndpointAnswer, framing: Framing) -> None:
        """Begins the caller's answer unless its length is known."""
        self.head = answer
        self._framing = framing
        if framing is not Framing.LENGTH:
            self._begin(answer)

    def on_body(self, body: bytes) -> None:
        """Passes a part on, or keeps it."""
        if self._conn.has_head:
            self._conn.write_part(body)
            return
        self.held.add(len(body))
        self._kept += body
        if len(self._kept) > self.held.space.kept_bytes and self.head:
            self._begin(self.head)

    def on_end(self, transfer: Transfer) -> None:
        """Ends the caller's answer; `ended` tells whether it was whole."""
        ends_whole = {
            Framing.LENGTH: TransferEnd.FRAMED,
            Framing.CHUNKS: TransferEnd.FRAMED,
            Framing.NONE: TransferEnd.CLOSED,
        }
        is_whole = self.head is not None and (
            transfer.end is ends_whole[self._framing]
        )
        if self._conn.has_head and is_whole:
            self._conn.end_stream()
        elif self._conn.has_head:
            self._conn.close_incomplete()
        if not self.ended.done():
            self.ended.set_result(is_whole)

    @property
    def is_refused(self) -> bool:
        """Whether the other gateway has not run it and takes no more.

        Nothing has been passed on then.
        """
        if self.head is None or self._conn.has_head:
            return False
        is_unavailable = self.head.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        return is_unavailable and CLOSES in self.head.headers

    def pass_on(self) -> None:
        """Passes on what was kept of a whole answer with a length."""
        if self.head is not None and not self._conn.has_head:
            self._conn.answer(
                self.head.status, self._encode(self.head), bytes(self._kept)
            )

    def _begin(self, answer: EndpointAnswer) -> None:
        headers = self._encode(answer)
        begin_framed(self._conn, answer, headers, self._framing)
        if self._kept:
            self._conn.write_part(bytes(self._kept))
        self._kept.clear()
        self.held.release()


class Forwarder:
    """Forwards requests to other gateways, over connections of its own."""

    def __init__(
        self, dialect: Dialect, reach: EndpointReach, space: BufferSpace
    ) -> None:
        """Starts without another gateway."""
        self.targets: ForwardTargets = NoTargets()
        self._dialect = dialect
        self._reach = reach
        self._space = space
        # A gateway's own refusals name no request.
        self._pool = ConnectionPool(dialect, space=space, echoes_ids=False)

    def can_forward(self, call: Call) -> bool:
        """Returns whether another gateway should take the call.

        One hop at most, and only if no endpoint can be connected to from here.
        """
        if call.info.is_forwarded:
            return False
        now_s = asyncio.get_running_loop().time()
        is_cut_off = not self._reach.can_connect(now_s)
        return is_cut_off and self.targets.choose(()) is not None

    async def serve(self, call: Call) -> Outcome | None:
        """Serves a call that has not run; None if no gateway took it."""
        excluded: set[str] = set()
        refusal: ForwardedAnswer | None = None
        while len(excluded) < MAX_TARGETS:
            peer = self.targets.choose(excluded)
            if peer is None:
                break
            excluded.add(peer.name)
            try:
                conn = await self._pool.take(
                    as_replica(peer), call.info.request_id
                )
            except EndpointUnreachableError:
                continue
            answer = await self._exchange(call, peer, conn)
            if not answer.is_refused:
                return outcome_of(call, answer)
            refusal = answer
            # It has settled nothing, so this gateway does.
            call.progress.forwarded_to = ''
        return None if refusal is None else outcome_of(call, refusal)

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        self._pool.close_expired()

    async def _exchange(
        self, call: Call, peer: ForwardPeer, conn: EndpointConnection
    ) -> ForwardedAnswer:
        log.info(
            'gateway: request forwarded',
            request_id=call.info.request_id,
            gateway=peer.name,
            left_ms=round(call.remaining_ms()),
        )
        call.progress.forwarded_to = peer.name
        answer = ForwardedAnswer(
            call.conn,
            lambda head: self._dialect.response_headers(head.headers),
            HeldBytes(self._space),
        )
        request = call.request
        head = self._dialect.request_headers(
            Outgoing(request, request.body), None, call.remaining_ms()
        )
        start = b'%b %b HTTP/1.1\r\n' % (request.method, request.target)
        try:
            conn.send(
                (start + head, request.body),
                call.info.request_id,
                answer,
                call.conn.flow,
            )
            await answer.ended
        finally:
            answer.held.release()
            # Closed, the connection tells the other gateway to stop.
            if not answer.ended.done() or answer.ended.cancelled():
                conn.abort()
        return answer


def outcome_of(call: Call, answer: ForwardedAnswer) -> Outcome:
    """Passes an answer on as far as it was whole; returns how it ended."""
    if answer.ended.result() and answer.head is not None:
        answer.pass_on()
        return Outcome(answer.head.status, FORWARDED)
    if call.conn.has_head:
        return Outcome(0, 'forwarded answer broken')
    return answer_unknown_outcome(call)


def as_replica(peer: ForwardPeer) -> Replica:
    """Returns a gateway as an entry for the pool of connections."""
    return Replica(
        peer.name,
        '',
        peer.callers.host,
        peer.callers.port,
        '',
        0,
        is_draining=False,
        born_ms=0,
    )

"""Responses to callers: forwarded from an endpoint, or the gateway's own."""

import http

from cactusledge.gateway.answer_end import Framing, announced_length
from cactusledge.gateway.buffer_space import HeldBytes
from cactusledge.gateway.context import Call, Fleet, Outcome
from cactusledge.gateway.messages import EndpointAnswer
from cactusledge.gateway.responder import Responder
from cactusledge.gateway.sending import ExchangeResult, status_of
from cactusledge.gateway.sinks import ExchangeEnd

ANSWERED = 'answered'  # outcome reason: an endpoint's response was forwarded


class CallerPassage:
    """Passes a large answer on to its caller; implements `sinks.Passage`."""

    def __init__(self, fleet: Fleet, call: Call, held: HeldBytes) -> None:
        """Stores the caller's connection and the count of held bytes."""
        self._encode = fleet.dialect.response_headers
        self._conn = call.conn
        self._held = held

    def keep(self, size: int) -> int:
        """Counts bytes that are kept; returns how many an answer may keep."""
        self._held.add(size)
        return self._held.space.kept_bytes

    def begin(self, answer: EndpointAnswer, framing: Framing) -> bool:
        """Begins the caller's response with the endpoint's framing."""
        if self._conn.has_head:
            return False
        headers = self._encode(answer.headers)
        begin_framed(self._conn, answer, headers, framing)
        self._held.release()
        return True

    def write(self, body: bytes) -> None:
        """Writes a part of the body."""
        self._conn.write_part(body)


def begin_framed(
    conn: Responder, answer: EndpointAnswer, headers: bytes, framing: Framing
) -> None:
    """Begins a response that is framed like the answer it passes on."""
    has_length = framing is Framing.LENGTH
    conn.begin_stream(
        answer.status,
        headers,
        has_framing=framing is not Framing.NONE,
        length=announced_length(answer.headers) if has_length else None,
    )


def end_passed_on(call: Call, result: ExchangeResult) -> Outcome:
    """Ends a response that was passed on; one that broke off shows it."""
    if result.end is ExchangeEnd.ANSWERED:
        call.conn.end_stream()
        return Outcome(status_of(result), ANSWERED)
    call.conn.close_incomplete()
    return Outcome(0, 'answer broken off')


def forward_answer(fleet: Fleet, call: Call, result: ExchangeResult) -> Outcome:
    """Forwards a response that has ended; adds no framing if it had none."""
    status = status_of(result)
    answer = result.answer
    head = answer.head
    headers = fleet.dialect.response_headers(head.headers) if head else b''
    if answer.is_proven:
        call.conn.answer(status, headers, answer.body)
    else:
        call.conn.begin_stream(status, headers, has_framing=False)
        call.conn.write_part(answer.body)
        call.conn.end_stream()
    return Outcome(status, ANSWERED)


def answer_unknown_outcome(call: Call) -> Outcome:
    """Responds with 502: the call may have run, its result is unknown."""
    return refuse(call.conn, http.HTTPStatus.BAD_GATEWAY, 'answer broken')


def refuse(
    conn: Responder,
    status: int,
    reason: str,
    retry_after_s: float | None = None,
) -> Outcome:
    """Responds without an endpoint; sets `Retry-After` if a delay is given."""
    headers = b''
    if retry_after_s is not None:
        headers = f'Retry-After: {retry_after_s:.3f}\r\n'.encode()
    conn.answer(status, headers, b'')
    return Outcome(status, reason, retry_after_s=retry_after_s)

"""Responses to callers: forwarded from an endpoint, or the gateway's own."""

import http

from cactusledge.gateway.context import Call, Fleet, Outcome
from cactusledge.gateway.responder import Responder
from cactusledge.gateway.sending import ExchangeResult, status_of

ANSWERED = 'answered'  # outcome reason: an endpoint's response was forwarded


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

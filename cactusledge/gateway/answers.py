"""Answers to callers: an endpoint's, passed on unchanged, or our own."""

import http

from cactusledge.gateway.context import Call, Fleet, Outcome
from cactusledge.gateway.responder import Responder
from cactusledge.gateway.sending import ExchangeResult, status_of

ANSWERED = 'answered'  # the reason of an endpoint's own answer


def forward_answer(fleet: Fleet, call: Call, result: ExchangeResult) -> Outcome:
    """Passes a whole answer on."""
    status = status_of(result)
    head = result.answer.head
    headers = fleet.dialect.response_headers(head.headers) if head else b''
    call.conn.answer(status, headers, result.answer.body)
    return Outcome(status, ANSWERED)


def answer_unknown_outcome(call: Call) -> Outcome:
    """Answers a call that may have run, without saying how it ended."""
    return refuse(call.conn, http.HTTPStatus.BAD_GATEWAY, 'answer broken')


def refuse(
    conn: Responder,
    status: int,
    reason: str,
    retry_after_s: float | None = None,
) -> Outcome:
    """Answers for the endpoints; says when to come back, if that helps."""
    headers = b''
    if retry_after_s is not None:
        headers = f'Retry-After: {retry_after_s:.3f}\r\n'.encode()
    conn.answer(status, headers, b'')
    return Outcome(status, reason, retry_after_s=retry_after_s)

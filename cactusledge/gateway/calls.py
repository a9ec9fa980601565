"""Serves calls of plain services: one whole answer for one request."""

import http

from cactusledge.gateway.answers import pass_on, refuse
from cactusledge.gateway.context import Call, Fleet, Outcome
from cactusledge.gateway.messages import Replica, Repeatability
from cactusledge.gateway.placement import choose_service
from cactusledge.gateway.sending import Attempts
from cactusledge.gateway.sinks import End, WholeAnswer

BUSY_RETRY_S = 0.1  # until a full service has room again


async def serve_call(fleet: Fleet, call: Call, service: str) -> Outcome:
    """Answers a call; a failure that leaves its effect open is a 502."""
    attempts = Attempts(fleet, call, service)
    repeats = call.route.repeatability is Repeatability.IDEMPOTENT
    last = End.NOT_RUN
    while attempts.may_send:
        found = await attempts.connect(_choose)
        if found is None:
            break
        replica, conn = found
        sent = await attempts.exchange(
            replica, conn, WholeAnswer(), call.request.body
        )
        if sent.end is End.ANSWERED:
            return pass_on(fleet, call, sent, attempts.count)
        last = End.BROKEN if End.BROKEN in {last, sent.end} else sent.end
        if sent.end is End.BROKEN and not repeats:
            break
    if last is End.BROKEN:
        return refuse(call.conn, http.HTTPStatus.BAD_GATEWAY, 'answer broken')
    return refuse(
        call.conn,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        f'no endpoint took it in {attempts.count} attempts',
        BUSY_RETRY_S,
    )


def _choose(attempts: Attempts) -> Replica | None:
    fleet = attempts.fleet
    return choose_service(
        attempts.candidates(), fleet.loads, fleet.data_centre
    )

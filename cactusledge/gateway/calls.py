"""Serves calls of plain services: one whole answer for one request."""

import asyncio
import http

from cactusledge.gateway.answers import give_up, pass_on, refuse
from cactusledge.gateway.context import Call, Fleet, Outcome
from cactusledge.gateway.messages import Repeatability, Replica
from cactusledge.gateway.placement import choose_service
from cactusledge.gateway.sending import Attempts, Sent
from cactusledge.gateway.sinks import End, WholeAnswer

BUSY_RETRY_S = 0.1  # until a full service has room again


async def serve_call(fleet: Fleet, call: Call, service: str) -> Outcome:
    """Answers a call; a failure that leaves its effect open is a 502."""
    attempts = Attempts(fleet, call, service)
    may_have_run = False
    sent = await _attempt(attempts)
    while sent is not None and _is_repeated(call, sent):
        may_have_run = may_have_run or sent.end is End.BROKEN
        sent = await _attempt(attempts)
    if sent is not None and sent.end is End.ANSWERED:
        return pass_on(fleet, call, sent)
    if sent is not None or may_have_run:
        return give_up(call)
    return refuse(
        call.conn,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        f'refused by {len(attempts.offered)} endpoints',
        BUSY_RETRY_S,
    )


def _is_repeated(call: Call, sent: Sent) -> bool:
    """Returns whether the call may be sent once more."""
    if sent.end is End.BROKEN:
        return call.route.repeatability is Repeatability.IDEMPOTENT
    return sent.end is End.NOT_RUN


async def _attempt(attempts: Attempts) -> Sent | None:
    """Returns one exchange, None if there is no endpoint left."""
    found = await attempts.connect(_choose)
    if found is None:
        return None
    replica, conn = found
    body = attempts.call.request.body
    return await attempts.exchange(replica, conn, WholeAnswer(), body)


def _choose(attempts: Attempts) -> Replica | None:
    fleet = attempts.fleet
    return choose_service(
        attempts.candidates(),
        fleet.loads,
        fleet.data_centre,
        asyncio.get_running_loop().time(),
    )

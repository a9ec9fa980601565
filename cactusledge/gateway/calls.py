"""Serves calls to plain services: one request, one complete response."""

import asyncio
import http

from cactusledge.gateway.answers import (
    CallerPassage,
    answer_unknown_outcome,
    end_passed_on,
    forward_answer,
    refuse,
)
from cactusledge.gateway.buffer_space import HeldBytes
from cactusledge.gateway.context import Call, Fleet, Outcome
from cactusledge.gateway.messages import Outgoing, Replica
from cactusledge.gateway.placement import Terms, choose_service
from cactusledge.gateway.selection import Selection
from cactusledge.gateway.sending import Attempts, ExchangeResult
from cactusledge.gateway.sinks import BufferedAnswer, ExchangeEnd

BUSY_RETRY_S = 0.1  # for an overloaded service to have capacity again


async def serve_call(fleet: Fleet, call: Call, service: str) -> Outcome:
    """Serves a call; responds 502 if it is unknown whether the call ran."""
    held = HeldBytes(fleet.pool.space)
    try:
        return await _serve(fleet, call, service, held)
    finally:
        held.release()


async def _serve(
    fleet: Fleet, call: Call, service: str, held: HeldBytes
) -> Outcome:
    attempts = Attempts(fleet, call, service)
    passage = CallerPassage(fleet, call, held)
    result = await attempts.repeat(lambda: _attempt(attempts, passage))
    if result is not None and result.answer.is_passed_on:
        return end_passed_on(call, result)
    if has_not_run(call, result) and fleet.forwarder.can_forward(call):
        outcome = await fleet.forwarder.serve(call)
        if outcome is not None:
            return outcome
    if result is None:
        return refuse(
            call.conn,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            f'refused by {len(attempts.selection.contacted)} endpoints',
            BUSY_RETRY_S,
        )
    if result.end is ExchangeEnd.ANSWERED:
        return forward_answer(fleet, call, result)
    return answer_unknown_outcome(call)


def has_not_run(call: Call, result: ExchangeResult | None) -> bool:
    """Returns whether the call may still be sent to another gateway."""
    if result is None:
        return True
    return result.end is ExchangeEnd.BROKEN and call.route.may_repeat


async def _attempt(
    attempts: Attempts, passage: CallerPassage
) -> ExchangeResult | None:
    """Returns the result of one attempt, None if no endpoint is left."""
    found = await attempts.selection.connect(_choose)
    if found is None:
        return None
    replica, conn = found
    call = attempts.call
    outgoing = Outgoing(
        call.request, call.request.body, account=call.account_name
    )
    answer = BufferedAnswer(passage)
    return await attempts.exchange(replica, conn, answer, outgoing)


def _choose(selection: Selection) -> Replica | None:
    fleet = selection.fleet
    way = selection.find_way(len(selection.call.request.body), 1)
    terms = Terms(
        fleet.data_centre,
        asyncio.get_running_loop().time(),
        fleet.suspects.risk_of(selection.call.keys, selection.broken),
        way.cost_ms,
    )
    candidates = way.narrow(selection.candidates())
    return choose_service(candidates, fleet.loads, terms)

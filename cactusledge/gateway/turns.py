"""Serves turns of agent programs: event streams of model engines.

The tokens of a turn with a budget are reserved before it is sent. On a route
that keeps history, the turn's record is durable before its response ends. A
turn is sent again if the engine states that it did not run it; a resumable one
also continues on another engine after a failure.
"""

import http
import time
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

import structlog

from cactusledge.gateway.answers import (
    ANSWERED,
    answer_unknown_outcome,
    end_passed_on,
    forward_answer,
    refuse,
)
from cactusledge.gateway.buffer_space import HeldBytes
from cactusledge.gateway.chains import Chain, ChainCache, compress, join
from cactusledge.gateway.context import Call, Fleet, Outcome
from cactusledge.gateway.events import event_data
from cactusledge.gateway.retry_times import (
    NO_ROOM_RETRY_S,
    UNSURE_RETRY_S,
    quorum_retry_s,
)
from cactusledge.gateway.sending import (
    Attempts,
    ExchangeResult,
    is_successful,
    status_of,
)
from cactusledge.gateway.sinks import ExchangeEnd
from cactusledge.gateway.turn_needs import (
    TurnNeeds,
    budget_id_of,
    needs_of,
    retention_of,
)
from cactusledge.gateway.turn_stream import TurnStream
from cactusledge.records.client import RecordClient
from cactusledge.records.entries import Settled, Turn
from cactusledge.records.quorum import Demand, Verdict
from cactusledge.records.reservations import Grant
from cactusledge.records.turn_start import TurnStart

MS = 1000
BUSY_RETRY_S = 0.3  # for a full engine to have a free slot
FOREIGN_TURN = "continues another account's turn"  # outcome reason


log = structlog.get_logger('gateway')


class Refusal(NamedTuple):
    """The response to a turn that is not sent to an engine."""

    status: int
    retry_after_s: float | None


REFUSALS: Mapping[Verdict, Refusal] = MappingProxyType({
    Verdict.SPENT: Refusal(http.HTTPStatus.PAYMENT_REQUIRED, None),
    Verdict.NO_PARENT: Refusal(http.HTTPStatus.NOT_FOUND, None),
    Verdict.UNSURE: Refusal(
        http.HTTPStatus.SERVICE_UNAVAILABLE, UNSURE_RETRY_S
    ),
    Verdict.NO_ROOM: Refusal(
        http.HTTPStatus.SERVICE_UNAVAILABLE, NO_ROOM_RETRY_S
    ),
})


class TurnServer:
    """Serves event streams with what each needs from the record stores."""

    def __init__(self, fleet: Fleet, records: RecordClient) -> None:
        """Stores the endpoints and the record client."""
        self._fleet = fleet
        self._records = records
        self._chains = ChainCache()

    async def serve(self, call: Call, service: str) -> Outcome:
        """Serves one turn."""
        info = call.info
        needs = needs_of(call.route, info)
        if needs.has_history and info.last_event_id:
            # The record would lack the events of the earlier request.
            return refuse(
                call.conn,
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'a recorded turn cannot continue another request',
            )
        stream = TurnStream(
            call,
            self._tokens_per_event(call, service),
            HeldBytes(self._fleet.pool.space),
        )
        try:
            return await self._serve_stream(call, service, stream, needs)
        finally:
            stream.held.release()
            is_open = not (stream.is_recorded or call.progress.forwarded_to)
            is_reserved = needs.has_budget and stream.may_be_reserved
            if is_open and (is_reserved or stream.tokens):
                self._records.settle(
                    Settled(
                        budget_id_of(info),
                        info.request_id,
                        stream.tokens,
                        retention_of(call.route),
                    )
                )

    async def _serve_stream(
        self, call: Call, service: str, stream: TurnStream, needs: TurnNeeds
    ) -> Outcome:
        if needs.involves_stores:
            grant = await self._begin(call, stream, needs)
            if grant.verdict is not Verdict.GRANTED:
                return self._refuse(call, grant)
        if not may_continue(call, stream.chain):
            return refuse(call.conn, http.HTTPStatus.NOT_FOUND, FOREIGN_TURN)
        return await self._send(call, service, stream)

    async def _begin(
        self, call: Call, stream: TurnStream, needs: TurnNeeds
    ) -> Grant:
        """Reserves the turn's tokens and sets the stream's chain."""
        info = call.info
        parent_id = info.parent_id if needs.has_history else ''
        cached = self._chains.get(parent_id)
        start = TurnStart(
            Demand(info.request_id, info.max_tokens, info.budget, parent_id),
            budget_id_of(info),
            wants_chain=bool(parent_id) and cached is None,
            retention_s=retention_of(call.route),
        )
        grant = await self._records.begin(start)
        self._fleet.metrics.add('gateway_turns_total', verdict=grant.verdict)
        group = self._records.group_of(start.program_id)
        log.info(
            'gateway: tokens asked for',
            request_id=info.request_id,
            program_id=info.program_id,
            parent_id=info.parent_id,
            tokens=start.demand.tokens,
            budget=start.demand.budget,
            verdict=grant.verdict,
            replies=grant.reason,
            shard=group.shard,
            generation=group.generation,
        )
        stream.may_be_reserved = grant.may_be_reserved
        stream.chain = cached or join(grant.chain)
        return grant._replace(chain=())

    def _refuse(self, call: Call, grant: Grant) -> Outcome:
        """Responds to a turn that was not granted.

        Without a quorum the connection is closed, so that the caller's next
        attempt can reach another instance.
        """
        refusal = REFUSALS[grant.verdict]
        retry_after_s = refusal.retry_after_s
        if grant.verdict is Verdict.UNSURE and not self._records.has_quorum:
            state = self._records.quorum_state
            retry_after_s = quorum_retry_s(
                state.lost_for_s, was_connected=state.was_connected
            )
            call.conn.keeps_alive = False
        return refuse(
            call.conn,
            refusal.status,
            f'{grant.verdict}: {grant.reason}',
            retry_after_s,
        )

    def _tokens_per_event(self, call: Call, service: str) -> int:
        found = call.table.service(service)
        if found is None or found.engine is None:
            return 1
        return found.engine.tokens_per_event

    async def _send(
        self, call: Call, service: str, stream: TurnStream
    ) -> Outcome:
        attempts = Attempts(self._fleet, call, service)
        result = await attempts.repeat(lambda: self._attempt(attempts, stream))
        if result is None and self._fleet.forwarder.can_forward(call):
            # The other gateway settles the reservation of this turn.
            outcome = await self._fleet.forwarder.serve(call)
            if outcome is not None:
                return outcome
        if result is None:
            return refuse(
                call.conn,
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                f'refused by {len(attempts.selection.contacted)} engines',
                BUSY_RETRY_S,
            )
        return await self._end(call, stream, result)

    async def _attempt(
        self, attempts: Attempts, stream: TurnStream
    ) -> ExchangeResult | None:
        """Returns the result of one attempt, None if no engine is left."""
        if stream.is_too_large:
            return None
        found = await attempts.selection.connect(stream.choose)
        if found is None:
            return None
        replica, conn = found
        answer = stream.new_answer(self._fleet, replica)
        self._fleet.loads.at(replica).add_cached_parts(attempts.call.info.parts)
        result = await attempts.exchange(
            replica, conn, answer, stream.outgoing()
        )
        stream.record_reading(self._fleet, replica, answer.timed)
        return result

    async def _end(
        self,
        call: Call,
        stream: TurnStream,
        result: ExchangeResult,
    ) -> Outcome:
        """Ends the caller's response according to the engine's."""
        if result.answer.is_passed_on:
            return end_passed_on(call, result)
        if is_successful(result):
            if call.route.keeps_turns and not await self._record(
                call, stream, result
            ):
                call.conn.close_incomplete()
                return Outcome(0, 'turn not recorded')
            call.conn.end_stream()
            return Outcome(status_of(result), ANSWERED)
        if call.conn.has_head:
            call.conn.close_incomplete()
            return Outcome(0, 'stream broken')
        if result.end is ExchangeEnd.ANSWERED:
            return forward_answer(self._fleet, call, result)
        return answer_unknown_outcome(call)

    async def _record(
        self, call: Call, stream: TurnStream, result: ExchangeResult
    ) -> bool:
        """Records the turn; returns whether the record is durable."""
        info = call.info
        response = event_data(stream.delivered)
        turn = Turn(
            turn_id=info.request_id,
            parent_id=info.parent_id,
            program_id=budget_id_of(info),
            request=compress(call.request.body),
            response=compress(response),
            tokens=stream.tokens,
            endpoint_id=result.replica.endpoint_id,
            holders=(),  # chosen by the record client
            account=call.account_name,
            retention_s=retention_of(call.route),
            has_budget=info.budget is not None,
        )
        started_s = time.monotonic()
        recorded = await self._records.record(turn)
        took_s = time.monotonic() - started_s
        self._fleet.metrics.observe('gateway_record_seconds', took_s)
        log.info(
            'gateway: turn recorded',
            request_id=info.request_id,
            is_durable=recorded.is_durable,
            rounds=recorded.rounds,
            tokens=turn.tokens,
            ms=round(took_s * MS, 1),
        )
        if not recorded.is_durable:
            return False
        stream.is_recorded = True
        self._chains.extend(stream.chain, (call.request.body, response), turn)
        return True


def may_continue(call: Call, chain: Chain) -> bool:
    """Returns whether the caller's account may continue a chain."""
    return call.table.accounts.may_continue(chain.account, call.account)

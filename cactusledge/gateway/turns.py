"""Serves turns of agent programs: event streams with recorded history.

A turn's tokens are reserved before it is sent, and its record is durable
before its response ends. A turn is sent again only if the engine states that
it did not run it.
"""

import asyncio
import http
import time
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

import structlog

from cactusledge.gateway.answers import (
    ANSWERED,
    answer_unknown_outcome,
    forward_answer,
    refuse,
)
from cactusledge.gateway.chains import (
    EMPTY_CHAIN,
    Chain,
    ChainCache,
    compress,
    join,
)
from cactusledge.gateway.context import Call, Fleet, Outcome
from cactusledge.gateway.events import count_events, event_data
from cactusledge.gateway.messages import EndpointAnswer, Replica
from cactusledge.gateway.placement import choose_engine
from cactusledge.gateway.sending import (
    Attempts,
    ExchangeResult,
    is_successful,
    status_of,
)
from cactusledge.gateway.sinks import ExchangeEnd, StreamAnswer
from cactusledge.records.client import RecordClient
from cactusledge.records.entries import Turn
from cactusledge.records.quorum import Demand, Verdict
from cactusledge.records.reservations import Grant, TurnStart

MS = 1000
UNSURE_RETRY_S = 0.25  # for the record stores to answer again
BALANCER_FAILOVER_S = 2.2  # for the balancer to switch to other instances
BUSY_RETRY_S = 0.3  # for a full engine to have a free slot


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
})


class TurnServer:
    """Serves event streams; records turns if the route keeps them."""

    def __init__(self, fleet: Fleet, records: RecordClient) -> None:
        """Stores the endpoints and the record client."""
        self._fleet = fleet
        self._records = records
        self._chains = ChainCache()

    async def serve(self, call: Call, service: str) -> Outcome:
        """Serves one turn."""
        if not call.route.keeps_turns:
            stream = TurnStream(call, EMPTY_CHAIN, 0)
            return await self._send(call, service, stream)
        return await self._serve_recorded(call, service)

    async def _serve_recorded(self, call: Call, service: str) -> Outcome:
        info = call.info
        cached = self._chains.get(info.parent_id) or EMPTY_CHAIN
        start = TurnStart(
            Demand(
                info.request_id, info.max_tokens, info.budget, info.parent_id
            ),
            info.program_id,
            wants_chain=bool(info.parent_id) and cached is EMPTY_CHAIN,
        )
        usage = _TurnUsage()
        try:
            return await self._reserve_and_send(
                call, service, start, cached, usage
            )
        finally:
            if not usage.is_recorded:
                self._records.settle(
                    info.program_id, info.request_id, usage.tokens
                )

    async def _reserve_and_send(
        self,
        call: Call,
        service: str,
        start: TurnStart,
        cached: Chain,
        usage: '_TurnUsage',
    ) -> Outcome:
        grant = await self._records.begin(start)
        self._fleet.metrics.add('gateway_turns_total', verdict=grant.verdict)
        log.info(
            'gateway: tokens asked for',
            request_id=call.info.request_id,
            program_id=call.info.program_id,
            parent_id=call.info.parent_id,
            tokens=start.demand.tokens,
            budget=start.demand.budget,
            verdict=grant.verdict,
            replies=grant.reason,
            generation=self._records.group.generation,
        )
        if grant.verdict is not Verdict.GRANTED:
            return self._refuse(call, grant)
        chain = join(grant.chain) if start.wants_chain else cached
        stream = TurnStream(call, chain, self._tokens_per_event(call, service))
        stream.usage = usage
        return await self._send(call, service, stream)

    def _refuse(self, call: Call, grant: Grant) -> Outcome:
        """Responds to a turn that was not granted.

        Without a quorum the connection is closed, and callers are told to retry
        once the balancer has switched to other instances.
        """
        refusal = REFUSALS[grant.verdict]
        retry_after_s = refusal.retry_after_s
        if grant.verdict is Verdict.UNSURE and not self._records.has_quorum:
            left_s = BALANCER_FAILOVER_S - self._records.quorum_lost_for_s
            retry_after_s = max(UNSURE_RETRY_S, left_s)
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
        self, call: Call, service: str, stream: 'TurnStream'
    ) -> Outcome:
        attempts = Attempts(self._fleet, call, service)
        body = stream.chain.text + call.request.body
        found = await attempts.connect(stream.choose)
        while found is not None:
            replica, conn = found
            answer = stream.new_answer(self._fleet, replica)
            self._fleet.loads.at(replica).add_cached_parts(call.info.parts)
            try:
                result = await attempts.exchange(replica, conn, answer, body)
            finally:
                stream.count(answer)
            if result.end is not ExchangeEnd.NOT_RUN:
                return await self._end(call, stream, result)
            found = await attempts.connect(stream.choose)
        return refuse(
            call.conn,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            f'refused by {len(attempts.contacted)} engines',
            BUSY_RETRY_S,
        )

    async def _end(
        self,
        call: Call,
        stream: 'TurnStream',
        result: ExchangeResult,
    ) -> Outcome:
        """Ends the caller's response according to the engine's."""
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
        self, call: Call, stream: 'TurnStream', result: ExchangeResult
    ) -> bool:
        """Records the turn; returns whether the record is durable."""
        info = call.info
        response = event_data(result.answer.body)
        turn = Turn(
            turn_id=info.request_id,
            parent_id=info.parent_id,
            program_id=info.program_id,
            request=compress(call.request.body),
            response=compress(response),
            tokens=stream.usage.tokens,
            endpoint_id=result.replica.endpoint_id,
            holders=(),  # chosen by the record client
        )
        started_s = time.monotonic()
        is_durable = await self._records.record(turn)
        took_s = time.monotonic() - started_s
        self._fleet.metrics.observe('gateway_record_seconds', took_s)
        log.info(
            'gateway: turn recorded',
            request_id=info.request_id,
            is_durable=is_durable,
            tokens=turn.tokens,
            ms=round(took_s * MS, 1),
        )
        if not is_durable:
            return False
        stream.usage.is_recorded = True
        text = b''.join((stream.chain.text, call.request.body, response))
        self._chains.put(
            info.request_id, Chain(text, result.replica.endpoint_id)
        )
        return True


class _TurnUsage:
    """The tokens that a turn has delivered, and if they are recorded."""

    def __init__(self) -> None:
        self.tokens = 0
        self.is_recorded = False


class TurnStream:
    """One turn being served: its call, its chain and its token usage."""

    def __init__(self, call: Call, chain: Chain, tokens_per_event: int) -> None:
        """Starts before the first attempt."""
        self.call = call
        self.chain = chain
        self.usage = _TurnUsage()
        self._tokens_per_event = tokens_per_event

    def choose(self, attempts: Attempts) -> Replica | None:
        """Returns the engine to send the turn to."""
        fleet = attempts.fleet
        candidates = attempts.candidates()
        parts = self.call.info.parts
        for replica in candidates:
            if replica.endpoint_id == self.chain.endpoint_id:
                fleet.loads.at(replica).add_cached_parts(parts)
        return choose_engine(
            candidates,
            fleet.loads,
            parts,
            fleet.data_centre,
            asyncio.get_running_loop().time(),
        )

    def new_answer(self, fleet: Fleet, replica: Replica) -> StreamAnswer:
        """Returns a sink that forwards the events to the caller."""
        conn = self.call.conn
        parts = self.call.info.parts

        def on_start(answer: EndpointAnswer) -> None:  # noqa: WPS430
            self.call.progress.first_event_ms = round(self.call.age_ms(), 1)
            fleet.loads.record_read(replica, parts)
            headers = fleet.dialect.response_headers(answer.headers)
            conn.begin_stream(answer.status, headers)

        return StreamAnswer(on_start, conn.write_chunk)

    def count(self, answer: StreamAnswer) -> None:
        """Adds the tokens that an attempt has delivered to the caller."""
        if answer.has_started:
            events = count_events(answer.body)
            self.usage.tokens += events * self._tokens_per_event

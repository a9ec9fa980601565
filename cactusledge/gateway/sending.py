"""Sends a call to endpoints until one responds or may have run it."""

import asyncio
import http
from collections.abc import Awaitable, Callable, Generator
from contextlib import contextmanager, suppress
from typing import NamedTuple

import structlog

from cactusledge.gateway.answer_end import TransferEnd, end_fields
from cactusledge.gateway.context import Call, Fleet
from cactusledge.gateway.engine_speeds import TimedEvents
from cactusledge.gateway.exchange import OpenExchange
from cactusledge.gateway.http_client import EndpointConnection
from cactusledge.gateway.messages import Outgoing, Replica
from cactusledge.gateway.selection import Selection
from cactusledge.gateway.silence import silence_limit_s
from cactusledge.gateway.sinks import BufferedAnswer, ExchangeEnd, is_success

# By the endpoint or the link; an abandoned one was closed here.
LOST_CONNECTIONS = frozenset((TransferEnd.CLOSED, TransferEnd.RESET))

MS = 1000
JUDGEMENT_WAIT_S = 0.1  # for a connection to be refused

log = structlog.get_logger('gateway')

Attempt = Callable[[], Awaitable['ExchangeResult | None']]


class ExchangeResult(NamedTuple):
    """A finished exchange with an endpoint."""

    replica: Replica
    answer: BufferedAnswer
    end: ExchangeEnd


class Attempts:
    """Sends one call to the endpoints that are selected for it."""

    def __init__(self, fleet: Fleet, call: Call, service: str) -> None:
        """Starts before the first attempt."""
        self.fleet = fleet
        self.call = call
        self.selection = Selection(fleet, call, service)

    async def exchange(
        self,
        replica: Replica,
        conn: EndpointConnection,
        answer: BufferedAnswer,
        outgoing: Outgoing,
    ) -> ExchangeResult:
        """Sends the request and waits for the end of its response.

        A cancelled exchange closes its connection, which signals the endpoint
        to stop.
        """
        self._note_sent(replica, outgoing)
        load = self.fleet.loads.of(replica.endpoint_id)
        now_s = asyncio.get_running_loop().time()
        log.info(
            'gateway: request sent',
            request_id=self.call.info.request_id,
            request_key=self.call.keys.exact,
            target_key=self.call.keys.target,
            endpoint_id=replica.endpoint_id,
            endpoint_data_centre=replica.data_centre,
            in_flight=load.in_flight,
            in_flight_elsewhere=load.remote_in_flight,
            event_ms=round(load.pace.event_ms or 0, 1),
            left_ms=round(self.call.remaining_ms()),
            attempt=len(self.selection.contacted),
            resume_after=outgoing.resume_after,
            limit_per_s=self.fleet.limits.rate_per_s(replica, now_s),
        )
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with self._open(replica, conn, answer):
            conn.send(
                self._encode(replica, outgoing),
                self.call.info.request_id,
                answer,
                self.call.conn.flow,
            )
            end = await self._end_of(replica, conn, answer)
        self.fleet.reach.add_received(replica.endpoint_id, conn.received_s)
        self.call.progress.answer_end = answer.answer_end
        self.fleet.metrics.add('gateway_exchanges_total', end=end)
        self.fleet.metrics.add(
            'gateway_answer_ends_total', 1, **end_fields(answer.answer_end)
        )
        if end is not ExchangeEnd.ANSWERED:
            log.warning(
                'gateway: exchange failed',
                request_id=self.call.info.request_id,
                request_key=self.call.keys.exact,
                endpoint_id=replica.endpoint_id,
                end=end,
                status=answer.head.status if answer.head else 0,
                **end_fields(answer.answer_end),
            )
        if end is ExchangeEnd.ANSWERED:
            self.fleet.crashes.note_answered(self.call.keys)
            self._record_answer(replica, answer, started_s)
        elif end is ExchangeEnd.BROKEN:
            self.selection.broken += 1
            self._record_failure(replica)
            self._doubt(replica, answer)
        return ExchangeResult(replica, answer, end)

    async def repeat(self, attempt: Attempt) -> ExchangeResult | None:
        """Attempts the call until it is answered or may not be repeated.

        Returns the last result after which the call may have run, None if no
        endpoint has run it.
        """
        failed: ExchangeResult | None = None
        result = await attempt()
        while result is not None and self._should_repeat(result):
            failed = failed if result.end is ExchangeEnd.NOT_RUN else result
            await self._await_judgement(result)
            result = await attempt()
        return result or failed

    def _note_sent(self, replica: Replica, outgoing: Outgoing) -> None:
        way = self.selection.way
        self.fleet.cross.note_sent(replica, way, outgoing.size)
        self.selection.add_contacted(replica.endpoint_id)
        self.call.progress.contacted.append(replica.endpoint_id)

    def _record_answer(
        self, replica: Replica, answer: BufferedAnswer, started_s: float
    ) -> None:
        """Records what an answer shows of its endpoint's health and speed."""
        load = self.fleet.loads.of(replica.endpoint_id)
        now_s = asyncio.get_running_loop().time()
        took_ms = (now_s - started_s) * 1000
        is_error = is_endpoint_error(answer)
        load.record_error_sample(now_s, is_error=is_error)
        if not is_error:
            load.record_success(took_ms / answer.work_units, now_s)
            self._record_pace(replica, answer.timed, now_s)

    def _record_pace(
        self, replica: Replica, timed: TimedEvents, now_s: float
    ) -> None:
        self.fleet.loads.record_pace(replica, timed, now_s)
        if timed.events > 0:
            self.fleet.metrics.observe(
                'gateway_event_seconds', timed.took_ms / timed.events / MS
            )

    async def _await_judgement(self, result: ExchangeResult) -> None:
        """Waits a moment to learn whether the call has ended an endpoint.

        If it has, it must go elsewhere than others that ran there, or nowhere.
        """
        if result.end is ExchangeEnd.BROKEN:
            with suppress(TimeoutError):
                async with asyncio.timeout(JUDGEMENT_WAIT_S):
                    await self.fleet.ends.wait_judged(result.replica)

    def _should_repeat(self, result: ExchangeResult) -> bool:
        """Returns whether the call is sent to another endpoint.

        An endpoint's own error is retried only on an endpoint not contacted
        yet, as the call itself may be what fails.
        """
        route = self.call.route
        if result.answer.is_passed_on:
            return False
        if result.end is ExchangeEnd.ANSWERED:
            return (
                route.may_repeat
                and self.selection.has_more
                and is_endpoint_error(result.answer)
            )
        return result.end is ExchangeEnd.NOT_RUN or route.may_repeat

    async def _end_of(
        self,
        replica: Replica,
        conn: EndpointConnection,
        answer: BufferedAnswer,
    ) -> ExchangeEnd:
        """Waits for the end; abandons an endpoint that has fallen silent.

        Its answer may be lost. Only a call that may be repeated is abandoned,
        and only while another endpoint can take it.
        """
        limit_s = self._silence_limit_s(replica)
        if limit_s is None:
            return await answer.ended
        while not (answer.ended.done() or answer.is_passed_on):
            now_s = asyncio.get_running_loop().time()
            left_s = conn.last_activity_s + limit_s - now_s
            if left_s <= 0:
                conn.abandon()
            else:
                await asyncio.wait((answer.ended,), timeout=left_s)
        return await answer.ended

    def _silence_limit_s(self, replica: Replica) -> float | None:
        """Returns how long the endpoint may be silent, None for any time."""
        route = self.call.route
        selection = self.selection
        may_leave = route.may_repeat and selection.has_more
        if not may_leave or not selection.candidates():
            return None
        return silence_limit_s(
            route.target_latency_ms,
            self.fleet.loads.of(replica.endpoint_id).latency_ms,
            self.call.remaining_ms(),
        )

    @contextmanager
    def _open(
        self,
        replica: Replica,
        conn: EndpointConnection,
        answer: BufferedAnswer,
    ) -> Generator[None, None, None]:
        """Tracks an open exchange; closes its connection if cancelled."""
        load = self.fleet.loads.of(replica.endpoint_id)
        exchange = OpenExchange(replica, conn, self.call.route.repeatability)
        load.in_flight += 1
        self.fleet.partitions.add(exchange)
        suspects = self.fleet.suspects
        try:
            with suspects.running(replica.endpoint_id, self.call.keys):
                yield
        finally:
            load.in_flight -= 1
            self.fleet.partitions.remove(exchange)
            if not answer.ended.done() or answer.ended.cancelled():
                conn.abort()

    def _encode(
        self, replica: Replica, outgoing: Outgoing
    ) -> tuple[bytes, ...]:
        """Returns the head and the parts of the body."""
        request = outgoing.request
        fields = self.fleet.dialect.request_headers(
            outgoing, replica, self.call.remaining_ms()
        )
        head = b'%b %b HTTP/1.1\r\n%b' % (
            request.method,
            request.target,
            fields,
        )
        if outgoing.context:
            return head, outgoing.context, outgoing.body
        return head, outgoing.body

    def _doubt(self, replica: Replica, answer: BufferedAnswer) -> None:
        """Notes a connection that broke although the endpoint should stay."""
        seen = answer.answer_end
        is_lost = seen is not None and seen.transfer.end in LOST_CONNECTIONS
        if is_lost and not self.fleet.departures.is_leaving(replica):
            now_s = asyncio.get_running_loop().time()
            self.fleet.ends.add_broken(replica, self.call.keys, now_s)

    def _record_failure(self, replica: Replica) -> None:
        now_s = asyncio.get_running_loop().time()
        self.fleet.loads.of(replica.endpoint_id).record_failure(now_s)


def is_endpoint_error(answer: BufferedAnswer) -> bool:
    """Returns whether the response reports a failure of the endpoint.

    A 504 is not counted: it reports that the request's deadline has passed.
    """
    status = answer.head.status if answer.head else 0
    is_late = status == http.HTTPStatus.GATEWAY_TIMEOUT
    return status >= http.HTTPStatus.INTERNAL_SERVER_ERROR and not is_late


def status_of(result: ExchangeResult) -> int:
    """Returns the status of the endpoint's response, 0 without one."""
    return result.answer.head.status if result.answer.head else 0


def is_successful(result: ExchangeResult) -> bool:
    """Returns whether the endpoint responded with a success status."""
    return result.end is ExchangeEnd.ANSWERED and is_success(status_of(result))

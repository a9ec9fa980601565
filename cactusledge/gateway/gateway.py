"""Request dispatch: finds the route, serves the request and logs it."""

import asyncio
import http
import random
from collections.abc import Sequence

import structlog

from cactusledge.gateway.accounts import Finding
from cactusledge.gateway.admission import Admission, cut, refuse_for_stop
from cactusledge.gateway.answer_end import end_fields
from cactusledge.gateway.answers import ANSWERED, refuse
from cactusledge.gateway.calls import serve_call
from cactusledge.gateway.client_bounds import ClientBounds, caller_bounds
from cactusledge.gateway.configuration_news import ConfigurationNews
from cactusledge.gateway.context import Call, Fleet, Outcome, Progress
from cactusledge.gateway.forwarding import FORWARDED
from cactusledge.gateway.messages import (
    CallInfo,
    Configuration,
    Limits,
    Repeatability,
    Request,
    Route,
    Share,
)
from cactusledge.gateway.request_keys import keys_of
from cactusledge.gateway.responder import Responder
from cactusledge.gateway.routes import RouteTable
from cactusledge.gateway.turns import TurnServer
from cactusledge.gateway.watches import Watches
from cactusledge.records.client import RecordClient
from cactusledge.records.gateway_messages import RequestKeys

NOT_READY_RETRY_S = 0.2
NEWER_VERSION_RETRY_S = 0.3  # for a newer configuration to arrive
CRASHES_ENDPOINTS = 'crashes endpoints'  # outcome reason
CALLER_LEFT = 'caller left'  # outcome reason
OVER_QUOTA = 'over quota'  # outcome reason
MS = 1000
SERVED = frozenset((ANSWERED, FORWARDED))  # outcome reasons
EXPECTED_STATUSES = frozenset((
    http.HTTPStatus.PAYMENT_REQUIRED,
    http.HTTPStatus.NOT_FOUND,
    http.HTTPStatus.UNAUTHORIZED,
    http.HTTPStatus.TOO_MANY_REQUESTS,
))

log = structlog.get_logger('gateway')


class Gateway:
    """Dispatches the requests of all connections."""

    def __init__(
        self,
        fleet: Fleet,
        records: RecordClient,
        bounds: ClientBounds | None = None,
    ) -> None:
        """Starts without a configuration; responds 503 until one is applied."""
        self.fleet = fleet
        self.records = records
        self.table: RouteTable | None = None
        self.limits = Limits()
        self.news = ConfigurationNews()
        self.watches = Watches(fleet.metrics)
        self.is_closing = False
        self.admission = Admission()
        self.bounds = bounds or caller_bounds(fleet.metrics, fleet.pool.space)
        self.connections = self.bounds.connections
        self._turns = TurnServer(fleet, records)

    def apply(self, cfg: Configuration) -> bool:
        """Applies a configuration if it is newer; returns whether it was."""
        if self.table is not None and cfg.version <= self.table.cfg.version:
            return False
        self.table = RouteTable(cfg)
        self.limits = cfg.limits
        self.news.note_applied(cfg.version)
        log.info('gateway: configuration applied', version=cfg.version)
        return True

    async def serve(self, request: Request, conn: Responder) -> None:
        """Serves one request and logs how it ended."""
        info = self.fleet.dialect.read_call(request)
        keys = keys_of(request, info.host)
        table = self.table
        route = table.find(info.host, info.path) if table else None
        outcome = Outcome(0, CALLER_LEFT)
        progress = Progress()
        try:
            outcome = await self._dispatch(
                request, keys, info, conn, table, route, progress
            )
        except asyncio.CancelledError:
            if conn.is_open:
                outcome = cut(conn, progress)
            raise
        finally:
            self._log(request, info, route, outcome, progress)

    async def _dispatch(
        self,
        request: Request,
        keys: RequestKeys,
        info: CallInfo,
        conn: Responder,
        table: RouteTable | None,
        route: Route | None,
        progress: Progress,
    ) -> Outcome:
        if table is None:
            return refuse(
                conn,
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'no configuration yet',
                NOT_READY_RETRY_S,
            )
        if route is None:
            return refuse_without_route(conn, is_behind=self.news.is_behind)
        now_s = asyncio.get_running_loop().time()
        identity = table.accounts.identify(
            route, info.key_digest, is_current=self.news.is_current(now_s)
        )
        if identity.finding is not Finding.ADMITTED:
            return refuse_unidentified(conn, identity.finding)
        call = Call(
            request,
            keys,
            info,
            route,
            table,
            conn,
            request_deadline_s(request, info, route),
            progress,
            identity.account,
        )
        if not self.admission.admits(call, now_s):
            return refuse_for_stop(conn)
        return await self._serve_in_time(call)

    async def _serve_in_time(self, call: Call) -> Outcome:
        service = choose_share(call.route.shares, call.info)
        try:
            async with asyncio.timeout_at(call.deadline_s):
                return await self._serve_anywhere(call, service)
        except TimeoutError:
            if call.conn.has_head:
                call.conn.close_incomplete()
                return Outcome(0, 'timeout in the stream')
            return refuse(call.conn, http.HTTPStatus.GATEWAY_TIMEOUT, 'timeout')

    async def _serve_anywhere(self, call: Call, service: str) -> Outcome:
        """Serves a call here, or elsewhere if no endpoint is in reach."""
        now_s = asyncio.get_running_loop().time()
        stopped_for_s = self.fleet.suspects.refused_for_s(call.keys, now_s)
        if stopped_for_s:
            return refuse(
                call.conn,
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                CRASHES_ENDPOINTS,
                stopped_for_s,
            )
        forwarder = self.fleet.forwarder
        if self.fleet.reach.is_stranded(now_s) and forwarder.can_forward(call):
            outcome = await forwarder.serve(call)
            if outcome is not None:
                return outcome
        wait_s = await self.fleet.quotas.wait_s(call)
        if wait_s:
            return refuse(
                call.conn,
                http.HTTPStatus.TOO_MANY_REQUESTS,
                OVER_QUOTA,
                wait_s,
            )
        if call.route.repeatability is Repeatability.STREAM:
            return await self._turns.serve(call, service)
        return await serve_call(self.fleet, call, service)

    def _log(
        self,
        request: Request,
        info: CallInfo,
        route: Route | None,
        outcome: Outcome,
        progress: Progress,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        took_s = now_s - request.received_s
        self.admission.end(progress, now_s)
        kind = route.repeatability if route else 'none'
        metrics = self.fleet.metrics
        metrics.add(
            'gateway_requests_total', kind=kind, status=str(outcome.status)
        )
        metrics.observe('gateway_request_seconds', took_s, kind=kind)
        write = log.warning if is_unanswered(outcome) else log.info
        write(
            'gateway: request ended',
            request_id=info.request_id,
            program_id=info.program_id,
            route=route.name if route else '',
            version=self.table.cfg.version if self.table else 0,
            ms=round(took_s * MS, 1),
            stopping_s=self.admission.stopping.since_s(request.received_s),
            first_event_ms=progress.first_event_ms,
            endpoint_id=progress.contacted[-1] if progress.contacted else '',
            attempts=len(progress.contacted),
            forwarded_to=progress.forwarded_to,
            **end_fields(progress.answer_end),
            **outcome._asdict(),
        )


def refuse_unidentified(conn: Responder, finding: Finding) -> Outcome:
    """Refuses a request without a known key; finally only if that is certain.

    The key is never named.
    """
    if finding is Finding.UNSURE:
        return refuse(
            conn,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            finding,
            NEWER_VERSION_RETRY_S,
        )
    return refuse(conn, http.HTTPStatus.UNAUTHORIZED, finding)


def refuse_without_route(conn: Responder, *, is_behind: bool) -> Outcome:
    """Refuses a request for an unknown route; finally only if that is certain.

    A newer configuration, which another gateway has, may have the route.
    """
    if is_behind:
        return refuse(
            conn,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            'no route in this version',
            NEWER_VERSION_RETRY_S,
        )
    return refuse(conn, http.HTTPStatus.NOT_FOUND, 'no route')


def is_unanswered(outcome: Outcome) -> bool:
    """Returns whether a request failed without an endpoint's response.

    Refusals for a spent budget, an account's quota, or an unknown key, route
    or parent do not count.
    """
    return (
        outcome.reason not in SERVED and outcome.status not in EXPECTED_STATUSES
    )


def request_deadline_s(request: Request, info: CallInfo, route: Route) -> float:
    """Returns the earlier of the caller's deadline and the route's timeout.

    The time is on the event loop's clock.
    """
    limit_ms = route.timeout_ms
    if info.deadline_ms is not None:
        limit_ms = min(limit_ms, info.deadline_ms)
    return request.received_s + limit_ms / 1000


def choose_share(shares: Sequence[Share], info: CallInfo) -> str:
    """Returns the service of a request, drawn by the shares' weights.

    All turns of a program get the same service while the shares are unchanged.
    """
    if len(shares) == 1:
        return shares[0].service
    draw = random.Random(info.program_id or info.request_id)
    weights = [share.weight for share in shares]
    return draw.choices(shares, weights=weights)[0].service

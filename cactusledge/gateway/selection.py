"""Selects the endpoint for the next attempt of a call."""

import asyncio
import random
from collections.abc import Callable, Sequence

import structlog

from cactusledge.gateway.context import Call, Fleet
from cactusledge.gateway.cross_traffic import ANOTHER_WAY, ANY_WAY, Sent, Way
from cactusledge.gateway.http_client import EndpointConnection
from cactusledge.gateway.messages import Replica
from cactusledge.gateway.placement import healthy
from cactusledge.gateway.pool import EndpointUnreachableError
from cactusledge.gateway.rationing import Rationing

RETRY_WINDOW_SHARE = 0.35  # of a call's time; refusals are retried within it
INITIAL_BACKOFF_MS = 20
MAX_BACKOFF_MS = 160

log = structlog.get_logger('gateway')

Choose = Callable[['Selection'], Replica | None]


class Selection:
    """The endpoints that a call may still be sent to.

    At most `Route.max_attempts` endpoints are contacted. If all of them refuse
    the call without running it, they are tried again after a short backoff.
    """

    def __init__(self, fleet: Fleet, call: Call, service: str) -> None:
        """Starts before the first attempt."""
        self.fleet = fleet
        self.call = call
        self.contacted: set[str] = set()  # ids of endpoints it was sent to
        self.broken = 0  # attempts that broke off
        self.way: Way = ANY_WAY  # of the next attempt
        self._is_way_drawn = False
        self._tried: set[str] = set()  # endpoint ids tried in the current pass
        self._rationing = Rationing(fleet.limits, fleet.grants)
        self._passes = 0
        self._service = service

    @property
    def has_more(self) -> bool:
        """Whether the call may be sent to an endpoint not contacted yet."""
        return len(self.contacted) < self.call.route.max_attempts

    def add_contacted(self, endpoint_id: str) -> None:
        """Adds an endpoint to which the call is sent."""
        self.contacted.add(endpoint_id)
        self._tried.add(endpoint_id)

    def candidates(self) -> list[Replica]:
        """Returns the endpoints to choose from for the next attempt."""
        now_s = asyncio.get_running_loop().time()
        usable = self._usable(now_s)
        if not self.has_more:
            usable = tuple(
                replica
                for replica in usable
                if replica.endpoint_id in self.contacted
            )
        reachable = self.fleet.partitions.prefer_reachable(usable)
        excluded = self._tried | self._rationing.excluded
        return list(healthy(reachable, self.fleet.loads, excluded, now_s))

    def find_way(self, size_bytes: int, work_units: float) -> Way:
        """Returns where the next attempt goes; only the first one is bound.

        Args:
            size_bytes: What is sent to the endpoint.
            work_units: The units of work of a usual request.
        """
        if self.contacted:
            self.way = ANOTHER_WAY
        if self.contacted or self._is_way_drawn:
            return self.way
        self._is_way_drawn = True
        program_id = self.call.info.program_id
        self.way = self.fleet.cross.way_of(
            Sent(self._service, program_id, size_bytes, work_units),
            asyncio.get_running_loop().time(),
        )
        return self.way

    async def connect(
        self, choose: Choose
    ) -> tuple[Replica, EndpointConnection] | None:
        """Returns an endpoint and a connection to it.

        None if no endpoint takes the call within the retry window.
        """
        while not self._is_stopped():
            replica = choose(self)
            if replica is None:
                if not await self._next_pass():
                    return None
                continue
            conn = await self._connect_to(replica)
            if conn is not None:
                return replica, conn
        return None

    async def _connect_to(self, replica: Replica) -> EndpointConnection | None:
        """Returns a connection, None if the endpoint is not available."""
        if not await self._rationing.admit(replica):
            return None
        try:
            request_id = self.call.info.request_id
            return await self.fleet.pool.take(replica, request_id)
        except EndpointUnreachableError as exc:
            self._add_unreachable(replica, exc)
            return None

    def _add_unreachable(
        self, replica: Replica, exc: EndpointUnreachableError
    ) -> None:
        self._tried.add(replica.endpoint_id)
        now_s = asyncio.get_running_loop().time()
        self.fleet.loads.of(replica.endpoint_id).record_failure(now_s)
        self.fleet.metrics.add('gateway_failed_connects_total')
        log.warning(
            'gateway: endpoint not connected',
            request_id=self.call.info.request_id,
            endpoint_id=replica.endpoint_id,
            endpoint_data_centre=replica.data_centre,
            error=str(exc),
        )

    def _is_stopped(self) -> bool:
        """Returns whether the call has turned out to crash endpoints."""
        now_s = asyncio.get_running_loop().time()
        return self.fleet.evidence.stopped_for_s(self.call.keys, now_s) > 0

    def _usable(self, now_s: float) -> Sequence[Replica]:
        return self.fleet.departures.usable(
            self.fleet.replicas.usable(self._service, now_s),
            self.call.request.received_s,
        )

    async def _next_pass(self) -> bool:
        """Backs off and returns True while the retry window is open."""
        loop = asyncio.get_running_loop()
        if not self.fleet.reach.can_connect(loop.time()):
            return False
        total_ms = self.call.age_ms() + self.call.remaining_ms()
        if (
            self.call.age_ms() > RETRY_WINDOW_SHARE * total_ms
            or not (self._tried or self._rationing.excluded)
            or not self._usable(loop.time())
        ):
            return False
        pause_ms = min(INITIAL_BACKOFF_MS * 2**self._passes, MAX_BACKOFF_MS)
        self._passes += 1
        self._tried.clear()
        self._rationing.excluded.clear()
        await asyncio.sleep(pause_ms * random.uniform(0.5, 1) / 1000)
        return True

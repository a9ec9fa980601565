"""Watches the links to the endpoints and tests them when they seem lost."""

import asyncio
import random

import structlog

from cactusledge.gateway.context import Fleet
from cactusledge.gateway.messages import Replica
from cactusledge.gateway.pool import EndpointUnreachableError
from cactusledge.gateway.reach import CONFIRMED_BY, SILENT_S

PROBE_INTERVAL_S = 0.4

log = structlog.get_logger('gateway')


class ReachWatch:
    """Probes endpoints while the links to all of them seem lost.

    Silence alone proves nothing: engines may all be busy. An attempt to
    connect tells.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Stores the endpoints and their connections."""
        self._fleet = fleet
        self._probed_s = float(0)
        self._was_stranded = False

    async def step(self) -> None:
        """Updates what is known; probes and abandons as it shows."""
        now_s = asyncio.get_running_loop().time()
        fleet = self._fleet
        fleet.reach.listed = len(fleet.replicas)
        fleet.reach.add_received(fleet.partitions.last_received_s())
        if self._is_doubtful(now_s) and now_s >= self._probed_s:
            self._probed_s = now_s + PROBE_INTERVAL_S
            fleet.reach.doubted_s = now_s
            await self._probe()
        self._note(now_s)

    def _is_doubtful(self, now_s: float) -> bool:
        """Returns whether it is unclear if any endpoint is in reach."""
        if self._fleet.reach.is_suspected(now_s):
            return True
        is_silent = now_s - self._fleet.reach.received_s >= SILENT_S
        return is_silent and self._fleet.partitions.has_silent(now_s, SILENT_S)

    async def _probe(self) -> None:
        listed = self._fleet.replicas.all()
        probed = random.sample(listed, min(CONFIRMED_BY, len(listed)))
        await asyncio.gather(*(self._connect(replica) for replica in probed))

    async def _connect(self, replica: Replica) -> None:
        try:
            await self._fleet.pool.probe(replica)
        except EndpointUnreachableError as exc:
            log.info(
                'gateway: probe of endpoint failed',
                endpoint_id=replica.endpoint_id,
                error=str(exc),
            )

    def _note(self, now_s: float) -> None:
        """Logs a change; ends exchanges that cannot go on."""
        is_stranded = self._fleet.reach.is_stranded(now_s)
        if is_stranded:
            self._fleet.partitions.abandon_silent(now_s, SILENT_S)
        if is_stranded == self._was_stranded:
            return
        self._was_stranded = is_stranded
        self._fleet.metrics.put('gateway_stranded', is_stranded)
        if is_stranded:
            log.warning('gateway: no endpoint in reach')
        else:
            log.info('gateway: endpoints in reach again')

"""Watches for endpoints that end while they run requests."""

import asyncio

import structlog

from cactusledge.gateway.clock import now
from cactusledge.gateway.context import Fleet
from cactusledge.gateway.endpoint_ends import EndedEndpoint
from cactusledge.gateway.messages import Replica
from cactusledge.gateway.pool import EndpointUnreachableError

MAX_LOGGED_KEYS = 64  # of the requests that ran on one endpoint

log = structlog.get_logger('gateway')


class EndWatch:
    """Tests the endpoints whose connections broke, and tells which ended."""

    def __init__(self, fleet: Fleet) -> None:
        """Stores the endpoints and their connections."""
        self._fleet = fleet

    async def step(self) -> None:
        """Tests once what is in doubt."""
        fleet = self._fleet
        await asyncio.gather(*map(self._test, fleet.ends.to_test()))
        for ended in fleet.ends.take_ended(fleet.replicas.find, now()):
            self._note(ended)

    async def _test(self, replica: Replica) -> None:
        """Connects; the reach keeps the result."""
        try:
            await self._fleet.pool.probe(replica)
        except EndpointUnreachableError as exc:
            log.info(
                'gateway: probe of endpoint failed',
                endpoint_id=replica.endpoint_id,
                error=str(exc),
            )

    def _note(self, ended: EndedEndpoint) -> None:
        self._fleet.metrics.add('gateway_endpoint_ends_total', sign=ended.sign)
        self._fleet.crashes.note_ended(ended)
        log.warning(
            'gateway: endpoint ended',
            endpoint_id=ended.replica.endpoint_id,
            endpoint_data_centre=ended.replica.data_centre,
            born_ms=ended.replica.born_ms,
            sign=ended.sign,
            requests=len(ended.running),
            keys=[keys.exact for keys in ended.running[:MAX_LOGGED_KEYS]],
        )

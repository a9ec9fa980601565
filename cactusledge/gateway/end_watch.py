"""Watches for endpoints that end while they run requests."""

import asyncio
import random

import structlog

from cactusledge.gateway.clock import now
from cactusledge.gateway.context import Fleet
from cactusledge.gateway.endpoint_ends import EndedEndpoint
from cactusledge.gateway.messages import Replica
from cactusledge.gateway.probes import takes_connections

OTHERS_TESTED = 2  # as one may have ended too
OTHER_TEST_PAUSE_S = 0.1  # until the next ones, if none is reached
MAX_LOGGED_KEYS = 64  # of the requests that ran on one endpoint

log = structlog.get_logger('gateway')


class EndWatch:
    """Tests the endpoints whose connections broke, and tells which ended."""

    def __init__(self, fleet: Fleet) -> None:
        """Stores the endpoints and their connections."""
        self._fleet = fleet
        self._next_other_s = float(0)

    async def step(self) -> None:
        """Tests once what is in doubt."""
        fleet = self._fleet
        tested = [*fleet.ends.to_test(), *self._others()]
        # The reach keeps the results.
        await asyncio.gather(
            *(takes_connections(fleet, replica) for replica in tested)
        )
        for ended in fleet.ends.take_ended(fleet.replicas.find, now()):
            self._note(ended)

    def _others(self) -> list[Replica]:
        """Returns endpoints that show whether the links are sound."""
        refusing = self._fleet.ends.needs_other()
        if not refusing or now() < self._next_other_s:
            return []
        self._next_other_s = now() + OTHER_TEST_PAUSE_S
        excluded = self._fleet.reach.failed(now()).union(refusing)
        others = [
            replica
            for replica in self._fleet.replicas.all()
            if replica.endpoint_id not in excluded
        ]
        return random.sample(others, min(OTHERS_TESTED, len(others)))

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

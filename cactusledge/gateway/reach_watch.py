"""Watches the links to the endpoints and tests them when they seem lost."""

import asyncio
import random

import structlog

from cactusledge.gateway.context import Fleet
from cactusledge.gateway.probes import takes_connections
from cactusledge.gateway.reach import SILENT_S, SUSPECTED_BY

FAILED_TEST_PAUSE_S = 0.1  # until the next test
RETEST_S = 3.0  # after a test that reached an endpoint

log = structlog.get_logger('gateway')


class ReachWatch:
    """Probes endpoints while the links to all of them seem lost.

    Silence alone proves nothing: engines may all be busy. An attempt to
    connect tells.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Stores the endpoints and their connections."""
        self._fleet = fleet
        self._next_test_s = float(0)
        self._was_stranded = False

    async def step(self) -> None:
        """Updates what is known; tests the links and abandons as it shows."""
        loop = asyncio.get_running_loop()
        fleet = self._fleet
        fleet.reach.listed = len(fleet.replicas)
        for endpoint_id, at_s in fleet.partitions.received_s().items():
            fleet.reach.add_received(endpoint_id, at_s)
        if self._is_doubtful(loop.time()) and loop.time() >= self._next_test_s:
            fleet.reach.doubted_s = loop.time()
            is_in_reach = await self._test()
            pause_s = RETEST_S if is_in_reach else FAILED_TEST_PAUSE_S
            self._next_test_s = loop.time() + pause_s
        self._note(loop.time())

    def _is_doubtful(self, now_s: float) -> bool:
        """Returns whether it is unclear if any endpoint is in reach."""
        if self._fleet.reach.is_suspected(now_s):
            return True
        is_silent = now_s - self._fleet.reach.received_s >= SILENT_S
        silent = self._fleet.partitions.silent(now_s, SILENT_S)
        return is_silent and bool(silent)

    async def _test(self) -> bool:
        """Connects to endpoints that have not failed yet, if there are any.

        Returns whether one was reached. If not, those that are silent count
        as failed too.
        """
        reach = self._fleet.reach
        now_s = asyncio.get_running_loop().time()
        failed = reach.failed(now_s)
        listed = self._fleet.replicas.all()
        others = [one for one in listed if one.endpoint_id not in failed]
        drawn = others or listed
        probed = random.sample(drawn, min(SUSPECTED_BY, len(drawn)))
        reached = await asyncio.gather(
            *(takes_connections(self._fleet, replica) for replica in probed)
        )
        if any(reached):
            return True
        for endpoint_id in self._fleet.partitions.silent(now_s, SILENT_S):
            reach.add_failed(endpoint_id, now_s)
        return False

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

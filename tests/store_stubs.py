"""A stub of the store through which gateways exchange what they know."""

import asyncio
import time
from contextlib import asynccontextmanager

from cactusledge.gateway.departure_reports import DepartureReports
from cactusledge.gateway.limit_reports import LimitReports
from cactusledge.gateway.withdrawal_reports import WithdrawalReports
from cactusledge.records.load_exchange import LoadExchange, Trackers
from cactusledge.records.quota_messages import AskQuota


class StubStore:
    """A link to a store; also the list of the stores in reach."""

    name = 'store-a'
    is_connected = True

    def __init__(self, registry):
        self._registry = registry

    def nearest_first(self):
        return [self]

    async def call(self, report, timeout_s):
        return await self._registry.report(report)


class StubGrants:
    """Asks a store for requests that are limited."""

    def __init__(self, registry):
        self._registry = registry

    async def ask(self, question):
        if isinstance(question, AskQuota):
            return self._registry.quotas.grant(question, time.monotonic())
        return self._registry.limits.grant(question, time.monotonic())


@asynccontextmanager
async def exchanging(registry, harnesses):
    """Lets gateways report to the store with this registry."""
    store = StubStore(registry)
    tasks = []
    for harness in harnesses:
        fleet = harness.fleet
        own = Trackers(
            fleet.loads,
            DepartureReports(fleet.departures, fleet.metrics),
            LimitReports(fleet.limits, fleet.metrics),
            fleet.crashes,
            harness.versions,
            fleet.quotas,
            harness.gateway.watches,
            WithdrawalReports(fleet.replicas, fleet.metrics),
        )
        exchange = LoadExchange(harness.name, store, own)
        tasks.append(asyncio.ensure_future(exchange.run()))
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()

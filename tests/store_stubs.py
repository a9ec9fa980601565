"""A stub of the store through which gateways exchange what they know."""

import asyncio
from contextlib import asynccontextmanager

from cactusledge.gateway.departure_reports import DepartureReports
from cactusledge.records.gateways import GatewayRegistry
from cactusledge.records.load_exchange import LoadExchange


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


@asynccontextmanager
async def exchanging(harnesses):
    """Lets gateways report to one store."""
    store = StubStore(GatewayRegistry())
    tasks = []
    for index, harness in enumerate(harnesses):
        fleet = harness.fleet
        exchange = LoadExchange(
            f'f{index}',
            store,
            fleet.loads,
            DepartureReports(fleet.departures, fleet.metrics),
        )
        tasks.append(asyncio.ensure_future(exchange.run()))
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()

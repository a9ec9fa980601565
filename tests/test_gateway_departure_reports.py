"""Departures that an instance learns from another one, through the stores."""

import asyncio
import itertools
import math

import pytest
from structlog.testing import capture_logs

from cactusledge.gateway.configuration_news import (
    ConfigurationNews,
    VersionReports,
)
from cactusledge.gateway.crash_reports import CrashReports
from cactusledge.gateway.departure_reports import DepartureReports
from cactusledge.gateway.departures import Departures
from cactusledge.gateway.endpoint_limits import EndpointLimits
from cactusledge.gateway.grants import NoQuotas
from cactusledge.gateway.limit_reports import LimitReports
from cactusledge.gateway.messages import Replica
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.gateway.watches import Watches
from cactusledge.gateway.withdrawal_reports import WithdrawalReports
from cactusledge.models import Address
from cactusledge.records.crash_evidence import CrashEvidence
from cactusledge.records.gateway_messages import (
    LeavingEndpoint,
    LoadReport,
    LoadSums,
    ShareLoads,
)
from cactusledge.records.gateways import GatewayRegistry
from cactusledge.records.load_exchange import LoadExchange, Trackers
from cactusledge.telemetry.metrics import Metrics
from tests.store_stubs import StubStore

LEAVING = LeavingEndpoint('e1', 5)
REPLICA = Replica('e1', 'svc', '10.0.0.1', 80, 'dc-a', 4, False, 5)


class StubLoads:
    """Loads of a gateway without requests."""

    def own_loads(self):
        return {}

    def set_remote_loads(self, sums):
        """Ignores the loads."""

    def drain_read_parts(self):
        return []

    def add_read_parts(self, read):
        """Ignores the parts."""


@pytest.fixture(name='gateway')
def new_gateway():
    """Makes the departures, their reports and the exchange of a gateway."""

    def make(name, registry):
        departures = Departures(0)
        reports = DepartureReports(departures, Metrics())
        limits = LimitReports(EndpointLimits(), Metrics())
        own = Trackers(
            StubLoads(),
            reports,
            limits,
            CrashReports(CrashEvidence(), Metrics()),
            VersionReports(ConfigurationNews(), Address('127.0.0.1', 9)),
            NoQuotas(),
            Watches(Metrics()),
            WithdrawalReports(ReplicaList(), Metrics()),
        )
        exchange = LoadExchange(name, StubStore(registry), own)
        return departures, reports, exchange

    return make


async def exchange_once(exchange):
    """Runs an exchange until it has reported once."""
    task = asyncio.ensure_future(exchange.run())
    await asyncio.sleep(0.01)
    task.cancel()


def test_departure_reaches_the_other_gateways_of_a_store(gateway):
    async def main():
        registry = GatewayRegistry()
        _, seeing, first = gateway('f1', registry)
        departures, _, second = gateway('f2', registry)
        seeing.note(REPLICA)
        seeing.note(REPLICA)
        await exchange_once(first)
        await exchange_once(second)
        return departures.is_leaving(REPLICA)

    with capture_logs() as lines:
        assert asyncio.run(main())
        assert [line['source'] for line in lines] == ['answer', 'instance']


def test_departure_reaches_the_gateways_of_another_store():
    async def main():
        here, there = GatewayRegistry(), GatewayRegistry()
        await here.report(LoadReport('f1', {}, leaving=[LEAVING]))
        shared = here.recent_departures()
        await there.share(ShareLoads('store-a', {}, '', 0, leaving=shared))
        return await there.report(LoadReport('f2', {}))

    reply = asyncio.run(main())
    assert isinstance(reply, LoadSums)
    assert reply.leaving == [LEAVING]


class RecordingRegistry(GatewayRegistry):
    """Keeps for how long the gateways have had no reply."""

    def __init__(self):
        super().__init__()
        self.silent_s = []

    async def report(self, report):
        self.silent_s.append(report.silent_s)
        return await super().report(report)


# The steady clock stands still while the machine is suspended: what others told
# meanwhile would have been missed.
def test_suspension_counts_as_silence(gateway, monkeypatch):
    clock_s = itertools.cycle([100, 100, 108])

    async def main():
        registry = RecordingRegistry()
        _, _, exchange = gateway('f1', registry)
        await exchange_once(exchange)
        await exchange_once(exchange)
        return registry.silent_s

    monkeypatch.setattr(
        f'{LoadExchange.__module__}.boot_s', lambda: next(clock_s)
    )
    assert asyncio.run(main()) == [math.inf, 8]

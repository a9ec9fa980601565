"""A store's registry of gateways: their addresses and loads.

Soft state: it only improves placement, and is lost when the process ends.
"""

import time
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from cactusledge.records.crash_evidence import CrashEvidence
from cactusledge.records.entries import Member
from cactusledge.records.gateway_messages import (
    Hello,
    LeavingEndpoint,
    LoadReport,
    LoadSums,
    Neighbours,
    ReadNews,
    ReadPart,
    ShareLoads,
)
from cactusledge.records.limit_division import LimitDivision
from cactusledge.records.neighbours import choose_neighbours
from cactusledge.records.platform_changes import PlatformChanges
from cactusledge.records.platform_uptime import PlatformUptime
from cactusledge.records.quota_division import QuotaDivision
from cactusledge.records.read_parts import ListPosition, ReadParts
from cactusledge.records.recent_departures import RecentDepartures
from cactusledge.records.recent_withdrawals import RecentWithdrawals
from cactusledge.records.version_spread import VersionSpread
from cactusledge.records.withdrawal_messages import Withdrawal

GATEWAY_TTL_S = 10.0  # since a gateway last registered
LOAD_TTL_S = 1.5  # since a load was last reported


class _ReportedLoad(NamedTuple):
    """A reported load and when it was received."""

    in_flight: dict[str, int]
    at_s: float


class GatewayRegistry:
    """The gateways that report to this store, and all reported loads."""

    def __init__(self) -> None:
        """Starts empty."""
        self._known: dict[str, tuple[Member, float]] = {}
        self._loads: dict[str, _ReportedLoad] = {}  # by gateway
        self._store_loads: dict[str, _ReportedLoad] = {}  # by reporting store
        self._read_parts = ReadParts()
        self._departures = RecentDepartures()
        self._withdrawals = RecentWithdrawals()
        self._gateways_elsewhere: dict[str, int] = {}  # by store
        self.limits = LimitDivision()
        self.quotas = QuotaDivision(time.monotonic())
        self.crashes = CrashEvidence()
        self.versions = VersionSpread()
        self.changes = PlatformChanges()
        self.uptime = PlatformUptime()

    async def register(self, hello: Hello) -> Neighbours:
        """Registers a gateway; returns some of the others."""
        now_s = time.monotonic()
        self._known[hello.name] = (hello.gateway, now_s)
        others = {
            name: gateway
            for name, (gateway, reported_s) in self._known.items()
            if name != hello.name and now_s - reported_s < GATEWAY_TTL_S
        }
        return Neighbours(choose_neighbours(hello, others))

    async def report(self, report: LoadReport) -> LoadSums:
        """Stores a gateway's load; returns the others' sums and read parts."""
        now_s = time.monotonic()
        self._loads[report.name] = _ReportedLoad(report.in_flight, now_s)
        loads = [*self._loads.items(), *self._store_loads.items()]
        sums = sum_loads(
            (reported for name, reported in loads if name != report.name),
            now_s,
        )
        self._read_parts.add(report.read)
        self._departures.add(report.leaving, now_s)
        self._withdrawals.add(report.withdrawals, now_s)
        self.limits.known.add_reported(report.limits, now_s)
        self.limits.report(report.name, report.demands, now_s)
        self.crashes.add_reported(report.crashes, now_s)
        self.versions.report(report.name, report.configuration, now_s)
        others = self.quotas.report(report.name, report.quota_uses, now_s)
        update = self._read_parts.since(
            ListPosition(report.epoch, report.position)
        )
        return LoadSums(
            sums,
            update.parts,
            *update.list_position,
            leaving=self._departures.recent(now_s),
            limits=self.limits.known.to_report(now_s),
            gateways=self.local_gateways(now_s)
            + sum(self._gateways_elsewhere.values()),
            crashes=self.crashes.to_report(now_s),
            configuration=self.versions.newest(now_s),
            quota_others=others,
            platform_changes=self.changes.newest,
            withdrawals=self._withdrawals.news(now_s, report.silent_s),
            platform_up_s=self.uptime.longest_s(now_s),
        )

    async def share(self, request: ShareLoads) -> ReadNews:
        """Stores another store's load sums; returns new read parts."""
        reported = _ReportedLoad(request.in_flight, time.monotonic())
        self._store_loads[request.name] = reported
        self._departures.add(request.leaving, reported.at_s)
        self._withdrawals.add(request.withdrawals, reported.at_s)
        self.limits.known.add_reported(request.limits, reported.at_s)
        self.limits.share(request.name, request.demands, reported.at_s)
        self._gateways_elsewhere[request.name] = request.gateways
        self.quotas.share(request.name, request.quota_demands, reported.at_s)
        self.crashes.add_reported(request.crashes, reported.at_s)
        self.versions.share(request.name, request.configuration, reported.at_s)
        self.changes.share(request.platform_changes)
        self.uptime.share(request.name, request.platform_up_s, reported.at_s)
        update = self._read_parts.since(
            ListPosition(request.epoch, request.position)
        )
        return ReadNews(update.parts, *update.list_position)

    def local_sums(self) -> dict[str, int]:
        """Returns the requests in flight of the gateways that report here."""
        return sum_loads(self._loads.values(), time.monotonic())

    def local_gateways(self, now_s: float) -> int:
        """Returns how many gateways have reported here recently."""
        return sum(
            now_s - reported.at_s < LOAD_TTL_S
            for reported in self._loads.values()
        )

    def recent_departures(self) -> list[LeavingEndpoint]:
        """Returns the departures that were reported recently."""
        return self._departures.recent(time.monotonic())

    def add_withdrawal(self, withdrawal: Withdrawal) -> None:
        """Adds a withdrawal that this store has seen at the platform."""
        self._withdrawals.add((withdrawal,), time.monotonic())

    def withdrawals(self, silent_s: float) -> list[Withdrawal]:
        """Returns what a store that was told nothing for so long may lack."""
        return self._withdrawals.news(time.monotonic(), silent_s)

    def add_read_parts(self, read: Iterable[ReadPart]) -> None:
        """Adds the read parts received from another store."""
        self._read_parts.add(read)


def sum_loads(loads: Iterable[_ReportedLoad], now_s: float) -> dict[str, int]:
    """Returns the sums by endpoint of loads that have not expired."""
    sums: Counter[str] = Counter()
    for reported in loads:
        if now_s - reported.at_s < LOAD_TTL_S:
            sums.update(reported.in_flight)
    return dict(sums)

"""Reports this gateway's load to the stores and receives the others'."""

import asyncio
import math
import time
from collections.abc import Iterable, Mapping
from contextlib import suppress
from typing import NamedTuple, Protocol

import structlog

from cactusledge.records.gateway_messages import (
    CrashReport,
    KnownVersion,
    LeavingEndpoint,
    LoadReport,
    LoadSums,
    NamedLimit,
    ReadPart,
)
from cactusledge.records.links import Link
from cactusledge.records.quota_messages import AccountUse
from cactusledge.records.read_parts import ListPosition
from cactusledge.records.store_peers import StorePeers
from cactusledge.records.withdrawal_messages import Withdrawal

EXCHANGE_INTERVAL_S = 0.1
INTERVAL_PER_ENDPOINT_S = 0.003  # to limit the bytes sent per second
EXCHANGE_TIMEOUT_S = 0.2

log = structlog.get_logger('records')


class LoadTracker(Protocol):
    """A gateway's record of endpoint loads and processed prompt parts."""

    def own_loads(self) -> dict[str, int]:
        """Returns this gateway's requests in flight by endpoint id."""

    def set_remote_loads(self, sums: Mapping[str, int]) -> None:
        """Sets the sums of the other gateways' requests in flight."""

    def drain_read_parts(self) -> list[ReadPart]:
        """Returns and clears the shared parts processed since the last call."""

    def requeue_read_parts(self, read: Iterable[ReadPart]) -> None:
        """Queues parts again whose report failed, for the next report."""

    def add_read_parts(self, read: Iterable[ReadPart]) -> None:
        """Adds parts that endpoints have processed for other gateways."""


class DepartureTracker(Protocol):
    """A gateway's record of the endpoints that are leaving."""

    def to_report(self) -> list[LeavingEndpoint]:
        """Returns the recent departures that this gateway has seen."""

    def add_reported(self, reported: Iterable[LeavingEndpoint]) -> None:
        """Adds departures that other gateways have seen."""


class WithdrawalTracker(Protocol):
    """A gateway's record of the endpoints' entries that are over."""

    def drain(self) -> list[Withdrawal]:
        """Returns and clears what was seen here since the last report."""

    def requeue(self, withdrawals: Iterable[Withdrawal]) -> None:
        """Queues withdrawals again whose report has failed."""

    def add_reported(self, reported: Iterable[Withdrawal]) -> None:
        """Adds withdrawals that other instances have seen."""

    def hear_platform(self, up_s: float) -> None:
        """Takes for how long the platform has answered a store."""


class LimitTracker(Protocol):
    """A gateway's record of the limits that endpoints name."""

    def to_report(self) -> list[NamedLimit]:
        """Returns the limits that this gateway knows of."""

    def demands(self) -> dict[str, float]:
        """Returns the demand for limited endpoints, requests a second."""

    def add_reported(self, reported: Iterable[NamedLimit]) -> None:
        """Adds limits that other gateways have seen."""

    def set_gateways(self, count: int) -> None:
        """Sets how many gateways share limits; 0 if the store grants none."""


class CrashTracker(Protocol):
    """A gateway's record of requests that crash endpoints."""

    news: asyncio.Event  # set if there is something to report at once

    def to_report(self) -> CrashReport:
        """Returns what other gateways may not know yet."""

    def add_reported(self, report: CrashReport) -> None:
        """Adds what other gateways have seen."""


class VersionTracker(Protocol):
    """A gateway's record of versions of the configuration."""

    def to_report(self) -> KnownVersion:
        """Returns the version in force at this gateway."""

    def add_reported(self, known: KnownVersion) -> None:
        """Adds the newest version that any gateway has."""


class ChangeTracker(Protocol):
    """A gateway's watches of the platform."""

    def add_reported(self, changes: Mapping[str, int]) -> None:
        """Adds the newest change of each kind that the stores know of."""


class QuotaTracker(Protocol):
    """A gateway's record of what client accounts send."""

    def drain_uses(self) -> dict[str, AccountUse]:
        """Returns what accounts have sent since the last call."""

    def requeue_uses(self, uses: dict[str, AccountUse]) -> None:
        """Adds what accounts have sent to the next report."""

    def set_others(self, others: dict[str, int], gateways: int) -> None:
        """Sets the demand at all other gateways, and their number."""


class Trackers(NamedTuple):
    """What a gateway reports, and where it keeps what others report."""

    loads: LoadTracker
    departures: DepartureTracker
    limits: LimitTracker
    crashes: CrashTracker
    versions: VersionTracker
    quotas: QuotaTracker
    changes: ChangeTracker
    withdrawals: WithdrawalTracker


class LoadExchange:
    """Exchanges loads with the nearest store.

    That store shares them with the other stores.
    """

    def __init__(self, name: str, peers: StorePeers, own: Trackers) -> None:
        """Prepares the exchange; `run` starts it."""
        self._name = name
        self._peers = peers
        self._own = own
        self._positions: dict[str, ListPosition] = {}  # by store
        self._interval_s = EXCHANGE_INTERVAL_S
        self._replied_s = -math.inf  # when a store last replied; boot clock

    async def run(self) -> None:
        """Exchanges loads until it is cancelled."""
        while True:
            self._own.crashes.news.clear()
            await self._exchange()
            with suppress(TimeoutError):
                async with asyncio.timeout(self._interval_s):
                    await self._own.crashes.news.wait()

    async def _exchange(self) -> None:
        nearest = next(iter(self._peers.nearest_first()), None)
        if nearest is None or not nearest.is_connected:
            return
        read = self._own.loads.drain_read_parts()
        uses = self._own.quotas.drain_uses()
        withdrawals = self._own.withdrawals.drain()
        list_position = self._positions.get(nearest.name, ListPosition())
        report = LoadReport(
            self._name,
            self._own.loads.own_loads(),
            read,
            *list_position,
            leaving=self._own.departures.to_report(),
            limits=self._own.limits.to_report(),
            demands=self._own.limits.demands(),
            crashes=self._own.crashes.to_report(),
            configuration=self._own.versions.to_report(),
            quota_uses=uses,
            withdrawals=withdrawals,
            silent_s=boot_s() - self._replied_s,
        )
        try:
            await self._ask(nearest, report)
        except (ConnectionError, TimeoutError) as exc:
            log.debug(
                'records: load report failed',
                store=nearest.name,
                error=repr(exc),
            )
            self._own.loads.requeue_read_parts(read)
            self._own.quotas.requeue_uses(uses)
            self._own.withdrawals.requeue(withdrawals)

    async def _ask(self, link: Link, report: LoadReport) -> None:
        """Sends the report and applies the reply; raises like `Link.call`."""
        reply = await link.call(report, EXCHANGE_TIMEOUT_S)
        if not isinstance(reply, LoadSums):
            raise ConnectionError(f'{link.name} did not reply with sums')
        self._replied_s = boot_s()
        self._positions[link.name] = ListPosition(reply.epoch, reply.position)
        self._own.loads.set_remote_loads(reply.in_flight)
        self._own.loads.add_read_parts(reply.read)
        self._own.departures.add_reported(reply.leaving)
        self._own.limits.add_reported(reply.limits)
        self._own.limits.set_gateways(reply.gateways)
        self._own.crashes.add_reported(reply.crashes)
        self._own.versions.add_reported(reply.configuration)
        self._own.changes.add_reported(reply.platform_changes)
        self._own.withdrawals.add_reported(reply.withdrawals)
        self._own.withdrawals.hear_platform(reply.platform_up_s)
        self._own.quotas.set_others(reply.quota_others, reply.gateways)
        self._interval_s = max(
            EXCHANGE_INTERVAL_S,
            len(reply.in_flight) * INTERVAL_PER_ENDPOINT_S,
        )


def boot_s() -> float:
    """Returns the seconds since the boot; a suspended process misses news."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

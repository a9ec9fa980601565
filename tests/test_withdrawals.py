"""Endpoints' entries that are over, and how instances tell each other."""

import asyncio
import math

from cactusledge.gateway.messages import Replica
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.gateway.withdrawal_reports import WithdrawalReports
from cactusledge.objects.feeds import REREGISTRATION_S
from cactusledge.records.gateway_messages import (
    LoadReport,
    ShareLoads,
)
from cactusledge.records.gateways import GatewayRegistry
from cactusledge.records.recent_withdrawals import REPORT_S, RecentWithdrawals
from cactusledge.records.withdrawal_messages import Withdrawal
from cactusledge.telemetry.metrics import Metrics

ENTRY = Replica('e1', 'svc', '10.0.0.1', 80, 'dc-a', 4, False, 5)
OVER = Withdrawal('e1', 7)


def usable(replicas, now_s=0):
    """Returns the ids of the endpoints that take requests."""
    return [found.endpoint_id for found in replicas.usable('svc', now_s)]


def listed(version=7):
    """Returns a list with one entry."""
    replicas = ReplicaList()
    replicas.put(ENTRY, version)
    return replicas


def test_withdrawn_entry_takes_no_requests():
    replicas = listed()
    WithdrawalReports(replicas, Metrics()).add_reported([OVER])
    assert not usable(replicas)
    assert replicas.find('e1') is not None  # requests may be under way


# A list that was read before the entry ended may come after the news.
def test_older_list_does_not_bring_a_withdrawn_entry_back():
    replicas = listed()
    replicas.withdraw(OVER)
    replicas.replace_all([ENTRY], 0, after_outage=False, versions={'e1': 7})
    assert not usable(replicas)


def test_entry_that_is_registered_again_takes_requests():
    replicas = listed()
    replicas.withdraw(OVER)
    replicas.put(ENTRY, 8)
    assert usable(replicas) == ['e1']
    assert not replicas.withdraw(OVER)
    assert usable(replicas) == ['e1']


# The entry was kept for as long as endpoints may need to register again, and
# requests went to an endpoint that had left seconds before.
def test_withdrawn_entry_is_not_kept_after_an_outage():
    replicas = listed()
    replicas.withdraw(OVER)
    replicas.replace_all([], 10, after_outage=True)
    assert not replicas.ids()


def test_kept_entry_is_removed_with_the_news():
    replicas = listed()
    replicas.replace_all([], 10, after_outage=True)
    assert usable(replicas, 10) == ['e1']
    replicas.withdraw(OVER)
    assert not replicas.ids()


def test_what_ends_at_the_platform_is_reported_until_a_store_has_it():
    replicas = listed()
    replicas.put(ENTRY._replace(endpoint_id='e2', is_draining=True), 8)
    replicas.remove('e1')
    reports = WithdrawalReports(replicas, Metrics())
    seen = reports.drain()
    assert seen == [Withdrawal('e2', 8), OVER]
    reports.requeue(seen)
    assert reports.drain() == seen
    assert not reports.drain()


# An entry that expired in an outage may be back, until the grace has passed.
def test_missing_entry_is_reported_once_it_is_removed():
    replicas = listed()
    replicas.replace_all([], 10, after_outage=True)
    assert not replicas.withdrawals.drain()
    assert not usable(replicas, 10 + REREGISTRATION_S)
    assert replicas.withdrawals.drain() == [OVER]


# A watch may bring the expiries of an outage, which other gateways bridge.
def test_removal_just_after_an_outage_is_not_reported():
    replicas = listed()
    replicas.hear_platform(1, 10)
    replicas.remove('e1')
    assert not replicas.withdrawals.drain()
    replicas.put(ENTRY, 8)
    replicas.hear_platform(REREGISTRATION_S, 11)
    replicas.remove('e1')
    assert replicas.withdrawals.drain() == [Withdrawal('e1', 8)]


def test_withdrawal_reaches_the_gateways_of_another_store():
    async def main():
        here, there = GatewayRegistry(), GatewayRegistry()
        await here.report(LoadReport('f1', {}, withdrawals=[OVER]))
        shared = here.withdrawals(0)
        await there.share(ShareLoads('s1', {}, '', 0, withdrawals=shared))
        return await there.report(LoadReport('f2', {}))

    assert asyncio.run(main()).withdrawals == [OVER]


# A cut lasts longer than a withdrawal is news.
def test_instance_that_was_silent_is_told_what_it_has_missed():
    recent = RecentWithdrawals()
    recent.add([OVER], 0)
    recent.add([OVER], 1)
    recent.add([Withdrawal('e2', 9)], 10)
    assert recent.news(10) == [Withdrawal('e2', 9)]
    assert len(recent.news(10, 10 - REPORT_S / 2)) == 2
    assert len(recent.news(10, math.inf)) == 2

"""For how long entries that a list lacks are kept.

Live endpoints' entries may expire while the platform is away. A gateway that
alone could not reach it must not take that for such an outage.
"""

import asyncio

import pytest

from cactusledge.errors import StoreUnavailableError
from cactusledge.gateway.replicas import FRESH_S
from cactusledge.objects.feeds import REREGISTRATION_S
from cactusledge.objects.store import ObjectList
from cactusledge.records.gateway_messages import LoadReport, ShareLoads
from cactusledge.records.gateways import GatewayRegistry
from cactusledge.records.platform_uptime import FRESH_S as TOLD_S
from cactusledge.records.platform_uptime import PlatformUptime
from tests.test_platform_changes import Calls
from tests.test_withdrawals import listed, usable

CUT_OVER_S = 100.0  # when the first list after the outage arrives
EMPTY = ObjectList((), '1')


def after_cut():
    """Returns a list in which an entry is missing after an outage."""
    replicas = listed()
    replicas.replace_all([], CUT_OVER_S, after_outage=True)
    return replicas


# An endpoint that had left during a cut of its gateway got requests for 2 s
# after the gateway's first list.
def test_entry_is_not_kept_if_the_platform_was_up():
    replicas = listed()
    replicas.hear_platform(60, CUT_OVER_S)
    replicas.replace_all([], CUT_OVER_S, after_outage=True)
    assert not replicas.ids()


def test_entry_is_removed_with_the_word_that_the_platform_was_up():
    replicas = after_cut()
    assert usable(replicas, CUT_OVER_S) == ['e1']
    replicas.hear_platform(60, CUT_OVER_S + 0.1)
    assert not usable(replicas, CUT_OVER_S + 0.1)


def test_entry_is_kept_until_after_the_return_of_the_platform():
    replicas = after_cut()
    replicas.hear_platform(0.5, CUT_OVER_S)
    assert usable(replicas, CUT_OVER_S + 0.9) == ['e1']
    replicas.hear_platform(1.5, CUT_OVER_S + 1)
    assert not usable(replicas, CUT_OVER_S - 0.5 + REREGISTRATION_S)


# The platform may have gone away since the stores' last word.
@pytest.mark.parametrize('up_s', [0, 60])
def test_old_word_of_the_stores_does_not_count(up_s):
    replicas = listed()
    replicas.hear_platform(up_s, CUT_OVER_S - 2 * FRESH_S)
    replicas.replace_all([], CUT_OVER_S, after_outage=True)
    assert usable(replicas, CUT_OVER_S + 1.9) == ['e1']
    assert not usable(replicas, CUT_OVER_S + REREGISTRATION_S)


def test_longest_uptime_of_any_store_is_told():
    async def main():
        registry = GatewayRegistry()
        unknown = await registry.report(LoadReport('f1', {}))
        shared = ShareLoads('s1', {}, '', 0, platform_up_s=60)
        await registry.share(shared)
        known = await registry.report(LoadReport('f1', {}))
        return unknown.platform_up_s, known.platform_up_s

    assert asyncio.run(main()) == (0, 60)


def test_store_that_is_turned_away_or_silent_does_not_count():
    uptime = PlatformUptime()
    uptime.note(0)
    uptime.share('s1', 50, 10)
    assert uptime.longest_s(10) == 50
    assert uptime.longest_s(10 + TOLD_S) == 10 + TOLD_S
    uptime.note(None)
    assert not uptime.longest_s(10 + TOLD_S)


def test_uptime_begins_with_the_list_after_an_outage(monkeypatch):
    calls = Calls()
    calls.sink.on_snapshot(EMPTY)
    calls.sink.on_failure(StoreUnavailableError('no', remedy='wait'))
    calls.sink.on_snapshot(EMPTY)
    first, failing, still = calls.up
    assert first == still
    assert failing is None
    monkeypatch.setattr(f'{Calls.sink_module}.OUTAGE_THRESHOLD_S', 0)
    calls.sink.on_failure(StoreUnavailableError('no', remedy='wait'))
    calls.sink.on_snapshot(EMPTY)
    assert calls.up[-1] > first

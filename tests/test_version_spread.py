"""Which version of the configuration is spread, by whom, and how it is told."""

import asyncio

import msgspec
import pytest

from cactusledge.gateway.bootstrap import (
    Snapshot,
)
from cactusledge.gateway.configuration_news import (
    FAILING_LIMIT_S,
    FETCH_WAIT_S,
    ConfigurationNews,
)
from cactusledge.gateway.messages import (
    Configuration,
    Limits,
)
from cactusledge.records.gateway_messages import (
    KnownVersion,
    LoadReport,
    LoadSums,
    ShareLoads,
)
from cactusledge.records.gateways import GatewayRegistry
from cactusledge.records.version_spread import (
    MAX_HOLDERS,
    REPORT_TTL_S,
    VersionSpread,
)


def held(version, *names):
    """Returns a version and the gateways that have it."""
    return KnownVersion(version, names)


F1_NONE = ('f1', held(0), 0)
F1_OLD = ('f1', held(7, 'a'), 0)
F1_NEW = ('f1', held(9, 'a'), 0)
F2_NEW = ('f2', held(9, 'b'), 0.5)


# Of many gateways some lag behind, some are gone: the newest version that one
# still has is spread, and those named have reported it last.
@pytest.mark.parametrize(
    ('reports', 'now_s', 'expected'),
    [
        ([], 0, held(0)),
        ([F1_NONE], 0, held(0)),
        ([F1_OLD], 1, held(7, 'a')),
        ([F1_OLD, F2_NEW], 1, held(9, 'b')),
        ([F2_NEW, F1_OLD], 1, held(9, 'b')),
        ([F1_NEW, F2_NEW], 1, held(9, 'b', 'a')),
        ([F1_NEW, F1_OLD], 1, held(7, 'a')),
        ([F1_OLD, F2_NEW], 1.7, held(9, 'b')),
        ([F1_NEW], REPORT_TTL_S, held(0)),
    ],
)
def test_newest_reported_version_is_spread(reports, now_s, expected):
    spread = VersionSpread()
    for name, known, at_s in reports:
        spread.report(name, known, at_s)
    assert spread.newest(now_s) == expected
    assert spread.local(now_s) == expected


def test_few_holders_are_named_however_many_gateways_there_are():
    spread = VersionSpread()
    for number in range(50):
        spread.report(f'f{number}', held(7, str(number)), number / 100)
    assert spread.newest(1).holders == ('49', '48', '47')
    assert len(spread.newest(1).holders) == MAX_HOLDERS


# Two stores that told each other what they heard would keep a gateway that is
# gone as a holder for ever.
def test_version_of_another_store_is_not_passed_on():
    spread = VersionSpread()
    spread.share('store-b', held(9, 'b'), 0)
    assert spread.newest(1) == held(9, 'b')
    assert spread.local(1) == held(0)
    assert spread.newest(REPORT_TTL_S) == held(0)


def test_version_reaches_the_gateways_of_another_store():
    async def main():
        here, there = GatewayRegistry(), GatewayRegistry()
        await here.report(LoadReport('f1', {}, configuration=held(9, 'a')))
        shared = here.versions.local(asyncio.get_running_loop().time())
        await there.share(
            ShareLoads('store-a', {}, '', 0, configuration=shared)
        )
        return await there.report(LoadReport('f2', {}))

    assert asyncio.run(main()).configuration == held(9, 'a')


def news_of(version, *steps):
    """Returns the news of a gateway with a version after what it heard."""
    news = ConfigurationNews()
    news.note_watch(None)
    if version:
        news.note_applied(version)
    for known, now_s in steps:
        news.hear(known, now_s)
    return news


# The own watch brings a version in time unless the platform turns this
# gateway away: nobody is asked before.
@pytest.mark.parametrize(
    ('version', 'steps', 'now_s', 'holders'),
    [
        (7, [], 9, ()),
        (7, [(held(7, 'a'), 0)], 9, ()),
        (7, [(held(5, 'a'), 0)], 9, ()),
        (7, [(held(9, 'a'), 0)], FETCH_WAIT_S / 2, ()),
        (7, [(held(9, 'a'), 0)], FETCH_WAIT_S, ('a',)),
        (7, [(held(9, 'a'), 0), (held(11, 'b'), 0.2)], FETCH_WAIT_S, ('b',)),
        (7, [(held(9, 'a'), 0), (held(7, 'b'), 0.2)], 9, ()),
        (0, [(held(9, 'a'), 0)], 9, ()),
    ],
)
def test_newer_version_is_asked_for_after_a_wait(
    version, steps, now_s, holders
):
    assert news_of(version, *steps).holders_due(now_s) == holders


def test_wait_begins_anew_once_the_watch_has_brought_a_version():
    news = news_of(7, (held(9, 'a'), 0))
    news.note_applied(9)
    news.hear(held(11, 'a'), 1)
    assert not news.holders_due(1 + FETCH_WAIT_S / 2)
    assert news.holders_due(1 + FETCH_WAIT_S) == ('a',)


@pytest.mark.parametrize(
    ('heard', 'failing_since_s', 'now_s', 'is_current'),
    [
        (held(7), None, 9, True),
        (held(8), None, 0, False),
        (held(7), 0, FAILING_LIMIT_S / 2, True),
        (held(7), 0, FAILING_LIMIT_S * 2, False),
    ],
)
def test_gateway_is_certain_while_it_hears_from_the_platform(
    heard, failing_since_s, now_s, is_current
):
    news = news_of(7, (heard, 0))
    news.note_watch(failing_since_s)
    assert news.is_current(now_s) == is_current


# It starts with the configuration of another gateway, which may be behind.
def test_gateway_is_not_certain_before_its_first_list():
    news = ConfigurationNews()
    news.note_applied(7)
    assert not news.is_current(0)
    news.note_watch(None)
    assert news.is_current(0)


class ReportBefore(LoadReport.__base__, frozen=True, tag='LoadReport'):
    """The report of the build before."""

    name: str
    in_flight: dict[str, int]


class SumsBefore(LoadReport.__base__, frozen=True, tag='LoadSums'):
    """The sums of the build before."""

    in_flight: dict[str, int]


class ShareBefore(LoadReport.__base__, frozen=True, tag='ShareLoads'):
    """The shared loads of the build before."""

    name: str
    in_flight: dict[str, int]
    epoch: str
    position: int


# Old and new processes run side by side during an upgrade.
@pytest.mark.parametrize(
    ('before', 'now'),
    [
        (ReportBefore('f1', {}), LoadReport('f1', {})),
        (SumsBefore({}), LoadSums({})),
        (ShareBefore('s1', {}, '', 0), ShareLoads('s1', {}, '', 0)),
    ],
)
def test_messages_of_the_build_before_and_of_this_one(before, now):
    encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
    assert decode(encode(before), type=type(now)) == now
    newer = msgspec.structs.replace(now, configuration=held(7, 'a'))
    assert decode(encode(newer), type=type(before)) == before
    assert decode(encode(newer), type=type(now)) == newer


def test_snapshot_of_a_configuration_without_accounts_is_read():
    cfg = Configuration(7, (), (), Limits())
    encoded = msgspec.msgpack.encode((cfg[:-1], ()))
    assert msgspec.msgpack.decode(encoded, type=Snapshot).cfg == cfg

"""A new version of the configuration reaches gateways without the platform."""

import asyncio
from contextlib import asynccontextmanager

import msgspec
import pytest
from structlog.testing import capture_logs

from cactusledge.gateway.bootstrap import (
    FETCH_TIMEOUT_S,
    PeerBootstrap,
    Snapshot,
)
from cactusledge.gateway.configuration_news import (
    FAILING_LIMIT_S,
    FETCH_WAIT_S,
    ConfigurationNews,
)
from cactusledge.gateway.messages import (
    Account,
    Configuration,
    Limits,
    Replica,
)
from cactusledge.gateway.peer_requests import PeerRequests
from cactusledge.gateway.version_fetch import VersionFetch
from cactusledge.gateway.version_reports import VersionReports
from cactusledge.models import Address
from cactusledge.records.gateway_messages import (
    AskBeliefs,
    Beliefs,
    KnownVersion,
    LoadReport,
    LoadSums,
    ShareLoads,
)
from cactusledge.records.gateways import GatewayRegistry
from cactusledge.records.message_server import MessageServer
from cactusledge.records.version_spread import (
    MAX_HOLDERS,
    REPORT_TTL_S,
    VersionSpread,
)
from tests.gateway_endpoints import Endpoint, answered
from tests.gateway_support import running_gateway, running_gateways
from tests.records_support import free_port
from tests.store_stubs import exchanging

ACME = Account('acme', frozenset((b'digest',)))
APPLY_S = 3.0  # from the publication of a version


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


class Peer:
    """What a gateway needs to answer others and to fetch from them."""

    def __init__(self, harness):
        gateway = harness.gateway
        self.address = Address('127.0.0.1', free_port())
        self.bootstrap = PeerBootstrap(gateway, None)
        self.fetch = VersionFetch(
            gateway.news, self.bootstrap.fetch, harness.fleet.metrics
        )
        harness.versions = VersionReports(gateway.news, self.address)
        requests = PeerRequests(gateway, self.address, self.bootstrap, None)
        self.server = MessageServer(requests.handle)


@asynccontextmanager
async def connected(count):
    """Starts gateways that report to one store; yields them with the ends."""
    async with running_gateways(count, Endpoint(answered)) as harnesses:
        peers = [Peer(harness) for harness in harnesses]
        tasks = []
        for started in peers:
            await started.server.start(started.address)
            tasks.append(asyncio.ensure_future(started.fetch.run()))
        async with exchanging(GatewayRegistry(), harnesses):
            yield [harness.gateway for harness in harnesses], peers
        for task, ended in zip(tasks, peers, strict=True):
            task.cancel()
            ended.server.stop()


def publish(gateway, version):
    """Lets the platform's watch bring a version to a gateway."""
    cfg = gateway.table.cfg
    gateway.apply(cfg._replace(version=version, accounts=(ACME,)))


async def until_applied(gateway, version):
    """Waits until a version is in force; fails if that takes too long."""
    async with asyncio.timeout(APPLY_S):
        while gateway.table.cfg.version < version:
            await asyncio.sleep(0.02)


def fetches(lines):
    """Returns the versions before and after each fetch."""
    return [
        (line['before'], line['version'])
        for line in lines
        if line['event'] == 'gateway: configuration fetched from peer'
    ]


# The platform turned some gateways away for nine seconds: they kept serving
# keys that had been taken away.
def test_gateway_without_the_platform_applies_versions_in_quick_succession():
    async def main():
        async with connected(2) as ((served, refused), _):
            refused.news.note_watch(0)
            for version in (3, 4, 9):
                publish(served, version)
                await until_applied(refused, version)
            assert refused.table.cfg == served.table.cfg

    with capture_logs() as lines:
        asyncio.run(main())
    assert fetches(lines) == [(1, 3), (3, 4), (4, 9)]


# A holder is gone or hangs when it is asked.
@pytest.mark.parametrize('is_silent', [True, False])
def test_holder_that_does_not_answer_does_not_block_the_fetch(is_silent):
    asked = []

    async def hang(body):
        asked.append(body)
        await asyncio.sleep(APPLY_S)

    async def main():
        bad = Address('127.0.0.1', free_port())
        server = MessageServer(hang)
        async with running_gateways(2, Endpoint(answered)) as harnesses:
            has_it, lacks_it = map(Peer, harnesses)
            await has_it.server.start(has_it.address)
            if is_silent:
                await server.start(bad)
            publish(harnesses[0].gateway, 3)
            behind = harnesses[1].gateway
            holders = (str(bad), str(has_it.address))
            behind.news.hear(KnownVersion(3, holders), 0)
            async with asyncio.timeout(APPLY_S / 2):
                await lacks_it.fetch.step(FETCH_WAIT_S)
            assert behind.table.cfg.version == 3
            has_it.server.stop()
            server.stop()

    asyncio.run(main())
    assert len(asked) == is_silent


# The holder may have been restarted without the platform, with less.
def test_version_never_goes_back():
    async def main():
        async with connected(2) as ((old, new), peers):
            publish(new, 5)
            await peers[1].bootstrap.fetch(peers[0].address)
            assert new.table.cfg.version == 5
            assert old.table.cfg.version == 1

    asyncio.run(main())


# Endpoints come from the platform's list only; a peer may know gone ones.
def test_endpoints_are_taken_only_by_a_gateway_without_any():
    async def answer(body):
        assert isinstance(body, AskBeliefs)
        return Beliefs(msgspec.msgpack.encode(Snapshot(cfg, (gone,))))

    async def main():
        async with running_gateway(Endpoint(answered)) as harness:
            address = Address('127.0.0.1', free_port())
            server = MessageServer(answer)
            await server.start(address)
            await PeerBootstrap(harness.gateway, None).fetch(address)
            server.stop()
            assert harness.gateway.table.cfg.version == 7
            assert harness.fleet.replicas.ids() == {'e0'}

    cfg = Configuration(7, (), (), Limits())
    gone = Replica('e9', 'svc', '127.0.0.1', 1, 'dc-a', 1, False, 1)
    asyncio.run(main())


def test_silent_holders_leave_time_for_the_last_one():
    assert MAX_HOLDERS * FETCH_TIMEOUT_S < APPLY_S / 2

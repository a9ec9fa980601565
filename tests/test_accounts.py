"""The decision whether a key is known, alone and in a gateway."""

import asyncio

import pytest
from structlog.testing import capture_logs

from cactusledge.gateway.accounts import AccountKeys, Finding
from cactusledge.gateway.configuration_news import FAILING_LIMIT_S
from cactusledge.gateway.messages import Account, Repeatability
from cactusledge.platform.accounts import digest_of
from cactusledge.records.gateway_messages import KnownVersion
from tests.gateway_endpoints import Endpoint, answered, field
from tests.gateway_support import route, run_scenario

OLD, NEW = digest_of(b'k-old'), digest_of(b'k-new')
ACME = Account('acme', frozenset((NEW,)))
RIVAL = Account('rival', frozenset((digest_of(b'k-rival'),)))
CLOSED = route('/once/', Repeatability.ONCE)
PUBLIC = route('/open/', Repeatability.ONCE, is_public=True)
NO_ACCOUNTS = AccountKeys(None)
ACCOUNTS = AccountKeys((ACME, RIVAL))


# Keys are taken away under load: what no configuration allows must not run,
# what a newer one may allow must not be refused finally.
@pytest.mark.parametrize(
    ('keys', 'asked', 'digest', 'is_current', 'finding', 'account'),
    [
        (ACCOUNTS, CLOSED, NEW, True, Finding.ADMITTED, ACME),
        (ACCOUNTS, CLOSED, NEW, False, Finding.ADMITTED, ACME),
        (ACCOUNTS, CLOSED, OLD, True, Finding.UNKNOWN_KEY, None),
        (ACCOUNTS, CLOSED, OLD, False, Finding.UNSURE, None),
        (ACCOUNTS, CLOSED, b'', True, Finding.UNKNOWN_KEY, None),
        (ACCOUNTS, CLOSED, b'', False, Finding.UNSURE, None),
        (ACCOUNTS, PUBLIC, NEW, True, Finding.ADMITTED, None),
        (ACCOUNTS, PUBLIC, b'', True, Finding.ADMITTED, None),
        (AccountKeys(()), CLOSED, NEW, True, Finding.UNKNOWN_KEY, None),
        (NO_ACCOUNTS, CLOSED, NEW, True, Finding.ADMITTED, None),
        (NO_ACCOUNTS, CLOSED, b'', False, Finding.ADMITTED, None),
    ],
)
def test_key_decides_on_a_request(
    keys, asked, digest, is_current, finding, account
):
    identity = keys.identify(asked, digest, is_current=is_current)
    assert identity == (finding, account)


def test_key_of_two_accounts_belongs_to_the_first():
    copy = Account('copy', ACME.key_digests)
    identity = AccountKeys((ACME, copy)).identify(CLOSED, NEW, is_current=True)
    assert identity.account == ACME


def configure(harness, *accounts, version=2):
    """Gives a gateway accounts."""
    cfg = harness.gateway.table.cfg
    harness.gateway.news.note_watch(None)
    harness.gateway.apply(
        cfg._replace(
            version=version, accounts=accounts, routes=(*cfg.routes, PUBLIC)
        )
    )


async def status_of(harness, path, *headers):
    """Returns the status and head of one request."""
    caller = await harness.call(path, *headers)
    status, head, _ = await caller.read()
    return status, head


def news_s(offset_s):
    """Returns a time on the loop's clock, from now."""
    return asyncio.get_running_loop().time() + offset_s


def test_only_known_keys_reach_an_endpoint():
    async def scenario(harness):
        configure(harness, ACME)
        known = 'Api-Key: k-new'
        forged = 'X-Cactusledge-Tenant: rival'
        for path, header, status in (
            ('/once/x', known, 200),
            ('/once/x', 'Api-Key: k-old', 401),
            ('/once/x', forged, 401),
            ('/none/x', known, 404),
            ('/open/x', forged, 200),
        ):
            assert (await status_of(harness, path, header))[0] == status
        heads = [head for head, _ in endpoint.requests]
        assert [field(head, 'x-cactusledge-tenant') for head in heads] == [
            'acme',
            '',
        ]
        assert not any(field(head, 'api-key') for head in heads)

    endpoint = Endpoint(answered)
    with capture_logs() as lines:
        run_scenario(scenario, endpoint)
    assert 'k-new' not in repr(lines)


def test_key_that_is_taken_away_is_refused():
    async def scenario(harness):
        configure(harness, Account('acme', frozenset((OLD, NEW))))
        assert (await status_of(harness, '/once/x', 'Api-Key: k-old'))[0] == 200
        configure(harness, ACME, version=3)
        assert (await status_of(harness, '/once/x', 'Api-Key: k-old'))[0] == 401

    run_scenario(scenario, Endpoint(answered))


# A gateway that the platform turns away may lack the key that a caller has
# just been given: 401 would be final.
@pytest.mark.parametrize('is_failing', [True, False])
def test_gateway_that_is_not_certain_asks_to_come_again(is_failing):
    async def scenario(harness):
        configure(harness, ACME)
        news = harness.gateway.news
        if is_failing:
            news.note_watch(news_s(-FAILING_LIMIT_S - 1))
        else:
            news.hear(KnownVersion(3), news_s(0))
        status, head = await status_of(harness, '/once/x', 'Api-Key: k-old')
        assert status == 503
        assert 0 < float(field(head, 'retry-after')) < 1
        assert (await status_of(harness, '/once/x', 'Api-Key: k-new'))[0] == 200
        news.note_watch(None)
        news.note_applied(3)
        assert (await status_of(harness, '/once/x', 'Api-Key: k-old'))[0] == 401

    run_scenario(scenario, Endpoint(answered))

"""Client accounts on the users' platform: documents and headers."""

import hashlib

import pytest
from structlog.testing import capture_logs

from cactusledge.gateway.messages import Account, Outgoing, Quota
from cactusledge.platform.documents import decode_configuration
from cactusledge.platform.headers import HeaderDialect
from tests.test_platform_adapter import REPLICA, ROUTE, request, stored

KEY = 'k-secret'
DIGEST = hashlib.sha256(KEY.encode()).digest()
TENANT = {
    'name': 'acme',
    'api_keys': [KEY],
    'priority': 1,
    'rate_per_s': 168,
    'burst': 20,
}


def decode(tenants, routes=()):
    """Returns a configuration with these accounts."""
    body = {'version': 7, 'routes': list(routes), 'services': []}
    return decode_configuration(stored('main', {**body, 'tenants': tenants}))


# Accounts compete for endpoints: each has its priority and its quota.
@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({}, Account('acme', {DIGEST}, 1, Quota(168, 20))),
        ({'rate_per_s': 0}, Account('acme', {DIGEST}, 1)),
        ({'rate_per_s': None}, Account('acme', {DIGEST}, 1)),
        ({'burst': None}, Account('acme', {DIGEST}, 1, Quota(168, 0))),
        ({'priority': 0}, Account('acme', {DIGEST}, 0, Quota(168, 20))),
        ({'priority': None}, Account('acme', {DIGEST}, None, Quota(168, 20))),
        ({'api_keys': []}, Account('acme', frozenset(), 1, Quota(168, 20))),
    ],
)
def test_account_is_decoded(changes, expected):
    assert decode([{**TENANT, **changes}]).accounts == (expected,)


# A malformed account must not take the accounts of others out of force, and
# a key must not reach the logs.
@pytest.mark.parametrize(
    ('changes', 'field'),
    [
        ({'name': ''}, 'name'),
        ({'name': 7}, 'name'),
        ({'name': 'a\r\nX-Other: 1'}, 'name'),
        ({'api_keys': KEY}, 'api_keys'),
        ({'api_keys': [KEY, '']}, 'api_keys'),
        ({'api_keys': [KEY, 5]}, 'api_keys'),
        ({'api_keys': {KEY: 1}}, 'api_keys'),
        ({'priority': KEY}, 'priority'),
        ({'priority': True}, 'priority'),
        ({'rate_per_s': -1}, 'rate_per_s'),
        ({'rate_per_s': 10**400}, 'rate_per_s'),
        ({'burst': KEY}, 'burst'),
        ({'burst': float('nan')}, 'burst'),
    ],
)
def test_malformed_account_is_left_out_without_naming_a_key(changes, field):
    with capture_logs() as lines:
        cfg = decode([{**TENANT, **changes}, {**TENANT, 'name': 'other'}])
    assert [account.name for account in cfg.accounts] == ['other']
    named = {**TENANT, **changes}['name']
    expected = named if isinstance(named, str) else ''
    assert (lines[0]['field'], lines[0]['account']) == (field, expected)
    assert len(lines) == 1
    assert KEY not in repr(lines)


@pytest.mark.parametrize('entry', [None, KEY, [KEY], 5])
def test_entry_that_is_no_account_is_left_out(entry):
    with capture_logs() as lines:
        assert decode([entry]).accounts == ()
    assert KEY not in repr(lines)


@pytest.mark.parametrize('tenants', [KEY, {KEY: TENANT}])
def test_accounts_that_are_no_list_leave_the_last_version_in_force(tenants):
    with capture_logs() as lines:
        assert decode(tenants) is None
    assert KEY not in repr(lines)


# The deployments before have no accounts.
def test_configuration_without_accounts_needs_no_key():
    body = {'version': 7, 'routes': [ROUTE], 'services': []}
    cfg = decode_configuration(stored('main', body))
    assert cfg.accounts is None
    assert not cfg.routes[0].is_public


def test_route_may_be_public():
    cfg = decode([TENANT], [{**ROUTE, 'public': True}])
    assert cfg.routes[0].is_public


# Only the digest is kept, so that no log line and no snapshot has a key.
def test_configuration_holds_no_key():
    assert KEY not in repr(decode([TENANT]))


@pytest.mark.parametrize(
    ('headers', 'digest'),
    [
        ([(b'Api-Key', KEY.encode())], DIGEST),
        ([(b'api-key', KEY.encode()), (b'Api-Key', b'second')], DIGEST),
        ([(b'Api-Key', b'')], b''),
        ([], b''),
    ],
)
def test_key_is_read_as_its_digest(headers, digest):
    assert HeaderDialect().read_call(request(*headers)).key_digest == digest


def sent_headers(account, replica, *headers):
    """Returns the header lines of a request, in lower case."""
    outgoing = Outgoing(request(*headers), b'', account=account)
    sent = HeaderDialect().request_headers(outgoing, replica, 1000)
    return sent.decode().lower().split('\r\n')


KEY_HEADERS = (
    (b'API-KEY', KEY.encode()),
    (b'Api-Key', b'second'),
    (b'X-Cactusledge-Tenant', b'forged'),
    (b'x-cactusledge-TENANT', b'forged'),
    (b'Connection', b'X-Cactusledge-Tenant'),
)


# An endpoint must learn neither the key nor a name that the caller made up.
@pytest.mark.parametrize(
    ('account', 'names'),
    [('acme', ['x-cactusledge-tenant: acme']), ('', [])],
)
def test_endpoint_gets_the_name_of_the_account_instead_of_the_key(
    account, names
):
    sent = sent_headers(account, REPLICA, *KEY_HEADERS)
    assert [line for line in sent if line.startswith('x-cactusledge-t')] == (
        names
    )
    assert not any(line.startswith('api-key') for line in sent)


# Another gateway authenticates the caller itself.
def test_other_gateway_gets_the_key_but_no_name():
    sent = sent_headers('acme', None, *KEY_HEADERS)
    assert f'api-key: {KEY}' in sent
    assert not any('x-cactusledge-tenant' in line for line in sent)

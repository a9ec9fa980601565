"""Tests the platform adapter: settings, headers, documents, encapsulation."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusledge.gateway.messages import (
    Outgoing,
    Repeatability,
    Replica,
    Request,
)
from cactusledge.models import Address
from cactusledge.objects.store import StoredObject
from cactusledge.platform.documents import (
    decode_configuration,
    decode_replica,
)
from cactusledge.platform.headers import HeaderDialect, parse_idle_timeout
from cactusledge.platform.settings import parse_settings, read_settings
from cactusledge.settings.errors import InvalidSettingsError

ROOT = Path(__file__).parent.parent
PRODUCT = ROOT / 'cactusledge'
# Names of the platform that only the adapter may contain.
WIRE_NAMES = (
    'x-cactusledge',
    'retain_context',
    'path_prefix',
    'node_name',
    'retirements',
    '/api/objects',
)
SETTINGS = """
node_name=front-1
zone=z-a
ip=10.1.0.38
listen.front=10.1.0.38:8149
listen.ready=10.1.0.38:8141
port_range=7380,7395
seeds=10.1.0.38:8144,10.2.0.40:8144
bootstrap=true
tolerate.machines=1
bounds.grace_s=8
bounds.drain_ms=2000
platform.address=10.200.1.7:8142
something.new=1
"""
ROUTE = {
    'name': 'r1',
    'host': 'Shop.example',
    'path_prefix': '/a/',
    'kind': 'stream',
    'timeout_ms': 4000,
    'target_latency_ms': 200,
    'priority': 0,
    'service': 'svc',
    'max_attempts': 2,
    'retain_context': True,
    'retention_s': 60.0,
}
SERVER = {
    'service': 'svc',
    'address': '10.128.0.9:8080',
    'zone': 'z-a',
    'slots': 24,
    'state': 'ready',
    'born': 5,
}
REPLICA = Replica('i-1', 'svc', '10.128.0.9', 8080, 'z-a', 24, False, 5)


def stored(name, body):
    return StoredObject('kind', name, '7', body)


def request(*headers, method=b'POST'):
    return Request(method, b'/a/x?q=1', list(headers), b'body', 0)


def test_settings_are_parsed_and_unknown_fields_ignored():
    settings = parse_settings(SETTINGS, 'local.conf')
    assert settings.instance == 'front-1'
    assert settings.callers == Address('10.1.0.38', 8149)
    assert settings.peer_port == 7380
    assert len(settings.seeds) == 2
    assert settings.is_first_start
    assert settings.data_folder is None
    assert settings.drain_s == 2


@pytest.mark.parametrize(
    ('old', 'new', 'message'),
    [
        ('node_name=front-1\n', '', 'node_name is missing'),
        ('=10.200.1.7:8142', '=here', 'platform.address=here is not valid'),
        ('grace_s=8', 'grace_s=soon', 'bounds.grace_s=soon is not valid'),
        ('drain_ms=2000', 'drain_ms=x', 'bounds.drain_ms=x is not valid'),
        ('port_range=7380,7395', 'port_range=x', 'port_range=x is not valid'),
    ],
)
def test_invalid_settings_error_names_the_field_and_the_remedy(
    old, new, message
):
    with pytest.raises(InvalidSettingsError) as caught:
        parse_settings(SETTINGS.replace(old, new), 'local.conf')
    assert message in str(caught.value)
    assert 'Correct the settings file' in str(caught.value)


def test_missing_settings_file_is_named_in_the_error():
    with pytest.raises(InvalidSettingsError, match=r'nowhere\.conf'):
        read_settings({'CACTUSLEDGE_CONFIG': '/nowhere.conf'})


def test_hop_by_hop_and_reserved_headers_are_not_forwarded():
    asked = request(
        (b'Host', b'shop.example'),
        (b'X-Cactusledge-Request-Id', b'r1'),
        (b'X-Cactusledge-Kv-Hold', b'h'),
        (b'X-Cactusledge-Pin-Ms', b'9'),
        (b'X-Cactusledge-Kv-Backup', b'b'),
        (b'X-Cactusledge-Expect-Instance', b'i-9'),
        (b'X-Cactusledge-Deadline-Ms', b'4000'),
        (b'Kv-From', b'f'),
        (b'Connection', b'close, X-Hop'),
        (b'X-Hop', b'1'),
        (b'Transfer-Encoding', b'chunked'),
        (b'X-Other', b'kept'),
    )
    sent = HeaderDialect().request_headers(
        Outgoing(asked, b'body'), REPLICA, deadline_ms=1500.7
    )
    assert sent == (
        b'Host: shop.example\r\n'
        b'X-Cactusledge-Request-Id: r1\r\n'
        b'X-Other: kept\r\n'
        b'X-Cactusledge-Deadline-Ms: 1500\r\n'
        b'X-Cactusledge-Expect-Instance: i-1\r\n'
        b'Content-Length: 4\r\n\r\n'
    )


def test_call_headers_are_parsed():
    info = HeaderDialect().read_call(
        request(
            (b'host', b'shop.example'),
            (b'x-cactusledge-request-id', b'r1'),
            (b'X-Cactusledge-Token-Usage', b'1460,80'),
            (b'X-Cactusledge-Prompt-Prefix', b'5c1e:800,91bd:410'),
            (b'X-Cactusledge-Token-Budget', b'4704'),
            (b'X-Cactusledge-Previous-Turn', b'r0'),
        )
    )
    assert (info.request_id, info.parent_id) == ('r1', 'r0')
    assert (info.prompt_tokens, info.max_tokens, info.budget) == (
        1460,
        80,
        4704,
    )
    assert [part.tokens for part in info.parts] == [800, 410]
    assert info.deadline_ms is None
    assert not info.last_event_id


@pytest.mark.parametrize('content', [b'inf', b'nan', b'-inf', b'x', b''])
def test_number_that_is_not_finite_counts_as_missing(content):
    info = HeaderDialect().read_call(
        request(
            (b'X-Cactusledge-Token-Budget', content),
            (b'X-Cactusledge-Deadline-Ms', content),
            (b'X-Cactusledge-Token-Usage', content),
        )
    )
    assert (info.budget, info.deadline_ms, info.max_tokens) == (None, None, 0)


def test_prompt_part_with_a_superscript_digit_is_skipped():
    info = HeaderDialect().read_call(
        request((b'X-Cactusledge-Prompt-Prefix', b'5c1e:8\xb2,91bd:410'))
    )
    assert [part.part_id for part in info.parts] == ['91bd']


def test_resumed_request_names_the_last_event_received():
    asked = request((b'Host', b'h'), (b'Last-Event-Id', b'3'))
    sent = [
        HeaderDialect().request_headers(outgoing, REPLICA, deadline_ms=9)
        for outgoing in (Outgoing(asked, b''), Outgoing(asked, b'', '7'))
    ]
    assert b'Last-Event-Id: 3\r\n' in sent[0]
    assert b'Last-Event-Id: 7\r\n' in sent[1]
    assert b'Last-Event-Id: 3' not in sent[1]


def test_resumable_route_may_repeat():
    cfg = decode_configuration(
        stored(
            'main',
            {
                'version': 7,
                'routes': [ROUTE, {**ROUTE, 'resumable': True}],
                'services': [],
            },
        )
    )
    assert [route.may_repeat for route in cfg.routes] == [False, True]


@given(st.lists(st.tuples(st.binary(max_size=30), st.binary(max_size=30))))
def test_any_header_bytes_are_accepted(headers):
    HeaderDialect().read_call(request(*headers))
    HeaderDialect().read_answer(200, headers)


@pytest.mark.parametrize(
    ('status', 'headers', 'not_run'),
    [
        (503, [(b'X-Cactusledge-Not-Executed', b'1')], True),
        (503, [], False),
        (421, [], True),
        (500, [], False),
    ],
)
def test_only_some_answers_mean_that_the_request_did_not_run(
    status, headers, not_run
):
    answer = HeaderDialect().read_answer(status, headers)
    assert answer.not_run is not_run


@pytest.mark.parametrize(
    ('content', 'idle_s'),
    [(b'timeout=5, max=9', 5), (b'max=9', None), (b'timeout=x', None)],
)
def test_idle_timeout_is_parsed(content, idle_s):
    assert parse_idle_timeout(content) == idle_s


def test_configuration_is_decoded():
    cfg = decode_configuration(
        stored('main', {'version': 7, 'routes': [ROUTE], 'services': []})
    )
    route = cfg.routes[0]
    assert (cfg.version, route.host) == (7, 'shop.example')
    assert route.repeatability is Repeatability.STREAM
    assert route.keeps_turns


@pytest.mark.parametrize(
    ('name', 'body'),
    [
        ('other', {'version': 7, 'routes': [], 'services': []}),
        ('main', {'routes': [], 'services': []}),
        (
            'main',
            {'version': 7, 'routes': [{**ROUTE, 'kind': 'x'}], 'services': []},
        ),
        ('main', 'text'),
    ],
)
def test_invalid_configuration_is_ignored(name, body):
    assert decode_configuration(stored(name, body)) is None


def test_endpoint_is_decoded():
    assert decode_replica(stored('i-1', SERVER)) == REPLICA


@pytest.mark.parametrize(
    'body',
    [
        {key: found for key, found in SERVER.items() if key != 'address'},
        {**SERVER, 'state': 'asleep'},
        {**SERVER, 'slots': 'many'},
        {**SERVER, 'address': 'here'},
        {**SERVER, 'address': 5},
        {**SERVER, 'service': None},
        'bytes',
        None,
        [],
    ],
)
def test_invalid_endpoint_is_left_out(body):
    assert decode_replica(stored('i-1', body)) is None


# A port out of range ended the task that tests the links, and with it all
# periodic work of the gateway.
@pytest.mark.parametrize(
    'address', ['10.0.0.1:70000', '10.0.0.1:0', '10.0.0.1:-1', ':8080']
)
def test_endpoint_with_an_unusable_address_is_left_out(address):
    body = {**SERVER, 'address': address}
    assert decode_replica(stored('i-1', body)) is None


def test_only_the_adapter_contains_names_of_the_platform():
    found = [
        f'{path.relative_to(ROOT)}: {name}'
        for path in PRODUCT.rglob('*.py')
        if path.parent.name != 'platform'
        for name in WIRE_NAMES
        if name in path.read_text().lower()
    ]
    assert not found


def test_adapter_stays_within_its_line_limit():
    folder = PRODUCT / 'platform'
    lines = sum(
        len(path.read_text().splitlines()) for path in folder.glob('*.py')
    )
    assert lines <= 1500

"""Definition files: validation, references, duplicates, plain tokens."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusledge.errors import ErrorCode
from cactusledge.models import Address, CallKind, Endpoint
from cactusledge.settings.configuration import EngineOrders, hash_token
from cactusledge.settings.definitions import (
    build_configuration,
    collect,
    decode,
    digest_of,
    merge,
    parse_file,
)
from cactusledge.settings.errors import InvalidDefinitionError, UnknownNameError

HASH = hash_token('a')
MODEL = 'models: [{name: m1, context_tokens: 100}]\n'
PROGRAM = 'programs: [{name: p, models: [m1], budget: 9, max_output_tokens: 5,'

# File content, line of the first problem, part of its text.
INVALID_FILES = (
    ('programs:\n- name: p\n  models: [m]\n  buget: 3', 4, "mean 'budget'?"),
    ('programs:\n- name: p\n  models: [m]', 2, "'programs.0.budget' is miss"),
    ('program: []', 1, "Did you mean 'programs'?"),
    ('models:\n- {name: M, context_tokens: 1}', 2, 'match pattern'),
    ('models:\n- {name: m, context_tokens: 1.5}', 2, 'valid integer'),
    ('models: [{name: m, context_tokens: 99999999999999999999}]', 1, 'less'),
    ('services: [{name: s, operations: []}]', 1, 'at least 1 item'),
    (
        'services:\n- name: s\n  operations:\n  - {name: o, idempotent: 1}',
        4,
        'valid boolean',
    ),
    (f'{MODEL}{PROGRAM} weights: {{latancy: 1}}}}]', 2, "mean 'latency'?"),
    ('programs: [{name: p, models: [m], budget: 9}]', 1, 'Define it'),
    (f'{MODEL}programs: [{{name: p, models: [m1x], budget: 9}}]', 2, "'m1'?"),
    (f'{MODEL}{PROGRAM}\n services: [x]}}]', 3, 'not defined under services'),
    (
        f'{MODEL}{PROGRAM} continuation:\n {{service: s, operation: o}}}}]',
        3,
        'not defined under services',
    ),
    (
        (
            f'{MODEL}programs: [{{name: p, models: [m1], budget: 9,'
            '\n max_output_tokens: 200}]'
        ),
        3,
        'Lower it to at most 100.',
    ),
    (
        (
            'services:\n- name: s\n  operations:\n'
            '  - {name: o, idempotent: false, status_query: q}\n'
            '  - {name: q, idempotent: false}'
        ),
        4,
        'is not idempotent',
    ),
    (
        (
            'services:\n- name: s\n  operations:\n'
            '  - {name: o, idempotent: false, status_query: quer}\n'
            '  - {name: query, idempotent: true}'
        ),
        4,
        "Did you mean 'query'?",
    ),
    ('engine_orders: [{model: m, checks_fencing: true}]', 1, 'under models'),
    (
        (
            'endpoints:\n- {name: e, kind: service, service: s,'
            ' address: "127.0.0.1:1", data_centre: d}'
        ),
        2,
        'not defined under services',
    ),
    (f'accounts: [{{name: a, token_sha256: [{HASH}]}}]\n' * 2, 2, 'twice'),
    (f'{MODEL}\n{MODEL.replace("models", "services")}', 3, 'operations'),
    (
        (
            f'accounts:\n- {{name: a, token_sha256: [{HASH}]}}\n'
            f'- {{name: b, token_sha256: [{HASH}]}}'
        ),
        3,
        'token hash',
    ),
    (
        (
            'models: [{name: m, context_tokens: 1},\n {name: m,'
            ' context_tokens: 1}]'
        ),
        2,
        'also defined at f.yaml:1.',
    ),
    (
        'models: [{name: m, context_tokens: 1}, {name: m, context_tokens: 1}]',
        1,
        'also defined at f.yaml:1.',
    ),
    (
        (
            f'{MODEL}services: [{{name: m1, operations: [{{name: o,'
            ' idempotent: true}]}]'
        ),
        2,
        "model or service 'm1'",
    ),
    (
        (
            'services: [{name: s, operations: [{name: o, idempotent: true},\n'
            ' {name: o, idempotent: false}]}]'
        ),
        2,
        "operation 'o'",
    ),
    ('- a', 1, 'the file'),
)
PLAIN_TOKENS = (
    'accounts: [{name: a, token_sha256: [hunter2]}]',
    'accounts: [{name: a, token: hunter2}]',
    'accounts: [{name: a, credentials: {user: hunter2}}]',
    'models: [{name: sk-hunter2}]',
    'programs: [{common_prefix: Bearer hunter2}]',
    'services: [{name: hunter2AAAAbbbb0000CCCCdddd}]',
)


def remedies_or_generation(raw):
    """Returns the remedies if `raw` is invalid, else the generation."""
    try:
        merged = merge([parse_file('f.yaml', raw)]).merged
    except InvalidDefinitionError as exc:
        return [problem.remedy for problem in exc.problems]
    return [build_configuration(merged, 1, digest_of(merged)).generation]


def merge_texts(*texts):
    return merge(
        parse_file(name, text.encode())
        for name, text in zip(('f.yaml', 'g.yaml'), texts, strict=False)
    )


@pytest.mark.parametrize(('text', 'line', 'part'), INVALID_FILES)
def test_a_bad_file_is_refused_with_line_and_remedy(text, line, part):
    with pytest.raises(InvalidDefinitionError) as caught:
        merge_texts(text)
    assert caught.value.code is ErrorCode.INVALID_DEFINITION
    assert caught.value.problems[0].place == f'f.yaml:{line}'
    assert part in str(caught.value.problems[0])


@pytest.mark.parametrize('text', PLAIN_TOKENS)
def test_plain_tokens_are_refused_and_not_shown(text):
    with pytest.raises(InvalidDefinitionError) as caught:
        merge_texts(text)
    assert 'hash-token' in caught.value.remedy
    assert 'hunter2' not in str(caught.value)


def test_duplicates_across_files_name_both():
    with pytest.raises(InvalidDefinitionError) as caught:
        merge_texts(MODEL, f'\n{MODEL}')
    assert 'g.yaml:2' in str(caught.value)
    assert 'f.yaml:1' in str(caught.value)


def test_all_problems_of_all_files_are_reported(define):
    folder = define(one='x: 1\ny: 2', two='z: 3')
    with pytest.raises(InvalidDefinitionError) as caught:
        collect([folder])
    assert len(caught.value.problems) == 3


def test_a_folder_without_files_is_refused(tmp_path):
    with pytest.raises(InvalidDefinitionError, match='was found'):
        collect([tmp_path])


def test_configuration_answers_lookups(examples):
    found = collect([examples / 'showroom', examples / 'hour-ledger'])
    cfg = build_configuration(found.merged, 7, digest_of(found.merged))
    assert cfg.generation == 7
    assert cfg.program('itinerary').weights.latency == 4
    assert not cfg.service('booking').operation('confirm').idempotent
    assert cfg.model('ledger-agent').prefix_chunk_tokens == 512
    assert cfg.orders_of('booking-agent').checks_fencing
    assert cfg.orders_of('other') == EngineOrders()
    account = cfg.account_for_token('demo-ledger-token')
    assert account is not None
    assert account == cfg.account('branch-clerks')
    assert cfg.account_for_token('demo') is None
    with pytest.raises(UnknownNameError, match="Did you mean 'confirm'"):
        cfg.service('booking').operation('confirn')


def test_fixed_endpoints_are_found_by_service():
    merged = merge_texts(
        f'{MODEL}endpoints: [{{name: e, kind: model, service: m1,'
        ' address: "127.0.0.1:1", data_centre: d}]'
    ).merged
    cfg = build_configuration(merged, 1, '')
    address = Address('127.0.0.1', 1)
    endpoint = Endpoint('e', 'm1', CallKind.MODEL, address, 'd')
    assert cfg.endpoints_of('m1') == (endpoint,)
    assert cfg.endpoints_of('m2') == ()
    assert cfg.fixed_endpoints() == (endpoint,)


def test_encoding_restores_and_does_not_depend_on_order():
    service = 'services: [{name: s, operations: [{name: o, idempotent: true}]}]'
    one, other = merge_texts(MODEL, service), merge_texts(service, MODEL)
    assert one.encoded() == other.encoded()
    assert decode(one.encoded()) == one.merged


def test_fields_of_newer_versions_are_ignored_when_decoding():
    newer = b'{"models":[{"name":"m","context_tokens":1,"new":2}],"kinds":[]}'
    assert decode(newer).models[0].name == 'm'


yaml_lines = st.lists(
    st.sampled_from((
        'models:',
        'programs:',
        'accounts:',
        '- name: m',
        '  name: m',
        '  context_tokens: 1',
        '  models: [m]',
        '  budget: 1',
        '  - x',
        '? a',
        ': b',
        '&a b',
        '*a',
        '<<: {a: 1}',
        '!!python/object:x {}',
        '  token_sha256: [a]',
        '{',
        ']',
        '\t',
        '0x_: .nan',
        '2026-99-99',
        '  budget: !!int x',
        '!!binary x',
        '  budget: 1e999',
        '=',
        '"',
    )),
    max_size=8,
).map('\n'.join)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.one_of(
        st.binary(), st.text().map(str.encode), yaml_lines.map(str.encode)
    )
)
def test_any_bytes_give_a_configuration_or_a_typed_error(raw):
    assert all(remedies_or_generation(raw))

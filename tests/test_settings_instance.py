"""Instance settings: files, environment variables and invalid values."""

import pytest

from cactusledge.errors import ErrorCode
from cactusledge.models import Address
from cactusledge.settings.errors import InvalidSettingsError
from cactusledge.settings.instance import load_settings

IDENTITY = 'instance: {name: tpe-1, data_centre: tpe}\n'

# Text after the first line, line of the first problem, part of its text.
INVALID_FILES = (
    ('listen:\n  apii: 127.0.0.1:1', ':3', "Did you mean 'api'?"),
    ('limit: {}', ':2', "Did you mean 'limits'?"),
    ('listen:\n  api: here', ':3', 'not of the form host:port'),
    ('listen: {api: "127.0.0.1:70000"}', ':2', 'host:port'),
    ('limits:\n\n  max_body_bytes: "9"', ':4', 'valid integer'),
    ('limits: {max_body_bytes: -1}', ':2', 'greater than 0'),
    ('limits: {max_body_bytes: true}', ':2', 'valid integer'),
    ('platform: {timeout_s: .inf}', ':2', 'finite number'),
    ('platform: {timeout_s: 1.0e+300}', ':2', 'less than'),
    ('platform: {addresses: []}', ':2', 'at least 1 item'),
    ('logs: {format: xml}', ':2', "'json' or 'console'"),
    ('peers:\n  seeds:\n  - 127.0.0.1:1\n  - x', ':5', 'host:port'),
    ('traces: {exporter: jsonl}', ':2', 'needs a path'),
    ('journal: {max_waiting_bytes: 9}', ':2', 'greater than or equal'),
    ('instance: {name: b}', ':2', 'appears twice'),
    ('logs: &a {level: info}', ':2', 'Anchors and aliases'),
    ('logs: {level: info', ':2', 'not valid YAML'),
    ('? [a]\n: 1', ':2', 'not a plain string'),
    ('traces: {path: 2026-99-99}', ':2', 'cannot be read'),
    ('logs: \x07', ':1', 'not valid YAML'),
    (f'logs: {"[" * 40}', ':2', 'deeper than'),
    ('---\na: 1', ':2', 'not valid YAML'),
)
INVALID_VARIABLES = (
    ('LISTEN__APY', '127.0.0.1:1', "Did you mean 'api'?"),
    ('LIMITS__MAX_BODY_BYTES', 'many', 'valid integer'),
    ('LIMITS__MAX_BODY_BYTES', '[', 'not valid YAML'),
    ('LIMITS', '3', 'valid dictionary'),
    ('PEERS__SEEDS', '127.0.0.1:1,x', 'host:port'),
)


@pytest.fixture
def path(tmp_path):
    return tmp_path / 'instance.yaml'


def test_a_minimal_file_gets_defaults(path):
    path.write_text(IDENTITY)
    cfg = load_settings(path, {'HOME': '/root'})
    assert cfg.instance.data_centre == 'tpe'
    assert cfg.listen.api == Address('127.0.0.1', 8420)
    assert not cfg.traces.path


def test_environment_overrides_the_file(path):
    path.write_text(f'{IDENTITY}limits: {{worker_threads: 3}}')
    cfg = load_settings(
        path,
        {
            'CACTUSLEDGE_TOKEN': 'secret',
            'CACTUSLEDGE_LIMITS__WORKER_THREADS': '7',
            'CACTUSLEDGE_LISTEN__API': '127.0.0.9:1',
            'CACTUSLEDGE_PEERS__SEEDS': '127.0.0.1:1, 127.0.0.2:2',
            'CACTUSLEDGE_TRACES__PATH': '2026',
        },
    )
    assert cfg.limits.worker_threads == 7
    assert cfg.listen.api == Address('127.0.0.9', 1)
    assert cfg.peers.seeds == (Address('127.0.0.1', 1), Address('127.0.0.2', 2))
    assert cfg.traces.path == '2026'


@pytest.mark.parametrize(('text', 'line', 'part'), INVALID_FILES)
def test_a_bad_file_is_refused_with_line_and_remedy(path, text, line, part):
    path.write_text(IDENTITY + text)
    with pytest.raises(InvalidSettingsError) as caught:
        load_settings(path, {})
    assert caught.value.problems[0].place == f'{path}{line}'
    assert part in str(caught.value.problems[0])
    assert caught.value.problems[0].remedy


@pytest.mark.parametrize(('name', 'text', 'part'), INVALID_VARIABLES)
def test_a_bad_variable_is_named(path, name, text, part):
    path.write_text(IDENTITY)
    full_name = f'CACTUSLEDGE_{name}'
    with pytest.raises(InvalidSettingsError) as caught:
        load_settings(path, {full_name: text})
    assert caught.value.problems[0].place == full_name
    assert part in str(caught.value)


def test_files_that_cannot_be_read_are_refused(path):
    with pytest.raises(InvalidSettingsError, match='cannot be read'):
        load_settings(path, {})
    path.write_bytes(b'a: 1\nb: \xff')
    with pytest.raises(InvalidSettingsError, match=':2: The file is not UTF'):
        load_settings(path, {})
    path.write_text('- a')
    with pytest.raises(InvalidSettingsError) as caught:
        load_settings(path, {'CACTUSLEDGE_LOGS__LEVEL': 'info'})
    assert caught.value.code is ErrorCode.INVALID_SETTINGS

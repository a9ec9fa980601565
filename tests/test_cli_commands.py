"""Tests of the command line, run in the test process."""

import json
from types import SimpleNamespace

import pytest

from cactusledge import __version__
from cactusledge.cli import app as cli
from cactusledge.cli.status_client import InstanceUnreachableError
from cactusledge.settings.configuration import hash_token
from cactusledge.settings.reference import reference_page
from cactusledge.status import ExitStatus
from tests.conftest import NOW

MODEL = 'models: [{name: m, context_tokens: 9}]'
INVALID_MODEL = 'models: [{name: m, context_token: 9}]'

# Arguments, exit status, text expected in the standard error.
FAILING_RUNS = (
    (('validat',), ExitStatus.USAGE, "No such command 'validat'"),
    (('plan', '--platfrom', 'x'), ExitStatus.USAGE, 'No such option'),
    (('validate', '/nowhere'), ExitStatus.INVALID, 'invalid_definition: '),
    (('status', '--platform', 'x'), ExitStatus.INVALID, 'host:port'),
    (('status', '--instances', ','), ExitStatus.INVALID, 'No address'),
    (('hash-token',), ExitStatus.INVALID, 'There is no token'),
)
# Live instances, reports by name as (generation, age in s), exit status, text
# expected in the output.
ROLLOUTS = (
    (('a', 'b'), {'a': (1, 1), 'b': (1, 9)}, ExitStatus.OK, 'everywhere'),
    (('a', 'b'), {'a': (1, 1), 'b': (0, 1)}, ExitStatus.ERROR, '1 of 2'),
    (('a', 'b'), {'a': (1, 1)}, ExitStatus.ERROR, 'b: it has not reported'),
    (('a',), {'a': (1, 900)}, ExitStatus.ERROR, 'report is 900 s old'),
    (('a',), {'a': (1, 1), 'gone': (0, 1)}, ExitStatus.OK, '1 instances'),
    (('a',), {'a': ('1', 1)}, ExitStatus.ERROR, 'its report is not valid'),
    ((), {}, ExitStatus.ERROR, '0 of 0'),
)


@pytest.fixture
def folder(define):
    return str(define(model=MODEL))


@pytest.mark.parametrize(('args', 'status', 'part'), FAILING_RUNS)
def test_failing_commands_print_an_error(run, args, status, part):
    ended = run(*args)
    assert (ended.status, part in ended.err) == (status, True)


def test_every_problem_is_one_line_on_standard_error(run, define):
    ended = run('validate', str(define(one=INVALID_MODEL, two='x: 1')))
    assert ended.status is ExitStatus.INVALID
    lines = ended.err.splitlines()
    assert all(line.startswith('invalid_definition: ') for line in lines)
    assert len(lines) == 3


def test_examples_are_valid(run, examples):
    for name in ('showroom', 'hour-ledger'):
        assert run('validate', str(examples / name)).status is ExitStatus.OK


def test_output_of_each_step(run, folder, define, snapshot):
    shown = [
        run('validate', folder).out,
        run('plan', folder).out,
        run('publish', folder, '--expect-generation', '0').out,
        run('publish', folder).out,
        run('plan', folder).out,
    ]
    define(model=MODEL.replace('9', '8'))
    shown.extend((
        run('plan', folder).out,
        run('plan', folder, '--format', 'json').out,
        run('publish', folder, '--format', 'json').out,
        run('publish', folder, '--expect-generation', '1').out,
    ))
    assert [part.replace(folder, '') for part in shown] == snapshot


def test_publish_conflict_names_the_other_publisher(run, folder, define):
    run('publish', folder, '--publisher', 'dawit')
    define(other='engine_orders: [{model: m, checks_fencing: true}]')
    ended = run('publish', folder, '--expect-generation', '0')
    assert ended.status is ExitStatus.CONFLICT
    assert "'dawit'" in ended.err
    assert '--expect-generation 1' in ended.err


def test_unreachable_platform_has_its_own_exit_status(run, folder, store):
    store.failing_reads = 1
    ended = run('publish', folder)
    assert ended.status is ExitStatus.UNAVAILABLE
    assert ended.err.startswith('store_unavailable: ')


@pytest.mark.parametrize(('live', 'reports', 'status', 'part'), ROLLOUTS)
def test_status_reports_rollout_or_instances_behind(
    run, folder, store, live, reports, status, part
):
    run('publish', folder)
    for name in live:
        store.put('instances', name, {'role': 'entry'})
    store.put('instances', 'engine-1', {'role': 'endpoint'})
    for name, (generation, age_s) in reports.items():
        body = {'generation': generation, 'reported_at': NOW - age_s}
        store.put('instancestatuses', name, body)
    ended = run('status')
    assert (ended.status, part in ended.out) == (status, True)


def fetch_status(address, path, timeout_s):
    """Answers for port 1; any other instance is unreachable."""
    if address.port == 1:
        return {'instance': 'a', 'data_centre': 'bole', 'generation': 4}
    raise InstanceUnreachableError('Gone.', remedy='Look.')


def test_status_queries_instances(run):
    asked = ('status', '--instances', '127.0.0.1:1')
    assert run(*asked, fetch_json=fetch_status).status is ExitStatus.OK
    both = run(
        'status',
        '--instances',
        '127.0.0.1:1,127.0.0.1:2',
        '--format',
        'json',
        fetch_json=fetch_status,
    )
    assert both.status is ExitStatus.ERROR
    assert json.loads(both.out)['behind'][0]['problem'] == 'Gone.'


def test_hash_token_reads_standard_input(run):
    ended = run('hash-token', stdin='demo-ledger-token\n')
    assert ended.out.strip() == hash_token('demo-ledger-token')


def test_help_lists_every_command(run):
    ended = run('--help')
    assert ended.status is ExitStatus.OK
    assert all(name in ended.out for name in cli.COMMANDS)
    for name in cli.COMMANDS:
        assert 'Example: cactusledge' in run(name, '--help').out


def test_an_unexpected_error_is_reported_as_internal(run, monkeypatch):
    failing = SimpleNamespace(command=lambda: {}['missing'])
    monkeypatch.setattr(cli, 'import_module', lambda path: failing)
    ended = run('validate')
    assert ended.status is ExitStatus.ERROR
    assert 'internal: ' in ended.err


def test_the_reference_page_is_up_to_date(run, examples):
    page = examples.parent / 'docs/operators/settings.md'
    assert page.read_text(encoding='utf-8') == reference_page()
    assert run('settings-reference').out == reference_page()


def test_status_waits_for_a_report(run, folder, store, env):
    run('publish', folder)
    body = {'generation': 1, 'reported_at': NOW}
    waited = run(
        'status',
        '--wait-s',
        '9',
        sleep=lambda pause_s: store.put('instancestatuses', 'a', body),
    )
    assert waited.status is ExitStatus.OK


def test_version_is_printed(run):
    assert run('--version').out == f'cactusledge {__version__}\n'

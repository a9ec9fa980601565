"""Tests of the commands `call` and `history` against a caller API."""

import io
import json

import pytest

from cactusledge.core import main
from cactusledge.environment import Environment
from cactusledge.models import Outcome
from cactusledge.programs.errors import no_such_program_error
from cactusledge.status import ExitStatus
from standins.ports import LOOPBACK
from tests.api_support import TOKEN, port, programs  # ruff: ignore[unused-import] - fixtures

PROGRAM_ID = 'bole-0.ab'


@pytest.fixture
def run(port):  # ruff: ignore[redefined-while-unused] - the fixture above
    def command(*args, token=TOKEN):
        env = Environment(
            io.StringIO(),
            io.StringIO(),
            io.StringIO(),
            {'CACTUSLEDGE_TOKEN': token},
        )
        status = main([*args, '--api', f'{LOOPBACK}:{port}'], env)
        return status, env.stdout.getvalue(), env.stderr.getvalue()

    return command


def test_call_opens_a_program_and_streams_the_answer(run):
    status, output, _ = run('call', 'open:itinerary', 'Plan Tuesday.')
    assert status is ExitStatus.OK
    assert output == f'program {PROGRAM_ID}\na\nRAN, 3 units\n'


@pytest.mark.parametrize(
    ('outcome', 'status'),
    [
        (Outcome.RAN, ExitStatus.OK),
        (Outcome.NOT_RUN, ExitStatus.REFUSED),
        (Outcome.UNKNOWN, ExitStatus.UNKNOWN_OUTCOME),
    ],
)
def test_exit_status_matches_the_outcome(run, programs, outcome, status):  # ruff: ignore[redefined-while-unused]
    programs.answer = programs.answer._replace(outcome=outcome)
    args = ('--service', 'booking/confirm', '--arguments', '{"slot": 3}')
    found, output, _ = run('call', PROGRAM_ID, *args, '--format', 'json')
    assert (found, json.loads(output)['outcome']) == (status, outcome)


def test_history_lists_the_calls(run):
    status, output, _ = run('history', PROGRAM_ID)
    assert status is ExitStatus.OK
    assert output.split() == [
        '1',
        'model',
        'booking-agent/chat',
        'RAN',
        '3',
        'units',
    ]


def test_errors_start_with_their_code(run, programs):  # ruff: ignore[redefined-while-unused]
    programs.error = no_such_program_error(PROGRAM_ID)
    status, _, errors = run('history', PROGRAM_ID)
    assert status is not ExitStatus.OK
    assert errors.startswith('not_found: There is no program')
    status, _, errors = run('history', PROGRAM_ID, token='other')
    assert status is ExitStatus.REFUSED
    assert errors.startswith('unauthorized: ')


@pytest.mark.parametrize('arguments', ['{', '[1]'])
def test_arguments_other_than_an_object_are_refused(run, arguments):
    args = ('--service', 'booking/confirm', '--arguments', arguments)
    status, _, errors = run('call', PROGRAM_ID, *args)
    assert status is ExitStatus.USAGE
    assert errors.startswith('bad_request: --arguments')

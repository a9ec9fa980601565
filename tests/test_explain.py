"""The `explain` command, on log lines of requests that failed."""

import io
import json

import pytest

from cactusledge import core
from cactusledge.environment import Environment
from cactusledge.status import ExitStatus


def line(event, instance='front-1', **fields):
    return json.dumps({
        'event': event,
        'instance': instance,
        'level': 'info',
        'timestamp': '2026-01-01T00:00:00Z',
        **fields,
    })


REFUSED = (
    line('records: quorum lost'),
    line('gateway: tokens asked for', request_id='r1', verdict='unsure'),
    line(
        'gateway: request ended',
        request_id='r1',
        status=503,
        reason='unsure: no quorum connected',
    ),
)
ANSWER_LOST = (
    line('gateway: request sent', request_id='r1', endpoint_id='e1'),
    line('gateway: exchange failed', request_id='r1', end='broken'),
    line(
        'gateway: request ended',
        request_id='r1',
        status=502,
        reason='answer broken',
    ),
)
ENDPOINT_FAILED = (
    line(
        'gateway: request ended',
        request_id='r1',
        status=500,
        reason='answered',
        endpoint_id='e1',
    ),
)
OUT_OF_BUDGET = (
    line(
        'gateway: tokens asked for',
        request_id='r1',
        verdict='spent',
        tokens=588,
        budget=4704,
    ),
    line(
        'gateway: request ended',
        request_id='r1',
        status=402,
        reason='spent: 4 of 4 stores',
    ),
)


@pytest.fixture
def explain(tmp_path):
    def run(lines, *args):
        path = tmp_path / 'front.log'
        path.write_text('\n'.join(lines))
        out = io.StringIO()
        env = Environment(io.StringIO(), out, io.StringIO(), {})
        status = core.main(['explain', 'r1', str(path), *args], env)
        return status, out.getvalue()

    return run


@pytest.mark.parametrize(
    ('lines', 'reason'),
    [
        (REFUSED, 'unsure: no quorum connected'),
        (ANSWER_LOST, 'answer broken'),
        (OUT_OF_BUDGET, 'spent: 4 of 4 stores'),
        (ENDPOINT_FAILED, 'status 500 from endpoint e1'),
    ],
)
def test_decision_that_ended_the_request_is_named(explain, lines, reason):
    other = line('gateway: request ended', request_id='r2', reason='other')
    mixed = [*lines[:1], other, 'not a line', *lines[1:]]
    status, text = explain(mixed)
    assert status is ExitStatus.OK
    assert text.splitlines()[-1] == f'Ended by: {reason}'
    assert 'r2' not in text


def test_earlier_events_of_the_instance_are_shown(explain):
    _, text = explain(REFUSED)
    assert text.index('quorum lost') < text.index('tokens asked for')


def test_clock_jump_does_not_reorder_the_lines_of_an_instance(explain):
    late = line(
        'gateway: request sent', request_id='r1', timestamp='2031-01-01'
    )
    _, text = explain([late, *REFUSED])
    assert text.index('request sent') < text.index('request ended')


def test_lines_with_a_prefix_are_read(explain):
    status, _ = explain([f'  1.2 front-1 {text}' for text in REFUSED])
    assert status is ExitStatus.OK


def test_json_holds_the_decision(explain):
    _, text = explain(OUT_OF_BUDGET, '--format', 'json')
    assert json.loads(text)['decision']['status'] == 402


def test_unknown_request_gives_a_remedy(explain):
    status, text = explain([line('gateway: started')])
    assert status is ExitStatus.ERROR
    assert 'Give the logs of all instances' in text

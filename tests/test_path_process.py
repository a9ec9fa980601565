"""A program from opening to release, through separate processes."""

import pytest

from cactusledge.cli.api_client import ApiClient
from cactusledge.models import Address
from standins.deployment import ROOT, Deployment, wait_until
from standins.ports import LOOPBACK

pytestmark = pytest.mark.process

TOKEN = 'demo-showroom-token'


@pytest.fixture
def path(tmp_path):
    with Deployment(tmp_path) as deployed:
        deployed.start_platform()
        deployed.start_engine('engine-1', 'booking-agent', 'bole')
        deployed.start_service(
            'booking-1',
            'booking',
            'bole',
            '--operation=confirm={"idempotent": false}',
        )
        deployed.publish(ROOT / 'examples' / 'showroom')
        deployed.start_entry('entry-1', 'bole')
        deployed.wait_ready('entry-1')
        yield deployed


@pytest.fixture
def api(path):
    return ApiClient(Address(LOOPBACK, path.port('entry-1')), TOKEN)


def open_program(api):
    body = {'definition': 'itinerary', 'key': 'open-1'}
    return api.post('/v1/programs', body)['program_id']


def model_call(seq, stream=False):
    return {
        'seq': seq,
        'key': f'call-{seq}',
        'kind': 'model',
        'messages': [{'role': 'user', 'content': 'Plan Tuesday.'}],
        'max_output_tokens': 4,
        'stream': stream,
    }


CONFIRM = {
    'seq': 2,
    'key': 'call-2',
    'kind': 'service',
    'target': 'booking',
    'operation': 'confirm',
    'arguments': {'slot': 3},
}


def test_program_runs_from_opening_to_release(path, api):
    program_id = open_program(api)
    calls = f'/v1/programs/{program_id}/calls'
    events = list(api.stream(calls, model_call(1, stream=True)))
    text = ''.join(event['text'] for name, event in events if name == 'text')
    assert events[-1][1]['body']['text'] == text
    first = api.post(calls, CONFIRM)
    repeat = api.post(calls, CONFIRM)
    assert (first['outcome'], repeat) == ('RAN', first)
    history = api.get(f'/v1/programs/{program_id}/history')['calls']
    assert [call['seq'] for call in history] == [1, 2]
    assert len(path.get('booking-1', '/records')['executions']) == 1
    assert path.get('engine-1', '/records')['cache']
    view = api.post(f'/v1/programs/{program_id}/end', {})
    assert view['ended']
    wait_until(
        lambda: not path.get('engine-1', '/records')['cache'],
        'the cache released',
    )


def test_instance_stops_with_status_zero(path):
    assert path.stop('entry-1') == 0


def test_address_in_use_is_reported_with_a_remedy(path):
    settings = path.settings_of('entry-1')
    taken = settings['listen']['peers']
    path.start_entry('entry-2', 'bole', listen={'peers': taken})
    wait_until(lambda: not path.is_alive('entry-2'), 'the process ended')
    assert 'Choose another port' in path.log_of('entry-2')

"""One trace across all processes that handle a call."""

import json

import pytest
from urllib3 import PoolManager

from standins.deployment import ROOT, Deployment, wait_until
from standins.ports import LOOPBACK

pytestmark = pytest.mark.process

TRACE_ID = 'ab' * 16
HEADERS = {
    'Authorization': 'Bearer demo-showroom-token',
    'traceparent': f'00-{TRACE_ID}-{"cd" * 8}-01',
}
ENTRIES = ('entry-1', 'entry-2')


@pytest.fixture
def deployed(tmp_path):
    with Deployment(tmp_path) as started:
        started.start_platform()
        started.start_engine('engine-1', 'booking-agent', 'bole')
        started.publish(ROOT / 'examples' / 'showroom')
        seeds = []
        for name in ENTRIES:
            traces = {
                'exporter': 'jsonl',
                'path': str(tmp_path / f'{name}.spans'),
            }
            started.start_entry(name, 'bole', seeds, traces=traces)
            seeds = [started.peers_port('entry-1')]
        started.wait_ready(*ENTRIES)
        wait_until(lambda: all_know_a_peer(started), 'a second instance')
        yield started


def all_know_a_peer(started):
    return all(started.get(one, '/status')['peers'] for one in ENTRIES)


def spans_of(path):
    lines = path.read_text().splitlines()
    spans = [json.loads(line) for line in lines]
    return [span for span in spans if TRACE_ID in span['context']['trace_id']]


def test_trace_reaches_the_driver_and_the_engine(deployed, tmp_path):
    pool = PoolManager(retries=False, headers=HEADERS)
    base = f'http://{LOOPBACK}:{deployed.port("entry-1")}/v1/programs'
    opened = pool.request(
        'POST', base, json={'definition': 'itinerary', 'key': 'k'}
    ).json()
    log = opened['program_id'].rpartition('.')[0]
    driver = next(
        name for name in ENTRIES if log in deployed.get(name, '/status')['logs']
    )
    other = next(name for name in ENTRIES if name != driver)
    url = f'http://{LOOPBACK}:{deployed.port(other)}/v1/programs'
    body = {
        'seq': 1,
        'key': 'c',
        'kind': 'model',
        'messages': [{'role': 'user', 'content': 'Plan.'}],
        'max_output_tokens': 2,
    }
    answer = pool.request(
        'POST', f'{url}/{opened["program_id"]}/calls', json=body
    ).json()
    assert answer['outcome'] == 'RAN'
    requests = deployed.get('engine-1', '/records')['requests']
    assert TRACE_ID in requests[0]['traceparent']
    statuses = [deployed.stop(entry) for entry in ENTRIES]
    assert statuses == [0, 0]
    hops = {
        role: {span['name'].split('/')[-1] for span in spans_of(path)}
        for role, path in (
            ('api', tmp_path / f'{other}.spans'),
            ('driver', tmp_path / f'{driver}.spans'),
        )
    }
    assert 'calls' in hops['api']
    assert {'forwarded call', 'model call', 'engine request'} <= hops['driver']

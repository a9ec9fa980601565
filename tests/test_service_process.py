"""The stand-ins as processes: port file, registration, faults over HTTP."""

import json
import subprocess
import sys
import time
from functools import partial

import pytest
import urllib3

from standins.http import Reply, Request, Route, Router, json_reply
from standins.service_register import Registrar, Registration
from standins.service_server import FaultyServer

START_LIMIT_S = 20
POLL_S = 0.02
PATH = '/apis/cactusledge/v1/instances'
COMMANDS = (
    ('standins.engine', '--model', 'agent', '--max-running', '4'),
    (
        'standins.service',
        '--service',
        'agent',
        '--operation',
        'hold={"idempotent": false}',
    ),
)
ENTRY = Registration('e-1', 'model', 'agent', '127.0.0.1:1', 'bole', 'a')


class InstanceList:
    """The part of the platform's API that a registration needs."""

    def __init__(self):
        self.objects = {}
        self.conflicts = 0

    def create(self, request: Request) -> Reply:
        """Creates an entry, once."""
        return self._write(request, '', '')

    def update(self, request: Request, name: str) -> Reply:
        """Replaces an entry of the right version."""
        version = request.document()['metadata']['resourceVersion']
        return self._write(request, name, version)

    def read(self, _request: Request, name: str) -> Reply:
        """Returns an entry."""
        return json_reply(200, self.objects[name])

    def _write(self, request, name, version):
        document = request.document()
        name = name or document['metadata']['name']
        found = self.objects.get(name, {'metadata': {'resourceVersion': ''}})
        self.conflicts -= 1
        if self.conflicts >= 0 or (
            found['metadata']['resourceVersion'] != version
        ):
            return json_reply(409, {})
        document['metadata']['resourceVersion'] = f'{version}1'
        self.objects[name] = document
        return json_reply(200, document)


@pytest.fixture(name='instances')
def instance_list():
    return InstanceList()


@pytest.fixture(name='platform')
def platform_address(instances):
    router = Router(
        Route('POST', PATH, instances.create),
        Route('GET', f'{PATH}/(.+)', instances.read),
        Route('PUT', f'{PATH}/(.+)', instances.update),
    )
    server = FaultyServer(router, ('127.0.0.1', 0), 2)
    server.start()
    yield f'127.0.0.1:{server.port}'
    server.stop()


def test_registration_is_created_then_updated(instances, platform):
    registrar = Registrar(platform)
    assert registrar.write(ENTRY)
    assert registrar.write(ENTRY._replace(leaving=True))
    assert instances.objects['e-1']['spec'] == {
        'role': 'endpoint',
        'kind': 'model',
        'service': 'agent',
        'address': '127.0.0.1:1',
        'data_centre': 'bole',
        'incarnation': 'a',
        'leaving': True,
    }


def test_registration_that_conflicts_is_repeated(instances, platform):
    registrar = Registrar(platform)
    assert registrar.write(ENTRY)
    instances.conflicts = 2
    assert not registrar.write(ENTRY)
    assert registrar.write(ENTRY)


def wait_for(ready):
    limit_s = time.monotonic() + START_LIMIT_S
    while not ready():
        assert time.monotonic() < limit_s, 'it did not come about in time'
        time.sleep(POLL_S)


def has_entry(instances, *, leaving):
    entry = instances.objects.get('e-1')
    return entry is not None and entry['spec']['leaving'] is leaving


@pytest.fixture(name='process')
def standin_process(request, tmp_path, platform):
    command = (
        sys.executable,
        '-m',
        *request.param,
        '--listen',
        '127.0.0.1:0',
        '--port-file',
        str(tmp_path / 'port'),
        '--name',
        'e-1',
        '--data-centre',
        'bole',
        '--register',
        platform,
    )
    with subprocess.Popen(command) as process:
        wait_for((tmp_path / 'port').exists)
        yield json.loads((tmp_path / 'port').read_text())['port']
        process.terminate()
        assert process.wait(START_LIMIT_S) == 0


@pytest.mark.process
@pytest.mark.parametrize('process', COMMANDS, indirect=True, ids=str)
def test_process_registers_fails_on_demand_and_leaves(process, instances):
    wait_for(partial(has_entry, instances, leaving=False))
    spec = instances.objects['e-1']['spec']
    assert spec['address'] == f'127.0.0.1:{process}'
    http = urllib3.PoolManager(retries=False, timeout=5)
    base = f'http://127.0.0.1:{process}'
    faults = {'faults': [{'kind': 'reset_before_reading', 'match': '/v1'}]}
    http.request('PUT', f'{base}/faults', json=faults)
    with pytest.raises(urllib3.exceptions.ProtocolError):
        http.request('GET', f'{base}/v1/state')
    http.request('PUT', f'{base}/faults', json={'faults': []})
    records = http.request('GET', f'{base}/records').json()
    assert records['incarnation'] == spec['incarnation']
    leave = '/v1/leave' if spec['kind'] == 'model' else '/leave'
    assert http.request('POST', f'{base}{leave}').status == 200
    wait_for(partial(has_entry, instances, leaving=True))


def test_refusal_ends_by_itself(platform, instances):
    http = urllib3.PoolManager(retries=False, timeout=5)
    faults = {'faults': [{'kind': 'refuse', 'parameter': 0.2}]}
    http.request('PUT', f'http://{platform}/faults', json=faults)
    registrar = Registrar(platform)
    assert not registrar.write(ENTRY)
    wait_for(partial(registrar.write, ENTRY))
    assert 'e-1' in instances.objects

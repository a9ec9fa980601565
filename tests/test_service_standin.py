"""The plain service's stand-in keeps its own protocol."""

import time

import pytest

from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.service import ServiceClient
from cactusledge.models import Address, CallKind, Endpoint, Outcome
from standins.service import Operation, ServiceSettings, ServiceStandin

OPERATIONS = {
    'hold': Operation(idempotent=False, cost=3, status_query=True),
    'notice': Operation(idempotent=False, dedupe=True),
}


@pytest.fixture(name='service')
def running_service():
    standin = ServiceStandin(
        ServiceSettings('s-1', 'booking', operations=OPERATIONS),
    )
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture(name='replica')
def service_replica(service):
    address = Address('127.0.0.1', service.port)
    return Endpoint('s-1', 'booking', CallKind.SERVICE, address, 'dc-1')


@pytest.fixture(name='client')
def service_client():
    pools = ConnectionPools()
    yield ServiceClient(pools)
    pools.close()


def call(client, replica, operation, key):
    return client.call(
        replica,
        operation,
        {'slot': 9},
        idempotent=False,
        key=key,
        deadline_s=time.monotonic() + 5,
        headers={'X-Program-Id': 'p-1', 'X-Sequence': '4', 'traceparent': 't'},
    )


def test_call_is_executed_and_recorded(client, replica, service):
    answer = call(client, replica, 'hold', 'k-1')
    assert answer == (
        200,
        {'operation': 'hold', 'cost': 3, 'echo': {'slot': 9}},
    )
    assert service.records()['executions'] == [
        {
            'operation': 'hold',
            'key': 'k-1',
            'program': 'p-1',
            'seq': '4',
            'traceparent': 't',
        },
    ]


def test_status_query_tells_run_from_not_run(client, replica):
    call(client, replica, 'hold', 'k-1')
    deadline_s = time.monotonic() + 5
    found = [
        client.query_status(replica, operation, key, deadline_s=deadline_s)
        for operation, key in (
            ('hold', 'k-1'),
            ('hold', 'k-2'),
            ('notice', 'k-1'),
        )
    ]
    assert found == [Outcome.RAN, Outcome.NOT_RUN, Outcome.UNKNOWN]


def test_dedupe_runs_a_repeated_key_once(client, replica, service):
    first = call(client, replica, 'notice', 'k-1')
    again = call(client, replica, 'notice', 'k-1')
    assert first == again
    assert len(service.records()['executions']) == 1

"""Contract of plain services: fault, outcome, executions."""

import time
from types import MappingProxyType

import pytest

from cactusledge.endpoints.errors import (
    AnswerMismatchError,
    EndpointDeadlineError,
    EndpointError,
    EndpointFailedError,
    EndpointNotRunError,
    EndpointRefusedError,
    EndpointSilentError,
)
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.service import ServiceClient, ServiceLimits
from cactusledge.models import Address, CallKind, Endpoint, Outcome
from standins.service import Operation, ServiceSettings, ServiceStandin
from standins.service_faults import Fault, FaultKind

OPERATIONS = MappingProxyType({
    'hold': Operation(idempotent=False, cost=3, status_query=True),
    'notice': Operation(idempotent=False, dedupe=True),
})
LIMITS = ServiceLimits(connect_timeout_s=0.5, read_timeout_s=0.2)


@pytest.fixture(name='service')
def running_service():
    standin = ServiceStandin(
        ServiceSettings('s-1', 'booking', threads=4, operations=OPERATIONS),
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
    yield ServiceClient(pools, LIMITS)
    pools.close()


def call(client, replica, operation, key, *, idempotent=False):
    return client.call(
        replica,
        operation,
        {'slot': 9},
        idempotent=idempotent,
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


FAILURES = (
    (FaultKind.REFUSE, EndpointRefusedError, 0),
    (FaultKind.RESET_BEFORE_READING, EndpointFailedError, 0),
    (FaultKind.RESET_AFTER_EFFECT, EndpointFailedError, 1),
    (FaultKind.HALF_ANSWER, EndpointFailedError, 1),
    (FaultKind.HANG, EndpointSilentError, 0),
    (FaultKind.HANG_AFTER_EFFECT, EndpointSilentError, 1),
    (FaultKind.ERROR_AFTER_EFFECT, EndpointFailedError, 1),
    (FaultKind.ERROR_NOT_RUN, EndpointNotRunError, 0),
    (FaultKind.CROSSED, AnswerMismatchError, 1),
)
OUTCOMES = MappingProxyType({
    EndpointRefusedError: Outcome.NOT_RUN,
    EndpointNotRunError: Outcome.NOT_RUN,
    EndpointFailedError: Outcome.UNKNOWN,
    EndpointSilentError: Outcome.UNKNOWN,
    EndpointDeadlineError: Outcome.UNKNOWN,
    AnswerMismatchError: Outcome.UNKNOWN,
})


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize(('kind', 'error', 'executions'), FAILURES)
def test_fault_gives_its_outcome_and_at_most_one_run(
    client, replica, service, kind, error, executions, idempotent
):
    service.set_faults(Fault(kind))
    with pytest.raises(EndpointError) as caught:
        call(client, replica, 'hold', 'k-1', idempotent=idempotent)
    assert (type(caught.value), caught.value.outcome) == (
        error,
        OUTCOMES[error],
    )
    assert len(service.executions) == executions
    service.set_faults()
    assert call(client, replica, 'hold', 'k-2').status == 200


def test_slow_answer_is_whole(client, replica, service):
    service.set_faults(Fault(FaultKind.SLOW, parameter=0.05))
    assert call(client, replica, 'hold', 'k-1').status == 200


@pytest.mark.parametrize('left_s', [-1, 0.05])
def test_deadline_is_kept(client, replica, service, left_s):
    service.set_faults(Fault(FaultKind.HANG))
    expected = EndpointDeadlineError if left_s > 0 else EndpointRefusedError
    with pytest.raises(expected):
        client.call(
            replica,
            'hold',
            {},
            idempotent=False,
            key='k-1',
            deadline_s=time.monotonic() + left_s,
            headers={},
        )


def test_silent_connections_are_not_used_twice(client, replica, service):
    call(client, replica, 'hold', 'k-1', idempotent=True)
    service.set_faults(Fault(FaultKind.SILENCE_OPEN))
    assert call(client, replica, 'hold', 'k-2').status == 200
    with pytest.raises(EndpointSilentError):
        call(client, replica, 'hold', 'k-3', idempotent=True)
    assert call(client, replica, 'hold', 'k-4', idempotent=True).status == 200
    assert [run['key'] for run in service.executions] == ['k-1', 'k-2', 'k-4']


def test_closed_pooled_connection_is_replaced(client, replica, service):
    call(client, replica, 'hold', 'k-1', idempotent=True)
    service.stop()
    listen = ('127.0.0.1', service.port)
    successor = ServiceStandin(
        service.cfg._replace(listen=listen, threads=4),
    )
    successor.start()
    answer = call(client, replica, 'hold', 'k-2', idempotent=True)
    successor.stop()
    assert answer.status == 200


def test_leaving_service_refuses_and_says_so(client, replica, service):
    service.leave()
    with pytest.raises(EndpointNotRunError) as caught:
        call(client, replica, 'hold', 'k-1')
    assert caught.value.leaving
    assert not service.executions

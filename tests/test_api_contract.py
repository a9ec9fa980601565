"""Caller API: OpenAPI document, error responses and request limits."""

import json
import socket

import pytest
from openapi_spec_validator import validate
from urllib3 import PoolManager

from cactusledge.api.app import ROUTES
from cactusledge.models import Outcome
from cactusledge.programs.errors import (
    no_such_program_error,
    platform_down_error,
)
from standins.ports import LOOPBACK
from tests.api_support import OPENAPI, TOKEN


@pytest.fixture
def send(port):
    pool = PoolManager(retries=False)

    def request(method, path, body=None, token=TOKEN):
        return pool.request(
            method,
            f'http://{LOOPBACK}:{port}{path}',
            body=body if isinstance(body, bytes) else json.dumps(body or {}),
            headers={'Authorization': f'Bearer {token}'},
        )

    return request


OPEN = {'definition': 'itinerary', 'key': 'k'}
CALL = {'seq': 1, 'key': 'k', 'kind': 'model', 'messages': [{'role': 'user'}]}
CALLS = '/v1/programs/bole-0.ab/calls'


def test_openapi_document_is_valid_and_lists_every_route():
    document = json.loads(OPENAPI)
    validate(document)
    described = {
        (method.upper(), path)
        for path, methods in document['paths'].items()
        for method in methods
    }
    served = {
        (method, path.replace('(?P<program_id>[^/]+)', '{program_id}'))
        for method, path in ROUTES
    }
    assert described == served


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status'),
    [
        ('POST', '/v1/programs', OPEN, 201),
        ('POST', CALLS, CALL, 200),
        ('GET', '/v1/programs/bole-0.ab', None, 200),
        ('GET', '/v1/programs/bole-0.ab/history', None, 200),
        ('POST', '/v1/programs/bole-0.ab/end', {}, 200),
        ('GET', '/livez', None, 200),
        ('GET', '/readyz', None, 503),
        ('GET', '/status', None, 200),
        ('GET', '/metrics', None, 200),
        ('GET', '/openapi.json', None, 200),
        ('POST', '/v1/programs', b'{', 400),
        ('POST', '/v1/programs', {**OPEN, 'budgett': 1}, 400),
        ('POST', CALLS, {**CALL, 'seq': 0}, 400),
        ('POST', CALLS, {**CALL, 'seq': '1'}, 400),
        ('POST', '/v1/programs', b'x' * 2001, 413),
        ('GET', '/v1/unknown', None, 404),
        ('PUT', '/v1/programs', OPEN, 405),
    ],
)
def test_request_returns_expected_status(send, method, path, body, status):
    assert send(method, path, body).status == status


def test_unknown_token_is_rejected(send):
    response = send('POST', '/v1/programs', OPEN, token='other')
    assert response.status == 401
    assert response.json()['error']['outcome'] == 'NOT_RUN'


@pytest.mark.parametrize(
    ('error', 'status', 'retry'),
    [
        (no_such_program_error('bole-0.ab'), 404, None),
        (platform_down_error(), 503, '5'),
        (RuntimeError('fault'), 500, '1'),
    ],
)
def test_error_response_has_status_remedy_and_retry_after(
    send, programs, error, status, retry
):
    programs.error = error
    response = send('POST', CALLS, CALL)
    assert response.status == status
    assert response.headers.get('Retry-After') == retry
    assert response.json()['error']['remedy']


@pytest.mark.parametrize(
    ('code', 'outcome', 'status'),
    [
        ('', Outcome.RAN, 200),
        ('overloaded', Outcome.NOT_RUN, 429),
        ('outcome_unknown', Outcome.UNKNOWN, 502),
        ('deadline_exceeded', Outcome.UNKNOWN, 504),
    ],
)
def test_answer_response_reports_outcome(send, programs, code, outcome, status):
    programs.answer = programs.answer._replace(
        code=code,
        outcome=outcome,
        retry_after_s=2.5,
    )
    response = send('POST', CALLS, CALL)
    assert response.status == status
    assert response.json()['outcome'] == outcome
    assert response.headers['Retry-After'] == '3'


def test_stream_ends_with_answer_event(send):
    response = send('POST', CALLS, {**CALL, 'stream': True})
    events = response.data.decode().strip().split('\n\n')
    assert events[-1].startswith('event: answer')
    assert 'event: text' in events[-2]


def raw_exchange(port, data):
    with socket.create_connection((LOOPBACK, port), timeout=5) as conn:
        conn.sendall(data)
        return conn.recv(4096).decode()


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'NONSENSE\r\n\r\n', ' 400 '),
        (b'GET /livez HTTP/1.1\r\nA: %b\r\n\r\n' % (b'x' * 8000), ' 413 '),
        (
            b'POST /v1/programs HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n',
            ' 408 ',
        ),
    ],
)
def test_malformed_large_and_slow_requests_do_not_affect_others(
    port, send, data, status
):
    assert status in raw_exchange(port, data)
    assert send('GET', '/livez').status == 200

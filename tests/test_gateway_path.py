"""End-to-end tests of the gateway with callers and faulty endpoints."""

import asyncio

import pytest
from structlog.testing import capture_logs

from tests.gateway_endpoints import (
    SEAL,
    Endpoint,
    answered,
    field,
    overloaded,
    reply_of,
)
from tests.gateway_support import run_scenario

pytestmark = pytest.mark.process

OTHER_ID = 'X-Cactusledge-Request-Id: other'


def truncated(head):
    return answered(head)[:-2]


def without_seal(head):
    return reply_of(200, head, body=b'done')


def of_another_request(head):
    return answered(head).replace(b'Id: r1', b'Id: r0')


def encoded(head):
    return reply_of(200, head, SEAL, 'Content-Encoding: gzip', body=b'done')


def not_http(head):
    return b'\x00\x01 not an answer\r\n\r\n'


def unavailable_but_maybe_run(head):
    return reply_of(503, head, SEAL)


def empty_response(head):
    return b''


BROKEN = (
    truncated,
    without_seal,
    of_another_request,
    encoded,
    not_http,
    unavailable_but_maybe_run,
    empty_response,
)


def test_response_is_forwarded_unchanged():
    async def scenario(harness):
        caller = await harness.call('/once/x?q=1', body=b'ask')
        status, head, body = await caller.read()
        assert (status, body) == (200, b'done')
        assert field(head, 'x-cactusledge-response-seal') == 's'
        sent, asked = endpoint.requests[0]
        assert sent[0] == 'POST /once/x?q=1 HTTP/1.1'
        assert field(sent, 'x-cactusledge-expect-instance') == 'e0'
        assert asked == b'ask'

    endpoint = Endpoint(answered)
    run_scenario(scenario, endpoint)


@pytest.mark.parametrize('reply', BROKEN)
def test_broken_response_to_a_once_call_is_bad_gateway(reply):
    async def scenario(harness):
        caller = await harness.call('/once/x')
        status, head, body = await caller.read()
        assert (status, body) == (502, b'')
        assert not field(head, 'x-cactusledge-response-seal')
        assert len(first.requests) == 1
        assert not second.requests

    first, second = Endpoint(reply, closes=True), Endpoint(answered)
    run_scenario(scenario, first, second)


def test_log_line_of_a_broken_response_names_the_endpoint():
    async def scenario(harness):
        with capture_logs() as lines:
            caller = await harness.call('/once/x')
            await caller.read()
            closing = lines[-1]
            assert closing['event'] == 'gateway: request ended'
            assert closing['endpoint_id'] == 'e0'
            assert closing['attempts'] == 1
            assert closing['log_level'] == 'warning'

    run_scenario(scenario, Endpoint(BROKEN[0], closes=True))


def test_log_line_of_a_timeout_names_the_endpoint():
    async def scenario(harness):
        with capture_logs() as lines:
            caller = await harness.call('/short/x')
            status, _, _ = await caller.read()
            closing = lines[-1]
            assert status == closing['status'] == 504
            assert closing['reason'] == 'timeout'
            assert closing['endpoint_id'] == 'e0'
            assert closing['attempts'] == 1
            assert closing['first_event_ms'] is None

    run_scenario(scenario, Endpoint(lambda head: None))


@pytest.mark.parametrize('reply', BROKEN)
def test_idempotent_call_is_retried_elsewhere_after_a_broken_response(reply):
    async def scenario(harness):
        caller = await harness.call('/safe/x')
        status, _, body = await caller.read()
        assert (status, body) == (200, b'done')

    run_scenario(scenario, Endpoint(reply, closes=True), Endpoint(answered))


def test_refused_call_goes_to_another_endpoint():
    async def scenario(harness):
        caller = await harness.call('/once/x')
        assert (await caller.read())[0] == 200
        assert len(first.requests) == 1

    first = Endpoint(overloaded)
    run_scenario(scenario, first, Endpoint(answered))


def test_call_refused_by_all_gets_retry_after():
    async def scenario(harness):
        caller = await harness.call('/once/x', 'X-Cactusledge-Deadline-Ms: 300')
        status, head, _ = await caller.read()
        assert status == 503
        assert float(field(head, 'retry-after')) > 0

    run_scenario(scenario, Endpoint(overloaded), Endpoint(overloaded))


def test_refused_call_is_retried_once_the_endpoint_has_capacity():
    refused = []

    def full_at_first(head):
        refused.append(head)
        return overloaded(head) if len(refused) < 3 else answered(head)

    async def scenario(harness):
        caller = await harness.call('/once/x')
        assert (await caller.read())[0] == 200

    run_scenario(scenario, Endpoint(full_at_first))


def test_endpoint_that_refuses_connections_is_skipped():
    async def scenario(harness):
        gone = harness.fleet.replicas.find('e0')
        harness.fleet.replicas.put(gone._replace(port=1))
        caller = await harness.call('/once/x')
        assert (await caller.read())[0] == 200

    with capture_logs() as lines:
        run_scenario(scenario, Endpoint(answered), Endpoint(answered))
        events = [line['event'] for line in lines]
    assert events.count('gateway: endpoint not connected') == 1


@pytest.mark.parametrize('status', [500, 504, 404])
def test_error_status_of_the_endpoint_is_forwarded(status):
    async def scenario(harness):
        caller = await harness.call('/once/x')
        assert (await caller.read())[::2] == (status, b'no')

    run_scenario(
        scenario,
        Endpoint(lambda head: reply_of(status, head, SEAL, body=b'no')),
    )


def test_unsolicited_response_reaches_no_caller():
    async def scenario(harness):
        for _ in range(3):
            caller = await harness.call('/once/x')
            assert (await caller.read())[::2] == (200, b'done')
            await asyncio.sleep(0.02)

    endpoint = Endpoint(lambda head: answered(head) + of_another_request(head))
    run_scenario(scenario, endpoint)


def test_late_response_to_another_request_is_skipped():
    async def scenario(harness):
        caller = await harness.call('/once/x')
        assert (await caller.read())[::2] == (200, b'done')

    late = Endpoint(lambda head: of_another_request(head) + answered(head))
    run_scenario(scenario, late)


def test_route_timeout_is_reported_and_cancels_the_request():
    async def scenario(harness):
        caller = await harness.call('/short/x')
        assert (await caller.read())[0] == 504
        await asyncio.wait_for(silent.left.wait(), 2)

    silent = Endpoint(lambda head: None)
    run_scenario(scenario, silent)


def test_caller_disconnect_cancels_its_request():
    async def scenario(harness):
        caller = await harness.call('/once/x')
        while not silent.requests:
            await asyncio.sleep(0.01)
        caller.writer.close()
        await asyncio.wait_for(silent.left.wait(), 2)

    silent = Endpoint(lambda head: None)
    run_scenario(scenario, silent)


def test_request_inside_a_body_is_not_run():
    async def scenario(harness):
        inner = b'POST /once/evil HTTP/1.1\r\nHost: shop.example\r\n\r\n'
        caller = await harness.call('/once/x', body=inner)
        assert (await caller.read())[0] == 200
        assert [asked for _, asked in endpoint.requests] == [inner]

    endpoint = Endpoint(answered)
    run_scenario(scenario, endpoint)


@pytest.mark.parametrize(
    'header',
    ['Transfer-Encoding: chunked', 'Content-Length: 3'],
)
def test_request_with_two_lengths_is_refused(header):
    async def scenario(harness):
        caller = await harness.call('/once/x', header, body=b'0\r\n\r\n')
        assert (await caller.read())[0] == 400
        assert not endpoint.requests

    endpoint = Endpoint(answered)
    run_scenario(scenario, endpoint)


def test_older_configuration_is_not_applied():
    async def scenario(harness):
        newer = harness.gateway.table.cfg._replace(version=5)
        assert harness.gateway.apply(newer)
        assert not harness.gateway.apply(newer._replace(version=4))

    run_scenario(scenario)


def test_stopping_gateway_serves_and_closes_keep_alive_connections():
    async def scenario(harness):
        harness.gateway.is_closing = True
        caller = await harness.call('/once/x')
        status, head, _ = await caller.read()
        assert (status, field(head, 'connection')) == (200, 'close')
        assert not await caller.read_all()

    run_scenario(scenario, Endpoint(answered))

"""Documents of services that come with neither a length nor chunks."""

import socket
import threading
import time

import pytest

from cactusledge.endpoints.errors import EndpointFailedError
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.service import ServiceClient
from cactusledge.models import Address, CallKind, Endpoint

REQUEST_BYTES = 65536


@pytest.fixture(name='call')
def call_of_a_service_that_sends():
    """Calls a service that answers with the given bytes and closes."""
    listener = socket.create_server(('127.0.0.1', 0))
    pools = ConnectionPools()

    def call(content):
        def answer():
            conn, _ = listener.accept()
            with conn:
                received = b''
                while not received.endswith(b'\r\n\r\n{}'):
                    received += conn.recv(REQUEST_BYTES)
                conn.sendall(content)

        thread = threading.Thread(target=answer)
        thread.start()
        address = Address('127.0.0.1', listener.getsockname()[1])
        return ServiceClient(pools).call(
            Endpoint('s-1', 'booking', CallKind.SERVICE, address, 'dc-1'),
            'count',
            {},
            idempotent=True,
            key='k-1',
            deadline_s=time.monotonic() + 5,
            headers={},
        )

    yield call
    pools.close()
    listener.close()


# A number cut short is still a number: 12 of 120 reached the program.
@pytest.mark.parametrize(
    'content',
    [
        b'HTTP/1.1 200 OK\r\n\r\n12',
        b'HTTP/1.1 200 OK\r\n\r\n{"count": 12',
        b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n12',
    ],
)
def test_document_that_may_be_cut_short_is_no_answer(call, content):
    with pytest.raises(EndpointFailedError):
        call(content)


WHOLE = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: 2\r\n\r\n12'
)


# An answer that broke off in its head reached callers of others as a whole
# one, with an empty body.
@pytest.mark.parametrize('cut', range(WHOLE.index(b'12', 70) + 1))
def test_answer_cut_in_its_head_is_no_answer(call, cut):
    with pytest.raises(EndpointFailedError):
        call(WHOLE[:cut])


@pytest.mark.parametrize(
    ('content', 'body'),
    [
        (b'HTTP/1.1 200 OK\r\n\r\n{"count": 12}', {'count': 12}),
        (b'HTTP/1.1 200 OK\r\n\r\n"12"', '12'),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n12', 12),
    ],
)
def test_document_that_shows_its_end_is_an_answer(call, content, body):
    assert call(content).body == body

"""Endpoints of the own interface that send bytes without end.

The pattern: an endpoint in trouble sends bytes that are no answer, in a head or
a body, until its caller closes the connection.
"""

import itertools
import socket
import threading
import time
from contextlib import suppress

import pytest

from cactusledge.endpoints.errors import EndpointFailedError
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.service import ServiceClient, ServiceLimits
from cactusledge.endpoints.streams import (
    EngineLimits,
    ModelStream,
    StreamRequest,
)
from cactusledge.models import Address, CallKind, Endpoint

DEADLINE_S = 1.0
LATE_S = 0.5  # at most, after the deadline
MOST_SENT = 64 * 1024 * 1024  # bytes; what one such answer may cost in memory
SKIPPED = frozenset(('interim answers', 'trailers', 'comments'))  # not kept
BLOCK = b'x' * 16384
HEAD = b'HTTP/1.1 200 X\r\nContent-Type: application/json\r\n'
CHUNKS = b'%bTransfer-Encoding: chunked\r\n\r\n' % HEAD
FORMS = {
    'status line': (b'HTTP/1.1 200 ', BLOCK),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
    'header lines': (HEAD, b'X-A: %b\r\n' % BLOCK[:100] * 100),
    'one header': (b'%bX-A: ' % HEAD, BLOCK),
    'chunk extension': (b'%b5;x=' % CHUNKS, BLOCK),
    'trailers': (
        b'%b2\r\n{}\r\n0\r\n' % CHUNKS,
        b'X-A: %b\r\n' % BLOCK[:100] * 100,
    ),
    'chunks': (CHUNKS, b'%x\r\n%b\r\n' % (len(BLOCK), BLOCK)),
    'length': (b'%bContent-Length: 99999999999\r\n\r\n' % HEAD, BLOCK),
    'no framing': (b'%b\r\n' % HEAD, BLOCK),
    'comments': (b'%b\r\n' % HEAD, b': %b\n' % BLOCK[:100] * 100),
}


class EndlessServer:
    """Sends a beginning, then the same block until the connection closes."""

    def __init__(self, begin, block):
        self.sent = 0  # bytes, on all connections
        self._begin = begin
        self._block = block
        self._listener = socket.create_server(('127.0.0.1', 0))
        port = self._listener.getsockname()[1]
        self.endpoint = Endpoint(
            'e1', 'svc', CallKind.SERVICE, Address('127.0.0.1', port), 'dc-1'
        )
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        with suppress(OSError):
            for _ in itertools.count():
                conn, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(conn,), daemon=True
                ).start()

    def _serve(self, conn):
        with conn, suppress(OSError):
            conn.settimeout(2 * DEADLINE_S)
            conn.recv(65536)
            conn.sendall(self._begin)
            for _ in itertools.count():
                conn.sendall(self._block)
                self.sent += len(self._block)


@pytest.fixture(name='pools')
def new_pools():
    pools = ConnectionPools()
    yield pools
    pools.close()


@pytest.fixture(name='server')
def endless_server(request):
    server = EndlessServer(*FORMS[request.param])
    yield server
    server.close()


def call_service(pools, endpoint, deadline_s):
    ServiceClient(pools, ServiceLimits(1, 1)).call(
        endpoint,
        'hold',
        {},
        idempotent=True,
        key='k1',
        deadline_s=deadline_s,
        headers={},
    )


def read_stream(pools, endpoint, deadline_s):
    request = StreamRequest(endpoint, 'r1', {}, {}, deadline_s)
    list(ModelStream(request, pools, EngineLimits(1, 1, 1)).events())


# An instance would keep all of the bytes, or never end the call: with its
# memory or its threads gone, the requests of all its callers end.
@pytest.mark.timeout(20)
@pytest.mark.parametrize(
    ('server', 'form'), [(form, form) for form in FORMS], indirect=['server']
)
@pytest.mark.parametrize('send', [call_service, read_stream])
def test_call_with_an_answer_without_end_ends_by_its_deadline(
    pools, server, form, send
):
    failures = []

    def call():
        try:
            send(pools, server.endpoint, time.monotonic() + DEADLINE_S)
        except EndpointFailedError as exc:
            failures.append(exc)

    caller = threading.Thread(target=call, daemon=True)
    caller.start()
    caller.join(DEADLINE_S + LATE_S)
    has_ended = not caller.is_alive()
    server.close()
    assert has_ended
    assert failures
    assert form in SKIPPED or server.sent < MOST_SENT

"""A stop while a request hangs."""

import socket
import threading

import pytest

from cactusledge.api.server import ApiServer
from cactusledge.models import Address
from standins.ports import LOOPBACK, free_port
from tests.api_support import LIMITS

HOUR_S = 3600


@pytest.fixture
def hanging():
    """A server one of whose requests does not end, and that request."""
    entered, released = threading.Event(), threading.Event()

    def app(environ, start_response):
        entered.set()
        released.wait()
        start_response('200 OK', [('Content-Length', '0')])
        return []

    address = Address(LOOPBACK, free_port())
    limits = LIMITS._replace(shutdown_timeout_s=HOUR_S)
    server = ApiServer(address, app, limits)
    server.start()
    with socket.create_connection(address) as caller:
        caller.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        assert entered.wait(5)
        yield server
    released.set()


@pytest.mark.timeout(30)
def test_stop_waits_no_longer_than_it_is_told(hanging):
    hanging.stop(timeout_s=0.2)


@pytest.mark.timeout(30)
def test_stop_whose_time_is_over_does_not_wait(hanging):
    hanging.stop(timeout_s=0)

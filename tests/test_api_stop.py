"""Stopping the server while a request hangs."""

import socket
import threading

import pytest

from cactusledge.api.server import ApiServer
from cactusledge.models import Address
from standins.ports import LOOPBACK, free_port
from tests.api_support import LIMITS

HOUR_S = 3600


@pytest.fixture
def server_with_hung_request():
    """Yields a server with a request in progress that does not end."""
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
def test_stop_returns_after_its_timeout(server_with_hung_request):
    server_with_hung_request.stop(timeout_s=0.2)


@pytest.mark.timeout(30)
def test_stop_with_zero_timeout_returns(server_with_hung_request):
    server_with_hung_request.stop(timeout_s=0)

"""Server for the messages of peers."""

import socket
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import structlog
from thrift.transport import TSocket

from cactusledge.models import Address
from cactusledge.peers import convert
from cactusledge.peers.errors import PeerMessageTooLargeError
from cactusledge.peers.handler import PeerHandler
from cactusledge.peers.thrift import Peers
from cactusledge.peers.transport import (
    MAX_MESSAGE_BYTES,
    RECEIVE_ERRORS,
    SizeLimitedTransport,
    new_protocol,
)

MAX_CONNECTIONS = 256
BACKLOG = 128
IDLE_TIMEOUT_S = 60
STOP_GRACE_S = 1  # default time that `stop` waits for running calls
SERVER_ERRORS = (*RECEIVE_ERRORS, PeerMessageTooLargeError)

log = structlog.get_logger('peers')


class HandlerAdapter:
    """Adapts a PeerHandler to the generated thrift processor."""

    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    def __getattr__(self, method: str) -> Callable[..., Any]:
        """Wraps a handler's method with conversion from and to thrift."""
        return partial(self._call, method)

    def _call(self, method: str, *args: Any) -> Any:
        handle = getattr(self._handler, method)
        received = [convert.from_thrift(arg) for arg in args]
        try:
            return convert.to_thrift(handle(*received))
        except Exception as exc:
            log.info(
                'peers: message handler failed', method=method, error=str(exc)
            )
            raise convert.error_to_thrift(exc) from exc


class PeerServer:
    """Serves each connection in its own thread, up to `max_connections`."""

    def __init__(
        self,
        address: Address,
        handler: PeerHandler,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Does not listen until `start`; port 0 picks a free port."""
        self.address = address
        self._processor = Peers.Processor(HandlerAdapter(handler))
        self._max_connections = max_connections
        self._listener: socket.socket | None = None
        self._threads: dict[threading.Thread, socket.socket] = {}
        self._lock = threading.Lock()
        self._stopping = False

    def start(self) -> None:
        """Listens, and accepts connections in a thread."""
        listener = socket.create_server(
            tuple(self.address),
            backlog=BACKLOG,
            reuse_port=False,
        )
        self.address = Address(*listener.getsockname()[:2])
        self._listener = listener
        self._stopping = False
        thread = threading.Thread(
            target=self._accept,
            args=(listener,),
            name='peers-accept',
            daemon=True,
        )
        thread.start()

    def stop(self, grace_s: float = STOP_GRACE_S) -> None:
        """Closes the listener, waits for running calls, closes connections.

        A message that has arrived is still answered within `grace_s`.
        """
        self._stopping = True
        if self._listener is not None:
            shut_down_and_close(self._listener, socket.SHUT_RDWR)
        with self._lock:
            threads = dict(self._threads)
        for sock in threads.values():
            shut_down(sock, socket.SHUT_RD)
        deadline_s = time.monotonic() + grace_s
        for thread, sock in threads.items():
            thread.join(max(0, deadline_s - time.monotonic()))
            shut_down_and_close(sock, socket.SHUT_RDWR)

    def _accept(self, listener: socket.socket) -> None:
        while not self._stopping:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self._start_connection(sock)

    def _start_connection(self, sock: socket.socket) -> None:
        thread = threading.Thread(
            target=self._serve,
            args=(sock,),
            name='peers-connection',
            daemon=True,
        )
        with self._lock:
            full = len(self._threads) >= self._max_connections
            if not full and not self._stopping:
                self._threads[thread] = sock
                thread.start()
                return
        log.warning('peers: connection refused, limit reached or stopping')
        sock.close()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(IDLE_TIMEOUT_S)
        transport = TSocket.TSocket()
        transport.setHandle(sock)
        protocol = new_protocol(
            SizeLimitedTransport(transport, MAX_MESSAGE_BYTES)
        )
        try:
            while True:
                self._processor.process(protocol, protocol)
        except SERVER_ERRORS as exc:
            log.debug('peers: connection closed', error=str(exc))
        finally:
            sock.close()
            self._remove_thread(threading.current_thread())

    def _remove_thread(self, thread: threading.Thread) -> None:
        with self._lock:
            self._threads.pop(thread, None)


def shut_down(sock: socket.socket, how: int) -> None:
    """Shuts down directions of a socket; ignores a closed socket."""
    try:
        sock.shutdown(how)
    except OSError:
        return


def shut_down_and_close(sock: socket.socket, how: int) -> None:
    """Closes a socket after a shutdown, which wakes threads blocked on it."""
    shut_down(sock, how)
    sock.close()

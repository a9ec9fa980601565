"""Server of the stand-ins: a handler, an address and fault switches."""

import socket
import threading
import weakref
from collections.abc import Iterable
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

from cheroot.server import HTTPServer

from standins.http import (
    Connection,
    Gateway,
    Handler,
    Reply,
    Request,
    json_reply,
)
from standins.service_actions import after_effect, before_effect
from standins.service_faults import (
    CONTROL_PATHS,
    Fault,
    FaultKind,
    FaultSwitches,
    parse_faults,
)

IDLE_LIMIT_S = 60
SELECT_INTERVAL_S = 0.05
STOP_LIMIT_S = 0.2


class _ReusableServer(HTTPServer):
    """Lets a successor listen on the same port at once."""

    @classmethod
    def prepare_socket(cls, *args: Any, **kwargs: Any) -> socket.socket:
        """Returns a socket that may reuse the port of closed connections."""
        listener: socket.socket = super().prepare_socket(*args, **kwargs)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return listener


class FaultyServer:
    """Serves a handler on an address, with fault switches.

    `PUT /faults` sets the switches; it and `/records` never meet a fault.
    """

    def __init__(
        self,
        handler: Handler,
        listen: tuple[str, int],
        threads: int,
    ) -> None:
        """Keeps the handler; `start` begins to listen."""
        self.switches = FaultSwitches()
        self._handler = handler
        self._http: Any = _ReusableServer(listen, Gateway, minthreads=threads)
        self._open: weakref.WeakSet[Connection] = weakref.WeakSet()
        self._refusing = False
        self._lock = threading.Lock()
        self._prepare()

    @property
    def port(self) -> int:
        """The TCP port that it listens on."""
        return int(self._http.bind_addr[1])

    def start(self) -> None:
        """Listens and serves in a thread of its own."""
        self._http.prepare()
        threading.Thread(target=self._http.serve, daemon=True).start()

    def stop(self) -> None:
        """Stops and closes all connections."""
        self._http.stop()
        for conn in list(self._open):
            conn.silent = False
            conn.close()
        self._http.parked.clear()

    def set_faults(self, faults: Iterable[Fault]) -> None:
        """Switches the given faults on and all others off."""
        chosen = tuple(faults)
        self.switches.replace(chosen)
        by_kind = {fault.kind: fault for fault in chosen}
        if FaultKind.SILENCE_OPEN in by_kind:
            self.silence_open()
        refuse = by_kind.get(FaultKind.REFUSE)
        self._set_refusing(refuse is not None)
        if refuse is not None and refuse.parameter:
            threading.Timer(
                refuse.parameter,
                self._set_refusing,
                (False,),
            ).start()

    def silence_open(self) -> None:
        """Makes the connections that are open now silent for good."""
        for conn in list(self._open):
            conn.silent = True

    def answer(self, request: Request) -> Reply:
        """Returns the reply to a request, faults included."""
        if request.path == '/faults':
            self.set_faults(parse_faults(request.document()))
            return json_reply(HTTPStatus.OK, {})
        if request.path.startswith(CONTROL_PATHS):
            return self._handler(request)
        fault = self.switches.take(request.path)
        early = before_effect(fault)
        if early is not None:
            return early
        reply = self._handler(request._replace(fault=fault))
        return after_effect(fault, reply)

    def _prepare(self) -> None:
        self._http.ConnectionClass = self._new_connection
        self._http.timeout = IDLE_LIMIT_S
        self._http.expiration_interval = SELECT_INTERVAL_S
        self._http.shutdown_timeout = STOP_LIMIT_S
        self._http.request_queue_size = socket.SOMAXCONN
        self._http.error_log = _ignore_log
        self._http.parked = []
        self._http.switches = self.switches
        self._http.answer = self.answer

    def _new_connection(self, *args: Any) -> Connection:
        conn = Connection(*args)
        self._open.add(conn)
        return conn

    def _set_refusing(self, refusing: bool) -> None:
        with self._lock:
            if refusing != self._refusing:
                self._refusing = refusing
                _SWITCH_LISTENER[refusing](self._http)


def _ignore_log(*_args: Any, **_kwargs: Any) -> None:
    """Drops cheroot's messages about broken connections."""


def _stop_listening(http: Any) -> None:
    http.bind_addr = http.socket.getsockname()
    selector = http._connections._selector  # ruff: ignore[private-member-access]
    selector.unregister(http.socket.fileno())
    http.socket.close()


def _listen_again(http: Any) -> None:
    listener = http.prepare_socket(
        http.bind_addr,
        socket.AF_INET,
        socket.SOCK_STREAM,
        0,
        http.nodelay,
        None,
    )
    listener.bind(http.bind_addr)
    listener.listen(http.request_queue_size)
    http.socket = listener
    selector = http._connections._selector  # ruff: ignore[private-member-access]
    selector.register(listener.fileno(), 1, data=http)


_SWITCH_LISTENER = MappingProxyType({
    True: _stop_listening,
    False: _listen_again,
})

"""Calls to one peer over a small pool of connections."""

import threading
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from cactusledge.models import Address
from cactusledge.peers import convert
from cactusledge.peers.errors import PeerAnswerLostError, PeerUnreachableError
from cactusledge.peers.thrift import Peers, ttypes
from cactusledge.peers.transport import (
    MAX_MESSAGE_BYTES,
    RECEIVE_ERRORS,
    SEND_ERRORS,
    DeadlineSocket,
    SequenceCheckedProtocol,
    SizeLimitedTransport,
)

MAX_IDLE_CONNECTIONS = 4
SEQUENCE_FIELD = '_seqid'  # private to the generated thrift clients

# Whether a message may be sent again if its answer was lost.
IDEMPOTENT: Mapping[str, bool] = MappingProxyType({
    'heartbeat': True,
    'forward_call': False,
    'poll_call': True,
    'open_program': False,
    'end_program': False,
    'read_history': True,
    'request_grant': True,
    'finish_grant': True,
    'program_event': True,
    'hold_records': True,
    'held_records': True,
    'drop_held': True,
    'get_config': True,
})


class Connection(NamedTuple):
    """An open connection and its generated thrift client."""

    sock: DeadlineSocket
    protocol: SequenceCheckedProtocol
    client: Any

    def prepare(self, timeout_s: float) -> None:
        """Sets the deadline and the sequence number of the next call."""
        self.sock.set_deadline(timeout_s)
        self.protocol.expected_seqid += 1
        setattr(self.client, SEQUENCE_FIELD, self.protocol.expected_seqid)

    def close(self) -> None:
        """Closes the socket."""
        self.sock.close()


class Channel:
    """Sends messages to one peer; thread-safe."""

    def __init__(self, address: Address, timeout_s: float) -> None:
        """Opens no connection until the first call."""
        self.address = address
        self._timeout_s = timeout_s
        self._idle: list[Connection] = []
        self._lock = threading.Lock()

    def close(self) -> None:
        """Closes the idle connections."""
        with self._lock:
            idle = self._idle
            self._idle = []
        for conn in idle:
            conn.close()

    def _call(self, method: str, *args: Any, extra_s: float = 0) -> Any:
        """Returns the answer; `extra_s` is added to the timeout."""
        timeout_s = self._timeout_s + extra_s
        try:
            return self._call_once(method, args, timeout_s)
        except PeerAnswerLostError:
            self.close()  # the other idle connections may be dead too
            if not IDEMPOTENT[method]:
                raise
        return self._call_once(method, args, timeout_s)

    def _call_once(
        self,
        method: str,
        args: tuple[Any, ...],
        timeout_s: float,
    ) -> Any:
        conn = self._send(method, args, timeout_s)
        try:
            answer = getattr(conn.client, f'recv_{method}')()
        except ttypes.PeerError as error:
            self._return_idle(conn)
            raise convert.error_from_thrift(error) from None
        except RECEIVE_ERRORS as exc:
            conn.close()
            raise PeerAnswerLostError(
                f'No valid answer to {method} from {self.address}'
                f' ({type(exc).__name__}).',
                remedy='Retry only if the message is idempotent.',
            ) from exc
        self._return_idle(conn)
        return convert.from_thrift(answer)

    def _send(
        self,
        method: str,
        args: tuple[Any, ...],
        timeout_s: float,
    ) -> Connection:
        """Returns the connection on which the whole message was sent.

        A peer processes complete frames only, so a connection that failed
        before the last byte was written has certainly not delivered the
        message. A message that is not idempotent gets a new connection,
        because an idle one may no longer respond.
        """
        conn = self._take_idle() if IDEMPOTENT[method] else None
        while conn is not None:
            if self._write(conn, method, args, timeout_s):
                return conn
            conn = self._take_idle()
        conn = self._open(method, timeout_s)
        if self._write(conn, method, args, timeout_s):
            return conn
        raise unreachable_error(self.address, method)

    def _write(
        self,
        conn: Connection,
        method: str,
        args: tuple[Any, ...],
        timeout_s: float,
    ) -> bool:
        conn.prepare(timeout_s)
        send = getattr(conn.client, f'send_{method}')
        try:
            send(*[convert.to_thrift(arg) for arg in args])
        except SEND_ERRORS:
            conn.close()
            return False
        except BaseException:
            conn.close()
            raise
        return True

    def _open(self, method: str, timeout_s: float) -> Connection:
        sock = DeadlineSocket(self.address, timeout_s)
        try:
            sock.open()
        except SEND_ERRORS as exc:
            raise unreachable_error(self.address, method) from exc
        protocol = SequenceCheckedProtocol(
            SizeLimitedTransport(sock, MAX_MESSAGE_BYTES)
        )
        return Connection(sock, protocol, Peers.Client(protocol))

    def _take_idle(self) -> Connection | None:
        with self._lock:
            while self._idle:
                conn = self._idle.pop()
                if conn.sock.is_reusable():
                    return conn
                conn.close()
        return None

    def _return_idle(self, conn: Connection) -> None:
        with self._lock:
            if len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(conn)
                return
        conn.close()


def unreachable_error(address: Address, method: str) -> PeerUnreachableError:
    """Returns the error for a message that was not delivered."""
    return PeerUnreachableError(
        f'Message {method} could not be delivered to {address}.',
        remedy='Send it to another instance, or retry later.',
    )

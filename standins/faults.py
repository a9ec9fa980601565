"""A TCP relay with fault switches, for tests of any protocol."""

import enum
import socket
import struct
import threading
from collections.abc import Iterator
from typing import NamedTuple, Self

from cactusledge.models import Address

LOOPBACK = '127.0.0.1'
CHUNK_BYTES = 65536
RESET_ON_CLOSE = struct.pack('ii', 1, 0)  # SO_LINGER: on, 0 seconds


class LinkFault(enum.StrEnum):
    """What happens to the connections of a link."""

    NONE = 'none'
    RESET_BEFORE = 'reset_before'  # the request does not reach the server
    RESET_AFTER = 'reset_after'  # the request does, its answer is dropped
    HALF_ANSWER = 'half_answer'  # half of the answer, then a reset
    HOLD_ANSWER = 'hold_answer'  # the answer waits for `release`
    DUPLICATE = 'duplicate'  # the request reaches the server twice


class Pair(NamedTuple):
    """The two ends of a relayed connection."""

    client: socket.socket
    server: socket.socket
    silent: threading.Event  # set: nothing passes any more


class FaultyLink:
    """Relays connections to a server and applies the fault set."""

    def __init__(self, target: Address) -> None:
        """Keeps the server's address; listens after `start`."""
        self.fault = LinkFault.NONE
        self.faults_left = 0  # how many chunks the fault still applies to
        self.released = threading.Event()
        self._target = target
        self._pairs: list[Pair] = []
        self._listener = socket.create_server((LOOPBACK, 0))
        self.address = Address(*self._listener.getsockname())

    def __enter__(self) -> Self:
        """Accepts connections in a thread."""
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Closes the port and all connections."""
        self.refuse()
        self.released.set()
        for pair in self._pairs:
            reset(pair)

    def set_fault(self, fault: LinkFault, times: int = 1) -> None:
        """Applies the fault to the next requests."""
        self.faults_left = times
        self.fault = fault

    def refuse(self) -> None:
        """Closes the port; connections that are open stay."""
        shut(self._listener)
        self._listener.close()

    def silence(self) -> None:
        """Makes the open connections silent for good; new ones work."""
        for pair in self._pairs:
            pair.silent.set()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            server = socket.create_connection(self._target)
            pair = Pair(client, server, threading.Event())
            self._pairs.append(pair)
            for pump in (self._pump_requests, self._pump_answers):
                threading.Thread(target=pump, args=(pair,), daemon=True).start()

    def _pump_requests(self, pair: Pair) -> None:
        for data in chunks(pair.client, pair):
            if self._takes(LinkFault.RESET_BEFORE):
                reset(pair)
                return
            if self._takes(LinkFault.DUPLICATE):
                pair.server.sendall(data)
            pair.server.sendall(data)
        shut(pair.server)

    def _pump_answers(self, pair: Pair) -> None:
        for data in chunks(pair.server, pair):
            if self._takes(LinkFault.RESET_AFTER):
                reset(pair)
                return
            if self._takes(LinkFault.HALF_ANSWER):
                pair.client.sendall(data[: len(data) // 2])
                reset(pair)
                return
            if self._takes(LinkFault.HOLD_ANSWER):
                self.released.wait()
            send(pair.client, data)
        shut(pair.client)

    def _takes(self, fault: LinkFault) -> bool:
        """Returns whether the fault applies now, and counts it down."""
        if self.fault is not fault or not self.faults_left:
            return False
        self.faults_left -= 1
        return True


def chunks(source: socket.socket, pair: Pair) -> Iterator[bytes]:
    """Yields what arrives until the end, or nothing more once silent."""
    while True:
        try:
            data = source.recv(CHUNK_BYTES)
        except OSError:
            return
        if not data:
            return
        if not pair.silent.is_set():
            yield data


def send(sock: socket.socket, data: bytes) -> None:
    """Sends to a socket whose other end may be gone."""
    try:
        sock.sendall(data)
    except OSError:
        shut(sock)


def reset(pair: Pair) -> None:
    """Closes both ends; the client sees a reset."""
    for sock in (pair.client, pair.server):
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except OSError:
            continue
        shut(sock)
        sock.close()


def shut(sock: socket.socket) -> None:
    """Shuts a socket that may be closed."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return

"""A TCP proxy that can be told to cut, to go silent and to heal."""

import enum
import socket
import threading
from typing import NamedTuple, Self

from cactusledge.models import Address
from standins.faults import CHUNK_BYTES, LOOPBACK, Pair, reset, send, shut

CONNECT_TIMEOUT_S = 5


class LinkState(enum.StrEnum):
    """What the proxy does with bytes."""

    OPEN = 'open'
    CUT = 'cut'  # connections are reset, new ones too
    SILENT = 'silent'  # bytes of both directions are swallowed
    NO_ANSWERS = 'no_answers'  # requests pass, answers are swallowed


class Flow(NamedTuple):
    """One direction of a connection."""

    source: socket.socket
    target: socket.socket
    swallowed_in: frozenset[LinkState]


class TcpProxy:
    """Forwards connections to a server, as far as its state lets it.

    A connection that lost bytes never works again: it is reset once the
    link heals, as a network that forgot it would do.
    """

    def __init__(self, target: Address, port: int = 0) -> None:
        """Keeps the server's address; forwards after `start`."""
        self.target = target
        self._state = LinkState.OPEN
        self._lock = threading.Lock()
        self._pairs: list[Pair] = []
        self._listener = socket.create_server((LOOPBACK, port))
        self.address = Address(*self._listener.getsockname())

    def __enter__(self) -> Self:
        """Starts to accept connections."""
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Closes the port and all connections."""
        shut(self._listener)
        self._listener.close()
        self.set_state(LinkState.CUT)

    def set_state(self, state: LinkState) -> None:
        """Applies a state to the open connections and to new ones."""
        with self._lock:
            self._state = state
            pairs = tuple(self._pairs)
        for pair in pairs:
            lost = state is LinkState.OPEN and pair.silent.is_set()
            if lost or state is LinkState.CUT:
                self._drop(pair)

    def silence_open(self) -> None:
        """Makes the open connections silent for good; new ones work."""
        with self._lock:
            pairs = tuple(self._pairs)
            self._pairs.clear()
        for pair in pairs:
            pair.silent.set()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect,
                args=(client,),
                daemon=True,
            ).start()

    def _connect(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self.target, CONNECT_TIMEOUT_S)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        pair = Pair(client, server, threading.Event())
        with self._lock:
            self._pairs.append(pair)
            is_cut = self._state is LinkState.CUT
        if is_cut:
            self._drop(pair)
            return
        silent = frozenset((LinkState.SILENT,))
        requests = Flow(client, server, silent)
        answers = Flow(server, client, silent | {LinkState.NO_ANSWERS})
        for flow in (requests, answers):
            threading.Thread(
                target=self._pump,
                args=(pair, flow),
                daemon=True,
            ).start()

    def _pump(self, pair: Pair, flow: Flow) -> None:
        while True:
            try:
                data = flow.source.recv(CHUNK_BYTES)
            except OSError:
                break
            if not data:
                break
            if self._passes(pair, flow):
                send(flow.target, data)
        if not pair.silent.is_set():
            shut(flow.target)

    def _passes(self, pair: Pair, flow: Flow) -> bool:
        """Returns whether bytes pass now; a connection that lost some is lost.

        Requests of a connection whose answers are swallowed still pass.
        """
        with self._lock:
            swallowed = self._state in flow.swallowed_in
            if swallowed:
                pair.silent.set()
            is_open = self._state is LinkState.OPEN
        return not swallowed and not (is_open and pair.silent.is_set())

    def _drop(self, pair: Pair) -> None:
        with self._lock:
            if pair in self._pairs:
                self._pairs.remove(pair)
        reset(pair)

"""Sends heartbeats from worker threads."""

import threading
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Any

import pykka
import structlog

from cactusledge.errors import CactusledgeError
from cactusledge.models import Address
from cactusledge.peers.client import PeerClient
from cactusledge.peers.errors import PeerUnreachableError
from cactusledge.peers.membership_actor import Contact
from cactusledge.peers.messages import Heartbeat

HEARTBEAT_TIMEOUT_S = 0.8
SENDER_THREADS = 4

log = structlog.get_logger('peers')


class HeartbeatSender:
    """Sends heartbeats, with one client per peer address."""

    def __init__(self) -> None:
        self._clients: dict[Address, PeerClient] = {}
        self._lock = threading.Lock()
        self._pool = ThreadPoolExecutor(SENDER_THREADS, 'heartbeat')

    def send(self, contact: Contact, message: Heartbeat, actor: Any) -> None:
        """Sends a heartbeat without blocking; reports the result to `actor`."""
        with suppress(RuntimeError):  # the pool is shut down
            self._pool.submit(self._exchange, contact, message, actor)

    def close(self) -> None:
        """Waits for heartbeats in flight and closes the connections."""
        self._pool.shutdown(cancel_futures=True)
        for client in self._clients.values():
            client.close()

    def _exchange(
        self,
        contact: Contact,
        message: Heartbeat,
        actor: Any,
    ) -> None:
        with suppress(pykka.ActorDeadError):
            try:
                reply = self._client(contact.address).heartbeat(message)
            except CactusledgeError as exc:
                self._report(contact, exc, actor)
            else:
                actor.handle_reply.defer(contact, reply)

    def _report(
        self,
        contact: Contact,
        exc: CactusledgeError,
        actor: Any,
    ) -> None:
        address = str(contact.address)
        log.debug('peers: heartbeat failed', peer=address, error=str(exc))
        delivered = not isinstance(exc, PeerUnreachableError)
        actor.handle_failure.defer(contact, delivered=delivered)

    def _client(self, address: Address) -> PeerClient:
        with self._lock:
            if address not in self._clients:
                client = PeerClient(address, HEARTBEAT_TIMEOUT_S)
                self._clients[address] = client
            return self._clients[address]

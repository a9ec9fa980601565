"""Takes the configuration and endpoints of another gateway.

The configuration and the endpoint list normally come from the platform. While
the platform does not answer, a gateway that has just started copies them from
a running gateway, and switches to the platform's lists when they arrive. One
that the platform turns away later takes newer configurations from others.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
import structlog

from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.messages import Configuration, Replica
from cactusledge.models import Address
from cactusledge.records.gateway_messages import AskBeliefs, Beliefs
from cactusledge.records.peer import call_once
from cactusledge.records.relays import Relays

PLATFORM_WAIT_S = 0.5  # for the platform's lists, before peers are asked
TIMEOUT_S = 0.5
FETCH_TIMEOUT_S = 0.4  # so that a silent gateway leaves time for another

log = structlog.get_logger('gateway')


class Snapshot(NamedTuple):
    """The configuration and endpoints known to a gateway."""

    cfg: Configuration | None
    replicas: tuple[Replica, ...]


SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)


class PeerBootstrap:
    """Sends this gateway's snapshot to peers; fetches theirs if incomplete."""

    def __init__(self, gateway: Gateway, relays: Relays) -> None:
        """Stores the gateway to snapshot and the relays that list its peers."""
        self._gateway = gateway
        self._relays = relays
        self._incomplete_since_s: float | None = None

    def is_incomplete(self) -> bool:
        """Returns whether the configuration or all endpoints are missing."""
        replicas = self._gateway.fleet.replicas
        return self._gateway.table is None or not len(replicas)

    def snapshot(self) -> Beliefs:
        """Returns this gateway's configuration and endpoints, encoded."""
        table = self._gateway.table
        replicas = self._gateway.fleet.replicas
        snapshot = Snapshot(table.cfg if table else None, replicas.all())
        return Beliefs(msgspec.msgpack.encode(snapshot), replicas.versions)

    async def run(self, now_s: float) -> None:
        """Asks the other gateways in turn while this one is incomplete."""
        if not self.is_incomplete():
            self._incomplete_since_s = None
            return
        if self._incomplete_since_s is None:
            self._incomplete_since_s = now_s
        if now_s - self._incomplete_since_s < PLATFORM_WAIT_S:
            return
        for address in self._relays.gateway_addresses():
            await self._bootstrap(address)
            if not self.is_incomplete():
                return

    async def fetch(self, address: Address) -> None:
        """Takes a newer configuration from a gateway that should have it."""
        before = self._gateway.news.version
        snapshot = await self._ask(address, FETCH_TIMEOUT_S)
        if snapshot is not None and self._gateway.news.version > before:
            log.warning(
                'gateway: configuration fetched from peer',
                before=before,
                **self._adopted(address, snapshot),
            )

    async def _bootstrap(self, address: Address) -> None:
        snapshot = await self._ask(address, TIMEOUT_S)
        if snapshot is not None:
            log.warning(
                'gateway: bootstrapped from peer snapshot',
                **self._adopted(address, snapshot),
            )

    async def _ask(self, address: Address, timeout_s: float) -> Snapshot | None:
        """Returns a gateway's snapshot once it is in force, None if it failed.

        An undecodable snapshot is ignored.
        """
        try:
            reply = await call_once(address, AskBeliefs(), timeout_s)
        except (ConnectionError, TimeoutError) as exc:
            log.info(
                'gateway: snapshot request failed',
                address=str(address),
                error=repr(exc),
            )
            return None
        if not isinstance(reply, Beliefs):
            return None
        snapshot = decode_snapshot(reply)
        if snapshot is not None:
            self._adopt(snapshot, reply.versions)
        return snapshot

    def _adopt(self, snapshot: Snapshot, versions: Mapping[str, int]) -> None:
        """Applies a newer configuration, and endpoints if none are known."""
        replicas = self._gateway.fleet.replicas
        if snapshot.cfg is not None:
            self._gateway.apply(snapshot.cfg)
        if not len(replicas):
            for replica in snapshot.replicas:
                replicas.put(replica, versions.get(replica.endpoint_id, 0))

    def _adopted(self, address: Address, snapshot: Snapshot) -> dict[str, Any]:
        return {
            'address': str(address),
            'version': snapshot.cfg.version if snapshot.cfg else 0,
            'endpoints': len(self._gateway.fleet.replicas),
        }


def decode_snapshot(reply: Beliefs) -> Snapshot | None:
    """Returns the snapshot in a gateway's reply, None if it is unreadable."""
    try:
        return SNAPSHOT_DECODER.decode(reply.content)
    except msgspec.MsgspecError as exc:
        log.warning(
            'gateway: cannot decode snapshot from peer', error=repr(exc)
        )
        return None

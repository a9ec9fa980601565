"""Applies watched platform objects: the configuration and endpoints."""

import asyncio
from collections.abc import Callable

import structlog

from cactusledge.gateway.context import Fleet
from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.messages import Configuration, Replica
from cactusledge.objects.feeds import Listing
from cactusledge.objects.store import StoredObject

DecodeConfiguration = Callable[[StoredObject], Configuration | None]
DecodeReplica = Callable[[StoredObject], Replica | None]

log = structlog.get_logger('gateway')


class ConfigurationFollower:
    """Applies each newer version of the configuration."""

    def __init__(self, gateway: Gateway, decode: DecodeConfiguration) -> None:
        """Stores the gateway to configure and the decoder of the objects."""
        self._gateway = gateway
        self._decode = decode

    def handle_list(self, listing: Listing) -> None:
        """Handles a complete list."""
        for stored in listing.listed.items:
            self.handle_object(stored)

    def handle_object(self, stored: StoredObject) -> None:
        """Handles a new or changed object."""
        cfg = self._decode(stored)
        if cfg is not None:
            self._gateway.apply(cfg)

    def handle_removal(self, name: str) -> None:
        """Logs the removal; the gateway keeps its current configuration."""
        log.warning('gateway: configuration removed, keeping the last version')


class ReplicaFollower:
    """Keeps the endpoint list up to date."""

    def __init__(self, fleet: Fleet, decode: DecodeReplica) -> None:
        """Stores the list to update and the decoder of its entries."""
        self._fleet = fleet
        self._decode = decode

    def handle_list(self, listing: Listing) -> None:
        """Handles a complete list."""
        stored_objects = listing.listed.items
        decoded = map(self._decode, stored_objects)
        versions = {one.name: int(one.version) for one in stored_objects}
        self._fleet.replicas.replace_all(
            [replica for replica in decoded if replica is not None],
            asyncio.get_running_loop().time(),
            after_outage=listing.after_outage,
            versions=versions,
        )
        log.info(
            'gateway: endpoints listed',
            count=len(self._fleet.replicas),
            version=listing.listed.version,
            after_outage=listing.after_outage,
            kept=sorted(self._fleet.replicas.ids() - versions.keys()),
        )

    def handle_object(self, stored: StoredObject) -> None:
        """Handles a new or changed entry; an undecodable one is removed."""
        replica = self._decode(stored)
        if replica is None:
            self.handle_removal(stored.name)
            return
        self._fleet.replicas.put(replica, int(stored.version))
        log.info('gateway: endpoint listed', **replica._asdict())

    def handle_removal(self, name: str) -> None:
        """Handles the removal of an entry."""
        self._fleet.replicas.remove(name)
        log.info('gateway: endpoint gone', endpoint_id=name)

"""Endpoint list that tolerates lag and outages of the platform's list."""

from collections.abc import Iterable

import structlog

from cactusledge.gateway.messages import Replica

REREGISTRATION_GRACE_S = 2.0  # for entries expired in a platform outage

log = structlog.get_logger('gateway')


class ReplicaList:
    """Endpoints by id.

    Entries missing after an outage are kept for `REREGISTRATION_GRACE_S`, as
    live endpoints register again. Without an outage, a missing entry is removed
    at once.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._replicas: dict[str, Replica] = {}
        self._missing: dict[str, float] = {}  # id -> time of removal
        self._by_service: dict[str, tuple[Replica, ...]] = {}

    def __len__(self) -> int:
        """Returns the number of endpoints listed."""
        return len(self._replicas)

    def usable(self, service: str, now_s: float) -> tuple[Replica, ...]:
        """Returns a service's endpoints that accept new requests."""
        if self._missing:
            self._expire(now_s)
        return self._by_service.get(service, ())

    def find(self, endpoint_id: str) -> Replica | None:
        """Returns the endpoint with an id."""
        return self._replicas.get(endpoint_id)

    def replace_all(
        self,
        replicas: Iterable[Replica],
        now_s: float,
        *,
        after_outage: bool,
    ) -> None:
        """Replaces the list; missing entries expire as the class describes."""
        listed = {replica.endpoint_id: replica for replica in replicas}
        wait_s = REREGISTRATION_GRACE_S if after_outage else 0
        missing = self._replicas.keys() - listed.keys()
        for endpoint_id in missing:
            self._missing.setdefault(endpoint_id, now_s + wait_s)
            listed[endpoint_id] = self._replicas[endpoint_id]
        for endpoint_id in tuple(self._missing):
            if endpoint_id not in missing:
                self._missing.pop(endpoint_id)
        self._replicas = listed
        self._expire(now_s)
        self._index()

    def put(self, replica: Replica) -> None:
        """Adds or updates an entry."""
        self._missing.pop(replica.endpoint_id, None)
        self._replicas[replica.endpoint_id] = replica
        self._index()

    def remove(self, endpoint_id: str) -> None:
        """Removes an entry at once."""
        self._missing.pop(endpoint_id, None)
        if self._replicas.pop(endpoint_id, None) is not None:
            self._index()

    def kept(self) -> list[str]:
        """Returns the ids of entries that are missing in the last list."""
        return sorted(self._missing)

    def ids(self) -> frozenset[str]:
        """Returns the ids of all endpoints."""
        return frozenset(self._replicas)

    def all(self) -> tuple[Replica, ...]:
        """Returns all endpoints, including draining ones."""
        return tuple(self._replicas.values())

    def _expire(self, now_s: float) -> None:
        gone = [
            endpoint_id
            for endpoint_id, at_s in self._missing.items()
            if at_s <= now_s
        ]
        for endpoint_id in gone:
            self.remove(endpoint_id)
            log.info('gateway: endpoint not listed', endpoint_id=endpoint_id)

    def _index(self) -> None:
        by_service: dict[str, list[Replica]] = {}
        for replica in self._replicas.values():
            if not replica.is_draining:
                by_service.setdefault(replica.service, []).append(replica)
        self._by_service = {
            service: tuple(replicas) for service, replicas in by_service.items()
        }

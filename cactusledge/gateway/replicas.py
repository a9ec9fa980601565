"""Endpoint list that tolerates lag and outages of the platform's list."""

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType

import structlog

from cactusledge.gateway.messages import Replica
from cactusledge.gateway.withdrawals import Withdrawals
from cactusledge.objects.feeds import REREGISTRATION_S
from cactusledge.records.withdrawal_messages import Withdrawal

FRESH_S = 1.0  # for which the stores' word on the platform counts
NO_VERSIONS: Mapping[str, int] = MappingProxyType({})

log = structlog.get_logger('gateway')


class ReplicaList:
    """Endpoints by id.

    Entries missing after an outage are kept for `REREGISTRATION_S` from
    the platform's return, as live endpoints register again. If the stores say
    that the platform was up, or without an outage, a missing entry is removed
    at once, and so is a withdrawn one.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.withdrawals = Withdrawals()
        self._replicas: dict[str, Replica] = {}
        self.versions: dict[str, int] = {}  # of the entries, by id
        self._missing: dict[str, float] = {}  # id -> latest start of the grace
        self._up_since_s = math.inf  # when the platform came back, for stores
        self._heard_s = -math.inf
        self._is_settling = False  # removals may be due to an outage
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
        versions: Mapping[str, int] = NO_VERSIONS,
    ) -> None:
        """Replaces the list; missing entries expire as the class describes.

        Args:
            replicas: The endpoints that are listed.
            now_s: The current time.
            after_outage: Whether live endpoints may be missing.
            versions: Of the entries, by endpoint id.
        """
        listed = {replica.endpoint_id: replica for replica in replicas}
        missing = self._replicas.keys() - listed.keys()
        for endpoint_id in missing:
            version = self.versions[endpoint_id]
            is_over = self.withdrawals.covers(endpoint_id, version)
            has_grace = after_outage and not is_over
            self._missing.setdefault(
                endpoint_id, now_s if has_grace else -math.inf
            )
        for endpoint_id in tuple(self._missing):
            if endpoint_id not in missing:
                self._missing.pop(endpoint_id)
        for replica in listed.values():
            self._store(replica, versions.get(replica.endpoint_id, 0))
        self._expire(now_s)
        self._index()

    def put(self, replica: Replica, version: int = 0) -> None:
        """Adds or updates an entry; version 0 is older than any other."""
        self._missing.pop(replica.endpoint_id, None)
        self._store(replica, version)
        self._index()

    def remove(self, endpoint_id: str) -> None:
        """Removes an entry at once."""
        self._missing.pop(endpoint_id, None)
        if self._replicas.pop(endpoint_id, None) is not None:
            version = self.versions.pop(endpoint_id)
            if not self._is_settling:
                self.withdrawals.note(Withdrawal(endpoint_id, version))
            self._index()

    def withdraw(self, withdrawal: Withdrawal) -> bool:
        """Uses an entry no more that another instance knows to be over.

        Returns whether it was in use. It stays listed until the platform's
        list is read again, as requests to it may be under way.
        """
        endpoint_id = withdrawal.endpoint_id
        if not self.withdrawals.add(withdrawal):
            return False
        replica = self._replicas.get(endpoint_id)
        if replica is None or replica.is_draining:
            return False
        if endpoint_id in self._missing:
            self.remove(endpoint_id)
            return True
        self._store(replica, self.versions[endpoint_id])
        self._index()
        return self._replicas[endpoint_id].is_draining

    def hear_platform(self, up_s: float, now_s: float) -> None:
        """Takes for how long the platform has answered a store, 0 if not."""
        self._up_since_s = now_s - up_s
        self._heard_s = now_s
        self._is_settling = 0 < up_s < REREGISTRATION_S

    def ids(self) -> frozenset[str]:
        """Returns the ids of all endpoints."""
        return frozenset(self._replicas)

    def all(self) -> tuple[Replica, ...]:
        """Returns all endpoints, including draining ones."""
        return tuple(self._replicas.values())

    def _store(self, replica: Replica, version: int) -> None:
        """Stores an entry, as draining if it is over."""
        endpoint_id = replica.endpoint_id
        if replica.is_draining and version:
            self.withdrawals.note(Withdrawal(endpoint_id, version))
        elif self.withdrawals.covers(endpoint_id, version):
            replica = replica._replace(is_draining=True)
        self._replicas[endpoint_id] = replica
        self.versions[endpoint_id] = version

    def _expire(self, now_s: float) -> None:
        is_fresh = now_s - self._heard_s <= FRESH_S
        back_s = self._up_since_s if is_fresh else math.inf
        gone = [
            endpoint_id
            for endpoint_id, since_s in self._missing.items()
            if min(since_s, back_s) + REREGISTRATION_S <= now_s
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

"""Reports of this instance at the platform: its addresses and generation."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from cactusledge.errors import (
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
)
from cactusledge.models import Address
from cactusledge.platform.store import ObjectStore
from cactusledge.settings.rollout import STATUS_KIND
from cactusledge.telemetry.logs import get_logger

REPORT_INTERVAL_S = 25.0
PEERS_FIELD = 'peers'
REPORTED_FIELD = 'reported_at'
FRESH_S = 120.0

log = get_logger('status')


class Identity(NamedTuple):
    """What does not change while the instance runs."""

    name: str
    data_centre: str
    api: Address
    peers: Address


class StatusReporter:
    """Writes a report when the generation changes, and now and then."""

    def __init__(
        self,
        store: ObjectStore,
        identity: Identity,
        now_s: Callable[[], float],
    ) -> None:
        """Starts without a report."""
        self._store = store
        self._identity = identity
        self._now_s = now_s
        self._version = ''
        self._reported = (-1, float('-inf'))  # generation and time

    def is_due(self, generation: int) -> bool:
        """Returns whether there is something to report."""
        known, at_s = self._reported
        age_s = self._now_s() - at_s
        return known != generation or age_s >= REPORT_INTERVAL_S

    def report(self, generation: int) -> None:
        """Writes the report; a failure is tried again at the next tick."""
        now_s = self._now_s()
        body = {
            'instance': self._identity.name,
            'data_centre': self._identity.data_centre,
            'generation': generation,
            REPORTED_FIELD: now_s,
            'api': str(self._identity.api),
            PEERS_FIELD: str(self._identity.peers),
        }
        try:
            self._write(body)
        except StoreError as exc:
            log.info('Not reported.', reason=exc.message)
            self._version = ''
        else:
            self._reported = (generation, now_s)

    def peers(self) -> tuple[Address, ...]:
        """Returns where other instances reported lately to listen."""
        oldest_s = self._now_s() - FRESH_S
        found = self._store.list(STATUS_KIND).items
        return tuple(
            _address(one.body[PEERS_FIELD])
            for one in found
            if one.name != self._identity.name
            and one.body.get(PEERS_FIELD)
            and one.body.get(REPORTED_FIELD, 0) >= oldest_s
        )

    def _write(self, body: Mapping[str, Any]) -> None:
        name = self._identity.name
        if not self._version:
            self._version = self._find_version(name, body)
        try:
            stored = self._store.update(STATUS_KIND, name, body, self._version)
        except StoreConflictError:
            self._version = ''
            raise
        self._version = stored.version

    def _find_version(self, name: str, body: Mapping[str, Any]) -> str:
        try:
            return self._store.read(STATUS_KIND, name).version
        except StoreNotFoundError:
            return self._store.create(STATUS_KIND, name, body).version


def _address(text: str) -> Address:
    host, _, port = text.rpartition(':')
    return Address(host, int(port))

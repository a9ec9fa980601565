"""Endpoints from the platform's live list and from the configuration."""

import threading
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from cactusledge.endpoints.registry import EndpointRegistry, LeavingIncarnation
from cactusledge.errors import StoreError
from cactusledge.models import Address, CallKind, Endpoint
from cactusledge.objects.store import (
    DELETED,
    ObjectList,
    StoredObject,
    WatchEvent,
)

ENDPOINT_ROLE = 'endpoint'


class EndpointDirectory:
    """A thread-safe `EndpointRegistry` that follows the live list."""

    def __init__(
        self,
        data_centre: str,
        configured: Callable[[], Iterable[Endpoint]],
        changed: Callable[[], None],
    ) -> None:
        """Starts with no endpoints from the live list.

        Args:
            data_centre: Data centre of this instance.
            configured: Returns the endpoints listed in the configuration.
            changed: Called after each update of the endpoints.
        """
        self._data_centre = data_centre
        self._configured = configured
        self._changed = changed
        self._listed: dict[str, Endpoint] = {}
        self._registry = EndpointRegistry()
        self._lock = threading.Lock()
        self._is_listed = False

    @property
    def is_listed(self) -> bool:
        """Whether the live list has been read at least once."""
        return self._is_listed

    def on_snapshot(self, listed: ObjectList) -> None:
        """Replaces the endpoints by those of a full live list."""
        parsed = [parse_endpoint(stored) for stored in listed.items]
        self._listed = {
            endpoint.name: endpoint for endpoint in parsed if endpoint
        }
        self.refresh()
        self._is_listed = True

    def on_event(self, event: WatchEvent) -> None:
        """Applies a change of one object of the live list."""
        endpoint = None
        if event.type != DELETED:
            endpoint = parse_endpoint(event.object)
        self._listed.pop(event.object.name, None)
        if endpoint is not None:
            self._listed[endpoint.name] = endpoint
        self.refresh()

    def on_failure(self, exc: StoreError) -> None:
        """Keeps the known endpoints while the platform is unavailable."""

    def refresh(self) -> None:
        """Merges the live list with the endpoints in the configuration."""
        known = {endpoint.name: endpoint for endpoint in self._configured()}
        known.update(self._listed)
        with self._lock:
            self._registry.replace_all(known.values())
        self._changed()

    def mark_leaving(self, endpoint: Endpoint) -> None:
        """Records that an endpoint refused a call because it is leaving."""
        leaving = LeavingIncarnation(endpoint.name, endpoint.incarnation)
        with self._lock:
            is_new = self._registry.mark_leaving(leaving)
        if is_new:
            self._changed()

    def all(self) -> tuple[Endpoint, ...]:
        """Returns all endpoints, each with its current `leaving` flag."""
        with self._lock:
            return self._registry.all()

    def available(self, service: str) -> Sequence[Endpoint]:
        """Returns the endpoints for new calls, this data centre's first."""
        with self._lock:
            centres = sorted(
                {
                    group.data_centre
                    for group in self._registry.groups()
                    if group.service == service
                },
                key=lambda centre: (centre != self._data_centre, centre),
            )
            return [
                endpoint
                for centre in centres
                for endpoint in self._registry.available(service, centre)
            ]

    def find(self, name: str) -> Endpoint | None:
        """Returns an endpoint by name, including one that is leaving."""
        with self._lock:
            return self._registry.find(name)


def parse_endpoint(stored: StoredObject) -> Endpoint | None:
    """Parses an object of the live list; None if it is not an endpoint."""
    body: Any = stored.body
    if body.get('role') != ENDPOINT_ROLE:
        return None
    host, _, port = str(body['address']).rpartition(':')
    return Endpoint(
        name=stored.name,
        service=str(body['service']),
        kind=CallKind(body['kind']),
        address=Address(host, int(port)),
        data_centre=str(body['data_centre']),
        incarnation=str(body.get('incarnation', '')),
        leaving=bool(body.get('leaving')),
    )

"""The endpoints of the platform's live list and of the configuration."""

import threading
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from cactusledge.errors import StoreError
from cactusledge.models import Address, CallKind, Endpoint
from cactusledge.platform.store import (
    DELETED,
    ObjectList,
    StoredObject,
    WatchEvent,
)

ENDPOINT_ROLE = 'endpoint'


class EndpointDirectory:
    """Known endpoints, readable from any thread.

    Leaving is sticky: an endpoint that was seen leaving gets no new calls
    until another incarnation takes its place.
    """

    def __init__(
        self,
        data_centre: str,
        fixed: Callable[[], Iterable[Endpoint]],
        changed: Callable[[], None],
    ) -> None:
        """Starts without endpoints of the live list.

        Args:
            data_centre: Where this instance is.
            fixed: Endpoints that the configuration names.
            changed: Called after the live list has changed.
        """
        self._changed = changed
        self._data_centre = data_centre
        self._fixed = fixed
        self._listed: dict[str, Endpoint] = {}
        self._left: set[tuple[str, str]] = set()
        self._lock = threading.Lock()

    def on_snapshot(self, listed: ObjectList) -> None:
        """Takes in the whole live list."""
        parsed = [parse_endpoint(one) for one in listed.items]
        with self._lock:
            self._listed = {one.name: one for one in parsed if one}
            for endpoint in self._listed.values():
                self._note_leaving(endpoint)
        self._changed()

    def on_event(self, event: WatchEvent) -> None:
        """Takes in a change of one object of the live list."""
        name = event.object.name
        endpoint = None
        if event.type != DELETED:
            endpoint = parse_endpoint(event.object)
        with self._lock:
            self._listed.pop(name, None)
            if endpoint is not None:
                self._listed[name] = endpoint
                self._note_leaving(endpoint)
        self._changed()

    def on_failure(self, exc: StoreError) -> None:
        """Keeps what is known while the platform cannot be followed."""

    def mark_leaving(self, endpoint: Endpoint) -> None:
        """Notes that an endpoint refused a call because it is leaving."""
        with self._lock:
            self._note_leaving(endpoint._replace(leaving=True))

    def all(self) -> tuple[Endpoint, ...]:
        """Returns every endpoint, with what is known of its leaving."""
        with self._lock:
            known = {one.name: one for one in self._fixed()}
            known.update(self._listed)
            return tuple(self._judged(one) for one in known.values())

    def available(self, service: str) -> Sequence[Endpoint]:
        """Returns who takes new calls, this data centre's endpoints first."""
        usable = [
            one
            for one in self.all()
            if one.service == service and not one.leaving
        ]
        return sorted(usable, key=self._distance)

    def find(self, name: str) -> Endpoint | None:
        """Returns an endpoint by its name, also while it is leaving."""
        found = [one for one in self.all() if one.name == name]
        return found[0] if found else None

    def _distance(self, endpoint: Endpoint) -> tuple[bool, str, str]:
        is_remote = endpoint.data_centre != self._data_centre
        return is_remote, endpoint.data_centre, endpoint.name

    def _note_leaving(self, endpoint: Endpoint) -> None:
        if endpoint.leaving:
            self._left.add((endpoint.name, endpoint.incarnation))

    def _judged(self, endpoint: Endpoint) -> Endpoint:
        has_left = (endpoint.name, endpoint.incarnation) in self._left
        return endpoint._replace(leaving=endpoint.leaving or has_left)


def parse_endpoint(stored: StoredObject) -> Endpoint | None:
    """Returns the endpoint that an object of the live list describes."""
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

"""Known endpoints, their services and whether they are leaving; no I/O.

Three sources report that an endpoint is leaving: the platform's live list, its
own refusal of a call, and another instance. Any one of them is sufficient and
none can revoke it: only a new incarnation of the endpoint receives work again.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from cactusledge.models import Endpoint

MAX_LEAVING = 8192  # incarnations recorded as leaving


class LeavingIncarnation(NamedTuple):
    """An incarnation of an endpoint that receives no new work."""

    name: str
    incarnation: str


class EndpointGroup(NamedTuple):
    """Interchangeable endpoints: one service in one data centre."""

    service: str
    data_centre: str


class EndpointRegistry:
    """Known endpoints. Not thread-safe; its owner must serialize access."""

    def __init__(self, max_leaving: int = MAX_LEAVING) -> None:
        """Starts with no endpoints."""
        self._max_leaving = max_leaving
        self._endpoints: dict[str, Endpoint] = {}
        self._groups: dict[EndpointGroup, set[str]] = {}
        self._leaving: OrderedDict[LeavingIncarnation, None] = OrderedDict()

    def replace_all(self, listed: Iterable[Endpoint]) -> None:
        """Replaces all endpoints by those of a full list."""
        by_name = {endpoint.name: endpoint for endpoint in listed}
        for name in self._endpoints.keys() - by_name.keys():
            self.remove(name)
        for endpoint in by_name.values():
            self.put(endpoint)

    def put(self, endpoint: Endpoint) -> None:
        """Adds or replaces an endpoint."""
        self.remove(endpoint.name)
        self._endpoints[endpoint.name] = endpoint
        self._groups.setdefault(_group(endpoint), set()).add(endpoint.name)
        if endpoint.leaving:
            self.mark_leaving(
                LeavingIncarnation(endpoint.name, endpoint.incarnation)
            )

    def remove(self, name: str) -> None:
        """Removes an endpoint; its `leaving` record remains."""
        endpoint = self._endpoints.pop(name, None)
        if endpoint is None:
            return
        group = _group(endpoint)
        self._groups[group].discard(name)
        if not self._groups[group]:
            self._groups.pop(group)

    def mark_leaving(self, leaving: LeavingIncarnation) -> bool:
        """Marks an incarnation as leaving; returns whether that is new."""
        is_new = leaving not in self._leaving
        self._leaving[leaving] = None
        if len(self._leaving) > self._max_leaving:
            self._leaving.popitem(last=False)
        return is_new

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint receives no new work."""
        leaving = LeavingIncarnation(endpoint.name, endpoint.incarnation)
        return endpoint.leaving or leaving in self._leaving

    def leaving(self) -> tuple[LeavingIncarnation, ...]:
        """Returns the leaving incarnations, oldest record first."""
        return tuple(self._leaving)

    def find(self, name: str) -> Endpoint | None:
        """Returns an endpoint with its current `leaving` flag."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return None
        return endpoint._replace(leaving=self.is_leaving(endpoint))

    def all(self) -> tuple[Endpoint, ...]:
        """Returns all endpoints by name, with current `leaving` flags."""
        return tuple(
            endpoint._replace(leaving=self.is_leaving(endpoint))
            for _, endpoint in sorted(self._endpoints.items())
        )

    def available(
        self,
        service: str,
        data_centre: str,
    ) -> tuple[Endpoint, ...]:
        """Returns the endpoints that accept new work, sorted by name."""
        names = self._groups.get(EndpointGroup(service, data_centre), ())
        known = (self._endpoints[name] for name in sorted(names))
        return tuple(
            endpoint for endpoint in known if not self.is_leaving(endpoint)
        )

    def groups(self) -> tuple[EndpointGroup, ...]:
        """Returns the services and data centres that have endpoints."""
        return tuple(sorted(self._groups))


def _group(endpoint: Endpoint) -> EndpointGroup:
    return EndpointGroup(endpoint.service, endpoint.data_centre)

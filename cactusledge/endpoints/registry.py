"""What is known of the endpoints: who serves what, and who is leaving; pure.

Three sources tell that an endpoint leaves: the platform's live list, its own
refusal and another instance. Each is enough, and none can take it back: only
another incarnation of the endpoint receives work again.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from cactusledge.models import Endpoint

MAX_LEAVING = 8192  # incarnations that are remembered as leaving


class LeavingIncarnation(NamedTuple):
    """An incarnation of an endpoint that receives no new work."""

    name: str
    incarnation: str


class EndpointGroup(NamedTuple):
    """Endpoints that can stand in for each other without a detour."""

    service: str
    data_centre: str


class EndpointRegistry:
    """Known endpoints. Not thread-safe: one actor owns it."""

    def __init__(self, max_leaving: int = MAX_LEAVING) -> None:
        """Starts without endpoints."""
        self._max_leaving = max_leaving
        self._endpoints: dict[str, Endpoint] = {}
        self._groups: dict[EndpointGroup, set[str]] = {}
        self._leaving: OrderedDict[LeavingIncarnation, None] = OrderedDict()

    def replace_all(self, listed: Iterable[Endpoint]) -> None:
        """Takes a whole list; endpoints that it lacks are forgotten."""
        by_name = {endpoint.name: endpoint for endpoint in listed}
        for name in self._endpoints.keys() - by_name.keys():
            self.remove(name)
        for endpoint in by_name.values():
            self.put(endpoint)

    def put(self, endpoint: Endpoint) -> None:
        """Takes an added or changed entry of the list."""
        self.remove(endpoint.name)
        self._endpoints[endpoint.name] = endpoint
        self._groups.setdefault(_group(endpoint), set()).add(endpoint.name)
        if endpoint.leaving:
            self.mark_leaving(
                LeavingIncarnation(endpoint.name, endpoint.incarnation)
            )

    def remove(self, name: str) -> None:
        """Takes a deleted entry of the list; that it left is kept."""
        endpoint = self._endpoints.pop(name, None)
        if endpoint is None:
            return
        group = _group(endpoint)
        self._groups[group].discard(name)
        if not self._groups[group]:
            self._groups.pop(group)

    def mark_leaving(self, leaving: LeavingIncarnation) -> bool:
        """Starts the drain of an incarnation; returns whether it is news."""
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
        """Returns what to tell other instances, oldest first."""
        return tuple(self._leaving)

    def find(self, name: str) -> Endpoint | None:
        """Returns an endpoint, with `leaving` as it is known."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return None
        return endpoint._replace(leaving=self.is_leaving(endpoint))

    def all(self) -> tuple[Endpoint, ...]:
        """Returns every endpoint, with `leaving` as it is known."""
        return tuple(
            one._replace(leaving=self.is_leaving(one))
            for _, one in sorted(self._endpoints.items())
        )

    def available(
        self,
        service: str,
        data_centre: str,
    ) -> tuple[Endpoint, ...]:
        """Returns the endpoints that may receive new work, by name."""
        names = self._groups.get(EndpointGroup(service, data_centre), ())
        known = (self._endpoints[name] for name in sorted(names))
        return tuple(one for one in known if not self.is_leaving(one))

    def groups(self) -> tuple[EndpointGroup, ...]:
        """Returns the services and data centres that have endpoints."""
        return tuple(sorted(self._groups))


def _group(endpoint: Endpoint) -> EndpointGroup:
    return EndpointGroup(endpoint.service, endpoint.data_centre)

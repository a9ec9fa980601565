"""Load balancing of calls over the replicas of plain services."""

import random
import threading
import time
from collections.abc import Sequence

from cactusledge.models import Endpoint
from cactusledge.routing.policy import PolicySettings
from cactusledge.routing.services import ServiceBalancer


class ServiceBalancers:
    """Keeps one balancer per service; thread-safe."""

    def __init__(self, data_centre: str, policy: PolicySettings) -> None:
        """Creates a registry without balancers; `start` adds them."""
        self._data_centre = data_centre
        self._policy = policy
        self._balancers: dict[str, ServiceBalancer] = {}
        self._lock = threading.Lock()

    def start(self, service: str, replicas: Sequence[Endpoint]) -> Endpoint:
        """Returns the replica for a call and counts the call as running."""
        with self._lock:
            balancer = self._balancers.get(service)
            if balancer is None:
                balancer = ServiceBalancer(
                    self._data_centre,
                    self._policy,
                    random.Random(),
                )
                self._balancers[service] = balancer
            balancer.set_replicas(replicas)
            return balancer.start(time.monotonic())

    def finish(self, endpoint: Endpoint, *, ok: bool) -> None:
        """Records whether a call to a replica succeeded."""
        with self._lock:
            balancer = self._balancers.get(endpoint.service)
            if balancer is not None:
                balancer.finish(endpoint.name, time.monotonic(), ok=ok)

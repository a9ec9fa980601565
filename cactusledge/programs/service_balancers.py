"""Balances the calls of this instance over plain services' replicas."""

import random
import threading
import time
from collections.abc import Sequence

from cactusledge.models import Endpoint
from cactusledge.routing.policy import PolicySettings
from cactusledge.routing.services import ServiceBalancer


class ServiceBalancers:
    """One balancer a service; safe for use by many threads."""

    def __init__(self, data_centre: str, policy: PolicySettings) -> None:
        """Starts without services."""
        self._data_centre = data_centre
        self._policy = policy
        self._balancers: dict[str, ServiceBalancer] = {}
        self._lock = threading.Lock()

    def start(self, service: str, replicas: Sequence[Endpoint]) -> Endpoint:
        """Returns the replica for one call, and counts the call."""
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
        """Takes in how the call ended."""
        with self._lock:
            balancer = self._balancers.get(endpoint.service)
            if balancer is not None:
                balancer.finish(endpoint.name, time.monotonic(), ok=ok)

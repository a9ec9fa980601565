"""Load balancing over the replicas of a service, with outlier ejection."""

import random
from collections import Counter
from collections.abc import Sequence

from cactusledge.models import Endpoint
from cactusledge.routing.ejection import FAILURE_SLOWNESS, Ejector
from cactusledge.routing.errors import NoEngineError
from cactusledge.routing.policy import PolicySettings

SAMPLE_SIZE = 2
REMOTE_COST_FACTOR = 2  # a remote call in flight counts as two local ones
NO_REPLICA_RETRY_S = 1.0


class ServiceBalancer:
    """Picks from random replicas the one with the fewest calls in flight.

    Two local and two remote replicas are compared; local ones are preferred.
    """

    def __init__(
        self, data_centre: str, settings: PolicySettings, rng: random.Random
    ) -> None:
        """Initializes the balancer without replicas.

        Args:
            data_centre: Where this instance runs.
            settings: Limits of the ejection.
            rng: Source of the random choices.
        """
        self._data_centre = data_centre
        self._rng = rng
        self._replicas: dict[str, Endpoint] = {}
        self._in_flight: Counter[str] = Counter()
        self._ejector = Ejector(settings)

    def set_replicas(self, replicas: Sequence[Endpoint]) -> None:
        """Updates the replicas; a leaving one stays so until it is replaced."""
        wanted = {
            replica.name: self._with_sticky_leaving(replica)
            for replica in replicas
        }
        for name in self._replicas.keys() - wanted.keys():
            self._ejector.forget(name)
        self._replicas = wanted

    def mark_leaving(self, name: str) -> None:
        """Marks a replica as leaving because it refused a call as such."""
        replica = self._replicas.get(name)
        if replica is not None:
            self._replicas[name] = replica._replace(leaving=True)

    def start(self, now: float) -> Endpoint:
        """Selects a replica for a call and counts the call as in flight.

        Raises:
            NoEngineError: No replica accepts new calls.
        """
        accepting = [
            name
            for name, replica in self._replicas.items()
            if not replica.leaving
        ]
        if not accepting:
            raise NoEngineError(
                'The call was not run: no service replica accepts calls.',
                remedy='Retry when a replica is available.',
                retry_after_s=NO_REPLICA_RETRY_S,
            )
        chosen = self._choose(self._ejector.usable(accepting, now))
        self._in_flight[chosen] += 1
        return self._replicas[chosen]

    def finish(
        self, name: str, now: float, *, ok: bool, slowness: float = 1
    ) -> None:
        """Records the result of a call.

        Args:
            name: The replica.
            now: Current time in seconds.
            ok: Whether the replica answered.
            slowness: Latency as a multiple of the operation's typical one.
        """
        self._in_flight[name] = max(0, self._in_flight[name] - 1)
        if name in self._replicas:
            observed = slowness if ok else FAILURE_SLOWNESS
            self._ejector.observe(name, observed, now)

    def _choose(self, usable: list[str]) -> str:
        local = [name for name in usable if self._is_local(name)]
        remote = [name for name in usable if not self._is_local(name)]
        picked = self._sample(local) + self._sample(remote)
        return min(picked, key=self._cost)

    def _sample(self, names: list[str]) -> list[str]:
        return self._rng.sample(names, min(SAMPLE_SIZE, len(names)))

    def _cost(self, name: str) -> float:
        calls = self._in_flight[name] + 1
        return calls if self._is_local(name) else calls * REMOTE_COST_FACTOR

    def _is_local(self, name: str) -> bool:
        return self._replicas[name].data_centre == self._data_centre

    def _with_sticky_leaving(self, replica: Endpoint) -> Endpoint:
        known = self._replicas.get(replica.name)
        if known is None or known.incarnation != replica.incarnation:
            return replica
        return replica._replace(leaving=known.leaving or replica.leaving)

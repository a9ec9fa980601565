"""Outlier ejection of slow or failing endpoints."""

import statistics
from collections.abc import Iterable
from typing import NamedTuple

from cactusledge.routing.policy import PolicySettings

SMOOTHING = 0.2  # weight of the newest sample
HALF_LIFE_S = 60.0  # of the slowness of an endpoint without new samples
FAILURE_SLOWNESS = 10.0  # slowness recorded for a failed call


class Health(NamedTuple):
    """Latency of one endpoint relative to the expected latency."""

    slowness: float = 1.0
    samples: int = 0
    ejections: int = 0
    ejected_until_s: float = 0
    last_sample_s: float = 0


class Ejector:
    """Smoothed slowness per endpoint; at most half are ejected at once."""

    def __init__(self, settings: PolicySettings) -> None:
        """Initializes the ejector without samples."""
        self._settings = settings
        self._health: dict[str, Health] = {}

    def observe(self, endpoint: str, slowness: float, now: float) -> None:
        """Records a finished call and ejects the endpoint if it is an outlier.

        Args:
            endpoint: Name of the endpoint.
            slowness: Latency as a multiple of the expected latency.
            now: Current time in seconds.
        """
        health = self._health.get(endpoint, Health())
        weight = max(SMOOTHING, 1 / (health.samples + 1))
        health = health._replace(
            slowness=health.slowness + weight * (slowness - health.slowness),
            samples=health.samples + 1,
            last_sample_s=now,
        )
        self._health[endpoint] = health
        if health.ejected_until_s <= now and self._is_outlier(endpoint):
            self._eject(endpoint, now)

    def slowness(self, endpoint: str, now: float) -> float:
        """Returns the smoothed slowness; 1 for an unknown endpoint.

        It decays towards 1 with a half-life while there are no samples, so
        that an endpoint that was avoided is tried again.
        """
        health = self._health.get(endpoint, Health())
        idle_s = max(0, now - health.last_sample_s)
        weight: float = 0.5 ** (idle_s / HALF_LIFE_S)
        return 1 + weight * (health.slowness - 1)

    def usable(self, endpoints: Iterable[str], now: float) -> list[str]:
        """Returns the endpoints that may be used; at most half are ejected."""
        names = list(endpoints)
        limit = len(names) // 2
        ejected = [name for name in names if self._ejected_until_s(name) > now]
        ejected.sort(key=self._ejected_until_s, reverse=True)
        excluded = set(ejected[:limit])
        return [name for name in names if name not in excluded]

    def forget(self, endpoint: str) -> None:
        """Removes an endpoint that left or was replaced."""
        self._health.pop(endpoint, None)

    def _ejected_until_s(self, endpoint: str) -> float:
        return self._health.get(endpoint, Health()).ejected_until_s

    def _is_outlier(self, endpoint: str) -> bool:
        health = self._health[endpoint]
        others = [
            other.slowness
            for name, other in self._health.items()
            if name != endpoint and other.samples
        ]
        if health.samples < self._settings.ejection_samples or not others:
            return False
        bound = statistics.median(others) * self._settings.ejection_factor
        return health.slowness > bound

    def _eject(self, endpoint: str, now: float) -> None:
        health = self._health[endpoint]
        cfg = self._settings
        duration_s = cfg.ejection_s * 2**health.ejections
        self._health[endpoint] = Health(
            slowness=health.slowness,
            samples=0,
            ejections=health.ejections + 1,
            ejected_until_s=now + min(duration_s, cfg.max_ejection_s),
            last_sample_s=now,
        )

"""Common prefixes that should be computed on more engines."""

from typing import NamedTuple

from cactusledge.routing.cache_map import CacheMap
from cactusledge.routing.engines import EngineState
from cactusledge.routing.types import Job, Warm

HALF_LIFE_S = 10.0
HOT_STARTS = 4.0  # recent starts of programs with one common prefix


class HotPrefix(NamedTuple):
    """A common prefix and how much it is in demand."""

    prefix: tuple[int, ...]
    starts: float  # decayed count


class HotPrefixes:
    """Decayed starts of programs per common prefix."""

    def __init__(self) -> None:
        """Starts without prefixes."""
        self._hot: dict[int, HotPrefix] = {}
        self._decayed_s: float = 0

    def started(self, job: Job) -> None:
        """Counts a first turn."""
        common = job.prefix[: job.common_chunks]
        if common:
            known = self._hot.get(common[-1], HotPrefix(common, 0))
            starts = known.starts + 1
            self._hot[common[-1]] = HotPrefix(common, starts)

    def decay(self, now: float) -> None:
        """Lets past starts lose half of their weight in each half-life."""
        factor = 0.5 ** ((now - self._decayed_s) / HALF_LIFE_S)
        self._decayed_s = now
        self._hot = {
            last: hot._replace(starts=hot.starts * factor)
            for last, hot in self._hot.items()
            if hot.starts * factor > 1
        }

    def missing_on(
        self, engines: list[EngineState], cache: CacheMap, now: float
    ) -> list[Warm]:
        """Returns the hot prefixes that engines without a backlog lack."""
        idle = [engine for engine in engines if not engine.prefill_wait_s(now)]
        names = [engine.view.name for engine in idle]
        return [
            Warm(name, hot.prefix)
            for hot in self._hot.values()
            if hot.starts >= HOT_STARTS
            for name in names
            if not cache.cached_tokens(name, hot.prefix)
        ]

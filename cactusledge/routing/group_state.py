"""State of an engine group at its owner, without scheduling decisions."""

from collections.abc import Mapping, Sequence

from cactusledge.routing.admission import StartIntervalEstimator
from cactusledge.routing.cache_map import CacheMap
from cactusledge.routing.ejection import Ejector
from cactusledge.routing.engines import EngineState
from cactusledge.routing.estimates import WorkloadEstimates
from cactusledge.routing.live_programs import ProgramTable
from cactusledge.routing.policy import PolicySettings
from cactusledge.routing.queue import JobQueue
from cactusledge.routing.retry_budget import RetryBudget
from cactusledge.routing.shares import FairShares
from cactusledge.routing.types import EngineView


class GroupState:
    """Engines, queue, cache estimates and counters of one group."""

    def __init__(
        self, settings: PolicySettings, weights: Mapping[str, float]
    ) -> None:
        """Initializes the state without engines."""
        self.settings = settings
        self.engines: dict[str, EngineState] = {}
        self.granted: dict[str, str] = {}  # engine, by job id
        self._incarnations: dict[str, str] = {}  # last known, by engine
        self._leaving_incarnations: dict[str, str] = {}  # by engine
        self.queue = JobQueue(settings)
        self.cache = CacheMap()
        self.programs = ProgramTable()
        self.ejector = Ejector(settings)
        self.shares = FairShares(settings, weights)
        self.retries = RetryBudget(settings)
        self.start_intervals = StartIntervalEstimator()
        self.estimates = WorkloadEstimates()

    def set_engines(self, views: Sequence[EngineView]) -> None:
        """Updates the engines of the group.

        An engine that is no longer listed finishes its jobs and may be listed
        again. One marked as leaving gets no jobs until it returns as another
        incarnation.
        """
        wanted = {view.name: self._with_sticky_leaving(view) for view in views}
        for name, engine in list(self.engines.items()):
            self._update(engine, wanted.get(name))
        for added in wanted.keys() - self.engines.keys():
            self._add(wanted[added])
        slots = sum(
            known.view.limits.max_batch for known in self._accepting_engines()
        )
        self.retries.resize(slots)

    def usable(self, now: float) -> list[EngineState]:
        """Returns the engines that accept new jobs and are not ejected."""
        accepting = [engine.view.name for engine in self._accepting_engines()]
        if self.settings.eject:
            accepting = self.ejector.usable(accepting, now)
        return [self.engines[name] for name in accepting]

    def drop_if_idle(self, engine: EngineState) -> None:
        """Removes an engine that accepts no jobs once it has none running."""
        if not engine.accepts_jobs() and not engine.running:
            self._drop(engine.view.name)

    def _accepting_engines(self) -> list[EngineState]:
        return [
            known for known in self.engines.values() if known.accepts_jobs()
        ]

    def _with_sticky_leaving(self, view: EngineView) -> EngineView:
        if view.leaving:
            self._leaving_incarnations[view.name] = view.incarnation
        leaving = self._leaving_incarnations.get(view.name) == view.incarnation
        return view._replace(leaving=leaving)

    def _update(self, engine: EngineState, view: EngineView | None) -> None:
        engine.listed = view is not None
        if view is not None and view.incarnation != engine.view.incarnation:
            self._drop(view.name)
            return
        engine.view = view or engine.view
        self.drop_if_idle(engine)

    def _add(self, view: EngineView) -> None:
        if view.leaving:
            return
        known = self._incarnations.get(view.name, view.incarnation)
        if known != view.incarnation:
            self.programs.mark_caches_lost(view.name)
        self._incarnations[view.name] = view.incarnation
        self.engines[view.name] = EngineState(view)
        self.cache.add_engine(view.name, view.limits.kv_tokens)

    def _drop(self, name: str) -> None:
        engine = self.engines.pop(name)
        for job_id in engine.running:
            self.granted.pop(job_id)
        self.cache.remove_engine(name)
        self.ejector.forget(name)

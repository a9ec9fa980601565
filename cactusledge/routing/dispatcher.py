"""Actor that runs the schedulers of the groups owned by this instance."""

import time
from collections.abc import Callable, Iterable, Sequence
from typing import TypeAlias

import pykka

from cactusledge.models import Endpoint
from cactusledge.routing import errors, types
from cactusledge.routing.policy import GroupPolicy, PolicySettings
from cactusledge.routing.scheduler import GroupScheduler

GrantFuture: TypeAlias = pykka.Future[types.Grant]
ReleaseHandler: TypeAlias = Callable[[types.CacheRelease], None]
Clock: TypeAlias = Callable[[], float]


class Dispatcher(pykka.ThreadingActor):
    """Queues jobs and resolves their futures; never blocks.

    Messages are sent by `DispatcherClient`. `on_release` receives each cache
    release; it must hand it to a worker and return at once.
    """

    def __init__(
        self,
        owner: str,
        settings: PolicySettings,
        on_release: ReleaseHandler,
        clock: Clock = time.time,
    ) -> None:
        """Initializes the actor without groups."""
        super().__init__()
        self._owner = owner
        self._settings = settings
        self._on_release = on_release
        self._clock = clock
        self._groups: dict[types.GroupKey, GroupScheduler] = {}
        self._futures: dict[types.GroupKey, dict[str, GrantFuture]] = {}

    def on_stop(self) -> None:
        """Refuses every queued job before the actor stops."""
        for key in list(self._groups):
            self.drop_group(key)

    def set_engines(
        self,
        key: types.GroupKey,
        endpoints: Sequence[Endpoint],
        limits: types.EngineLimits,
        policy: GroupPolicy | None = None,
    ) -> None:
        """Takes over a group, or updates its engines and policy."""
        if key not in self._groups:
            self._groups[key] = GroupScheduler(key, self._settings)
            self._futures[key] = {}
        if policy is not None:
            self._groups[key].set_policy(policy)
        views = [
            types.EngineView(
                endpoint.name, limits, endpoint.incarnation, endpoint.leaving
            )
            for endpoint in endpoints
        ]
        self._apply(key, self._groups[key].set_engines(views, self._clock()))

    def drop_group(self, key: types.GroupKey) -> None:
        """Drops a group and refuses its queued jobs as not run."""
        self._groups.pop(key, None)
        for future in self._futures.pop(key, {}).values():
            _fail(future, errors.stopping_error())

    def submit(
        self, key: types.GroupKey, job: types.Job, future: GrantFuture
    ) -> None:
        """Queues a job; its future is resolved by a grant or a refusal."""
        group = self._groups.get(key)
        if group is None:
            _fail(future, errors.stopping_error())
            return
        self._futures[key][job.job_id] = future
        self._apply(key, group.submit(job, self._clock()))

    def cancel(self, key: types.GroupKey, job_id: str) -> None:
        """Cancels a queued job or returns an unused grant."""
        group = self._groups.get(key)
        if group is not None:
            future = self._futures[key].pop(job_id, None)
            if future is not None:
                _fail(future, errors.stopping_error())
            self._apply(key, group.cancel(job_id, self._clock()))

    def finish(self, key: types.GroupKey, result: types.JobResult) -> None:
        """Records the result of a granted job."""
        group = self._groups.get(key)
        if group is not None:
            self._apply(key, group.finish(result, self._clock()))

    def report(self, key: types.GroupKey, report: types.EngineReport) -> None:
        """Applies an engine's load report."""
        group = self._groups.get(key)
        if group is not None:
            self._apply(key, group.report(report, self._clock()))

    def cache_event(self, key: types.GroupKey, event: types.CacheEvent) -> None:
        """Applies a change of an engine's prefix cache."""
        group = self._groups.get(key)
        if group is not None:
            group.cache_event(event)

    def program_paused(
        self, key: types.GroupKey, program_id: str, pause_s: float
    ) -> None:
        """Records that a program is waiting for a tool."""
        group = self._groups.get(key)
        if group is not None:
            now = self._clock()
            self._apply(key, group.program_paused(program_id, pause_s, now))

    def program_ended(self, key: types.GroupKey, program_id: str) -> None:
        """Removes a program and releases its cache."""
        group = self._groups.get(key)
        if group is not None:
            self._apply(key, group.program_ended(program_id, self._clock()))

    def tick(self) -> None:
        """Expires jobs, grants and idle programs in all groups."""
        for key, group in self._groups.items():
            self._apply(key, group.tick(self._clock()))

    def summaries(self) -> list[types.GroupSummary]:
        """Returns the load summaries of all groups for other instances."""
        now = self._clock()
        return [
            group.summary(self._owner, now) for group in self._groups.values()
        ]

    def _apply(
        self, key: types.GroupKey, effects: Iterable[types.Effect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, types.CacheRelease):
                self._on_release(effect)
                continue
            future = self._futures[key].pop(effect.job_id, None)
            if future is not None:
                _resolve(future, effect)


def _resolve(future: GrantFuture, effect: types.Grant | types.Refusal) -> None:
    if isinstance(effect, types.Grant):
        future.set(effect)
        return
    _fail(future, errors.refusal_error(effect))


def _fail(future: GrantFuture, exc: errors.OverloadedError) -> None:
    future.set_exception((type(exc), exc, None))

"""Scheduler of one engine group, without I/O or a clock of its own."""

from collections.abc import Mapping, Sequence

from cactusledge.routing import state_updates, types
from cactusledge.routing.assignment import assign_jobs
from cactusledge.routing.group_state import GroupState
from cactusledge.routing.policy import GroupPolicy, PolicySettings


class GroupScheduler:
    """Schedules jobs on the engines of one group.

    Each method takes the current time and returns the effects that the
    caller must carry out: grants, refusals and cache releases.
    """

    def __init__(
        self,
        key: types.GroupKey,
        settings: PolicySettings,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        """Initializes the scheduler without engines.

        Args:
            key: Key of the group.
            settings: Weights and limits of the policy.
            weights: Share weights of the accounts; 1 if absent.
        """
        self.key = key
        self._settings = settings
        self._state = GroupState(settings, weights or {})

    def set_engines(
        self, views: Sequence[types.EngineView], now: float
    ) -> list[types.Effect]:
        """Updates the group's engines; leaving ones get no new jobs."""
        self._state.set_engines(views)
        return assign_jobs(self._state, now)

    def set_policy(self, policy: GroupPolicy) -> None:
        """Replaces the policy settings and the accounts' share weights."""
        self._settings = policy.settings
        self._state.settings = policy.settings
        self._state.shares.set_weights(policy.shares)

    def submit(self, job: types.Job, now: float) -> list[types.Effect]:
        """Queues a job or refuses it immediately."""
        refusal = state_updates.find_refusal(self._state, job, now)
        if refusal is not None:
            return [refusal]
        self._state.queue.add(job)
        return assign_jobs(self._state, now)

    def cancel(self, job_id: str, now: float) -> list[types.Effect]:
        """Cancels a queued job or returns an unused grant."""
        if self._state.queue.remove(job_id) is None:
            state_updates.end_grant(self._state, job_id)
        return assign_jobs(self._state, now)

    def finish(self, result: types.JobResult, now: float) -> list[types.Effect]:
        """Records the result of a granted job."""
        running = state_updates.end_grant(self._state, result.job_id)
        if running is not None:
            state_updates.record_result(self._state, running, result, now)
        return assign_jobs(self._state, now)

    def report(
        self, report: types.EngineReport, now: float
    ) -> list[types.Effect]:
        """Applies a load report; ends old grants if the engine is idle."""
        engine = self._state.engines.get(report.engine)
        sequences = report.running + report.waiting
        if engine is not None:
            engine.apply_report(sequences)
        if engine is not None and not sequences:
            cutoff_s = report.timestamp_s - self._settings.idle_grant_timeout_s
            state_updates.expire_grants(self._state, engine, cutoff_s)
        return assign_jobs(self._state, now)

    def cache_event(self, event: types.CacheEvent) -> None:
        """Applies a change of an engine's prefix cache."""
        if self._settings.learn_events:
            self._state.cache.apply_event(event)

    def program_paused(
        self, program_id: str, pause_s: float, now: float
    ) -> list[types.Effect]:
        """Records that a program waits for a tool for about `pause_s`."""
        program = self._state.programs.get(program_id)
        if program is None:
            return []
        program = program._replace(
            last_seen_s=now, expected_resume_s=now + pause_s
        )
        self._state.programs.put(program)
        if not self._settings.retain:
            return []
        return state_updates.release_paused(self._state, program.engine, now)

    def program_ended(self, program_id: str, now: float) -> list[types.Effect]:
        """Removes a program and releases its cache."""
        effects = state_updates.end_program(self._state, program_id)
        return effects + assign_jobs(self._state, now)

    def tick(self, now: float) -> list[types.Effect]:
        """Expires jobs, grants and idle programs; to be called every second."""
        state = self._state
        cutoff_s = now - self._settings.max_grant_age_s
        state.shares.decay(now)
        for engine in list(state.engines.values()):
            state_updates.expire_grants(state, engine, cutoff_s)
        effects: list[types.Effect] = []
        for program in state.programs.idle_since(cutoff_s):
            effects.extend(state_updates.end_program(state, program.program_id))
        for job in state.queue.expired(now):
            state.queue.remove(job.job_id)
            effects.append(
                types.Refusal(job.job_id, 0, types.RefusalReason.DEADLINE)
            )
        return effects + assign_jobs(state, now)

    def wait_s(self, now: float) -> float:
        """Returns the expected wait of a new program."""
        return state_updates.new_program_wait_s(self._state, now)

    def summary(self, owner: str, now: float) -> types.GroupSummary:
        """Returns the load summary of the group for other instances."""
        state = self._state
        usable = state.usable(now)
        slowness = [
            state.ejector.slowness(eng.view.name, now) for eng in usable
        ]
        return types.GroupSummary(
            key=self.key,
            owner=owner,
            slots=sum(engine.view.limits.max_batch for engine in usable),
            running=sum(len(engine.running) for engine in usable),
            waiting=len(state.queue),
            wait_s=self.wait_s(now),
            slowness=sum(slowness) / max(1, len(slowness)),
            timestamp_s=now,
        )

"""The queue and the placement of one engine group, without I/O or clock."""

from collections.abc import Mapping, Sequence

from cactusledge.routing import state_updates, types
from cactusledge.routing.assignment import assign_jobs
from cactusledge.routing.group_state import GroupState
from cactusledge.routing.policy import GroupPolicy, PolicySettings


class GroupScheduler:
    """Decides for the engines of one data centre and one model.

    Every input carries the current time and returns the effects to carry
    out: grants, refusals and cache releases.
    """

    def __init__(
        self,
        key: types.GroupKey,
        settings: PolicySettings,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        """Starts without engines.

        Args:
            key: Name of the group.
            settings: Weights and bounds of the decisions.
            weights: Shares of the accounts; 1 for those not named.
        """
        self.key = key
        self._settings = settings
        self._state = GroupState(settings, weights or {})

    def set_engines(
        self, views: Sequence[types.EngineView], now: float
    ) -> list[types.Effect]:
        """Takes the group's engines; leaving ones get no new jobs."""
        self._state.set_engines(views)
        return assign_jobs(self._state, now)

    def set_policy(self, policy: GroupPolicy) -> None:
        """Takes other prices of the placement, and the accounts' shares."""
        self._settings = policy.settings
        self._state.settings = policy.settings
        self._state.shares.set_weights(policy.shares)

    def submit(self, job: types.Job, now: float) -> list[types.Effect]:
        """Queues a job, or refuses it at once."""
        refusal = state_updates.find_refusal(self._state, job, now)
        if refusal is not None:
            return [refusal]
        self._state.queue.add(job)
        return assign_jobs(self._state, now)

    def cancel(self, job_id: str, now: float) -> list[types.Effect]:
        """Takes back a job that waits, or a grant that was not used."""
        if self._state.queue.remove(job_id) is None:
            state_updates.end_grant(self._state, job_id)
        return assign_jobs(self._state, now)

    def finish(self, finish: types.JobResult, now: float) -> list[types.Effect]:
        """Takes in how a granted job ended."""
        running = state_updates.end_grant(self._state, finish.job_id)
        if running is not None:
            state_updates.record_result(self._state, running, finish, now)
        return assign_jobs(self._state, now)

    def report(
        self, report: types.EngineReport, now: float
    ) -> list[types.Effect]:
        """Takes an engine's report; ends grants that the engine lost."""
        engine = self._state.engines.get(report.engine)
        sequences = report.running + report.waiting
        if engine is not None:
            engine.apply_report(sequences)
        if engine is not None and not sequences:
            cutoff_s = report.timestamp_s - self._settings.idle_grant_timeout_s
            state_updates.expire_grants(self._state, engine, cutoff_s)
        return assign_jobs(self._state, now)

    def cache_event(self, event: types.CacheEvent) -> None:
        """Takes a change of an engine's cache in."""
        if self._settings.learn_events:
            self._state.cache.apply_event(event)

    def program_paused(
        self, program_id: str, pause_s: float, now: float
    ) -> list[types.Effect]:
        """Takes in that a program waits for a tool for about `pause_s`."""
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
        """Forgets a program and frees its cache."""
        effects = state_updates.end_program(self._state, program_id)
        return effects + assign_jobs(self._state, now)

    def tick(self, now: float) -> list[types.Effect]:
        """Ends what has passed its time; call it about once a second."""
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
        """Returns the group's load for other instances."""
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

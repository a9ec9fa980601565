"""The queue and the placement of one engine group, without I/O or clock."""

from collections.abc import Mapping, Sequence

from cactusledge.routing import types, upkeep
from cactusledge.routing.dispatch import serve
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
        return serve(self._state, now)

    def set_policy(self, policy: GroupPolicy) -> None:
        """Takes other prices of the placement, and the accounts' shares."""
        self._settings = policy.settings
        self._state.settings = policy.settings
        self._state.shares.set_weights(policy.shares)

    def submit(self, job: types.Job, now: float) -> list[types.Effect]:
        """Queues a job, or refuses it at once."""
        refusal = upkeep.refusal(self._state, job, now)
        if refusal is not None:
            return [refusal]
        self._state.queue.add(job)
        return serve(self._state, now)

    def cancel(self, job_id: str, now: float) -> list[types.Effect]:
        """Takes back a job that waits, or a grant that was not used."""
        if self._state.queue.remove(job_id) is None:
            upkeep.stop(self._state, job_id)
        return serve(self._state, now)

    def finish(self, finish: types.Finish, now: float) -> list[types.Effect]:
        """Takes in how a granted job ended."""
        running = upkeep.stop(self._state, finish.job_id)
        if running is not None:
            upkeep.learn(self._state, running, finish, now)
        return serve(self._state, now)

    def report(
        self, report: types.EngineReport, now: float
    ) -> list[types.Effect]:
        """Takes an engine's report; ends grants that the engine lost."""
        engine = self._state.engines.get(report.engine)
        sequences = report.running + report.waiting
        if engine is not None:
            engine.reported(sequences)
        if engine is not None and not sequences:
            idle_s = report.taken_s - self._settings.grant_grace_s
            upkeep.expire(self._state, engine, idle_s)
        return serve(self._state, now)

    def cache_event(self, event: types.CacheEvent) -> None:
        """Takes a change of an engine's cache in."""
        if self._settings.learn_events:
            self._state.cache.apply(event)

    def program_paused(
        self, program_id: str, pause_s: float, now: float
    ) -> list[types.Effect]:
        """Takes in that a program waits for a tool for about `pause_s`."""
        program = self._state.programs.get(program_id)
        if program is None:
            return []
        program = program._replace(seen_s=now, returns_s=now + pause_s)
        self._state.programs.put(program)
        if not self._settings.retain:
            return []
        return upkeep.release_paused(self._state, program.engine, now)

    def program_ended(self, program_id: str, now: float) -> list[types.Effect]:
        """Forgets a program and frees its cache."""
        effects = upkeep.end_program(self._state, program_id)
        return effects + serve(self._state, now)

    def tick(self, now: float) -> list[types.Effect]:
        """Ends what has passed its time; call it about once a second."""
        state = self._state
        silent_s = now - self._settings.grant_bound_s
        state.shares.decay(now)
        for engine in list(state.engines.values()):
            upkeep.expire(state, engine, silent_s)
        effects: list[types.Effect] = []
        for program in state.programs.idle_since(silent_s):
            effects.extend(upkeep.end_program(state, program.program_id))
        for job in state.queue.expired(now):
            state.queue.remove(job.job_id)
            effects.append(
                types.Refusal(job.job_id, 0, types.RefusalReason.DEADLINE)
            )
        return effects + serve(state, now)

    def wait_s(self, now: float) -> float:
        """Returns the expected wait of a new program."""
        return upkeep.new_program_wait_s(self._state, now)

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
            taken_s=now,
        )

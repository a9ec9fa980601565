"""Runs the product's schedulers and group choice under the benchmark."""

from collections.abc import Sequence

from benchmarks.baselines import Member
from cactusledge.routing import types
from cactusledge.routing.group_selection import CallOrigin, rank_groups
from cactusledge.routing.policy import PolicySettings
from cactusledge.routing.scheduler import GroupScheduler

GOSSIP_S = 0.5  # age at which a summary is replaced
NO_ENGINE_RETRY_S = 1.0


class ScheduledRouter:
    """Drivers and group owners in one, with summaries that lag."""

    def __init__(
        self, settings: PolicySettings, limits: types.EngineLimits
    ) -> None:
        """Starts without groups."""
        self._settings = settings
        self._limits = limits
        self._groups: dict[types.GroupKey, GroupScheduler] = {}
        self._summaries: dict[types.GroupKey, types.GroupSummary] = {}
        self._homes: dict[str, types.GroupKey] = {}
        self._jobs: dict[str, types.GroupKey] = {}
        self._engines: dict[str, types.GroupKey] = {}
        self._cut = ''

    def membership(
        self, members: Sequence[Member], cut: str, now: float
    ) -> list[types.Effect]:
        """Takes the engines in, and which data centre is cut off."""
        self._cut = cut
        effects: list[types.Effect] = []
        places = {member.data_centre for member in members}
        for data_centre in sorted(places):
            key = types.GroupKey(data_centre, 'model')
            group = self._groups.setdefault(
                key, GroupScheduler(key, self._settings)
            )
            views = [
                types.EngineView(
                    member.name, self._limits, leaving=member.leaving
                )
                for member in members
                if member.data_centre == data_centre
            ]
            self._engines.update((view.name, key) for view in views)
            effects.extend(group.set_engines(views, now))
        self._refresh(now, oldest_s=now)
        return effects

    def submit(
        self, job: types.Job, data_centre: str, now: float
    ) -> list[types.Effect]:
        """Asks the best group; a refused new program asks one more."""
        self._refresh(now, oldest_s=now - GOSSIP_S)
        reason = types.RefusalReason.NO_ENGINE
        effects: list[types.Effect] = [
            types.Refusal(job.job_id, NO_ENGINE_RETRY_S, reason)
        ]
        for key in self._ranked(job, data_centre)[:2]:
            effects = self._ask(key, job, now)
            if not self._refused(job, effects):
                return effects
        return effects

    def cancel(self, job_id: str, now: float) -> list[types.Effect]:
        """Takes a call back."""
        key = self._jobs.pop(job_id, None)
        return self._groups[key].cancel(job_id, now) if key else []

    def finish(self, finish: types.JobResult, now: float) -> list[types.Effect]:
        """Takes in how a call ended."""
        key = self._jobs.pop(finish.job_id, None)
        return self._groups[key].finish(finish, now) if key else []

    def paused(
        self, program_id: str, pause_s: float, now: float
    ) -> list[types.Effect]:
        """Takes in that a program waits for a tool."""
        key = self._homes.get(program_id)
        if key is None:
            return []
        return self._groups[key].program_paused(program_id, pause_s, now)

    def ended(self, program_id: str, now: float) -> list[types.Effect]:
        """Takes in that a program has ended."""
        key = self._homes.pop(program_id, None)
        return self._groups[key].program_ended(program_id, now) if key else []

    def report(
        self, report: types.EngineReport, now: float
    ) -> list[types.Effect]:
        """Takes an engine's lagging report in."""
        return self._groups[self._engines[report.engine]].report(report, now)

    def cache_event(self, event: types.CacheEvent) -> None:
        """Takes an engine's late cache event in."""
        self._groups[self._engines[event.engine]].cache_event(event)

    def tick(self, now: float) -> list[types.Effect]:
        """Acts on the passing of time."""
        effects: list[types.Effect] = []
        for group in self._groups.values():
            effects.extend(group.tick(now))
        return effects

    def _ranked(self, job: types.Job, data_centre: str) -> list[types.GroupKey]:
        home = self._homes.get(job.program_id)
        asker = CallOrigin(
            job.program_id,
            data_centre,
            home,
            job.prompt_tokens / self._limits.prefill_tokens_s,
        )
        on_side = [
            summary
            for key, summary in self._summaries.items()
            if (key.data_centre == self._cut) == (data_centre == self._cut)
        ]
        return rank_groups(asker, on_side)

    def _ask(
        self, key: types.GroupKey, job: types.Job, now: float
    ) -> list[types.Effect]:
        home = self._homes.get(job.program_id)
        effects = self._groups[key].submit(job, now)
        if self._refused(job, effects):
            return effects
        self._jobs[job.job_id] = key
        self._homes[job.program_id] = key
        if home is not None and home != key:
            left = self._groups[home].program_ended(job.program_id, now)
            effects.extend(left)
        return effects

    def _refused(self, job: types.Job, effects: list[types.Effect]) -> bool:
        return any(
            isinstance(effect, types.Refusal) and effect.job_id == job.job_id
            for effect in effects
        )

    def _refresh(self, now: float, oldest_s: float) -> None:
        for key, group in self._groups.items():
            known = self._summaries.get(key)
            if known is None or known.timestamp_s <= oldest_s:
                self._summaries[key] = group.summary('', now)

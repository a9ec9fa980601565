"""Callers of one run of the policy benchmark."""

import random
from collections.abc import Callable, Iterable
from typing import Any

from benchmarks.baselines import Router
from benchmarks.fake_engines import FakeCall
from benchmarks.policy_cases import Case, Fault
from benchmarks.policy_clock import Clock
from benchmarks.policy_tally import Tally
from benchmarks.policy_walk import Walk
from benchmarks.policy_world import LIST_LAG_S, World
from benchmarks.workloads import Program, User
from cactusledge.models import Usage
from cactusledge.routing import types

TICK_S = 1.0
BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
LOST_SEND_S = 1.0  # until a send to an unreachable engine fails
NETWORK_S = 0.002


class Run:  # noqa: WPS214  one method for each event
    """One policy, one case, one load, one seed."""

    def __init__(
        self,
        user: User,
        case: Case,
        router: Router,
        seed: int,
        *,
        perfect_caches: bool = False,
    ) -> None:
        """Prepares the engines and the faults."""
        self.tally = Tally()
        self._router = router
        self._rng = random.Random(seed)
        self._clock = Clock()
        self._world = World(user, self._clock, self._answered, seed)
        if perfect_caches:
            self._world.make_caches_perfect()
        self._walks: dict[str, Walk] = {}
        self._handlers: dict[type, Callable[[Any], None]] = {
            types.Grant: self._grant,
            types.Refusal: self._refuse,
            types.CacheRelease: self._release,
        }
        self._tell_members()
        self._clock.after(TICK_S, self._tick)
        for fault in case.faults(user):
            self._clock.at(fault.at_s, self._fault, fault)

    def run(self, programs: Iterable[Program]) -> Tally:
        """Runs to the last deadline and returns the tally."""
        end_s: float = 0
        for program in programs:
            self._clock.at(program.arrives_s, self._arrive, program)
            end_s = max(end_s, program.deadline_s + 1)
        self._clock.run(end_s)
        for engine in self._world.engines.values():
            engine.advance(self._clock.now)
            self.tally.add_engine(engine.counters)
        return self.tally

    def _arrive(self, program: Program) -> None:
        walk = Walk(program)
        self._clock.at(program.deadline_s, self._give_up, walk)
        self._ask(walk)

    def _ask(self, walk: Walk) -> None:
        if walk.over:
            return
        now = self._clock.now
        job = walk.next_job(now)
        self._walks[job.job_id] = walk
        place = walk.program.data_centre
        self._apply(self._router.submit(job, place, now))

    def _apply(self, effects: list[types.Effect]) -> None:
        for effect in effects:
            self._handlers[type(effect)](effect)

    def _grant(self, grant: types.Grant) -> None:
        walk = self._walks.get(grant.job_id)
        if walk is None:
            return
        walk.engine = grant.engine
        walk.sent_s = self._clock.now
        engine = self._world.engines[grant.engine]
        if self._world.reaches(walk.program.data_centre, engine):
            self._world.send(engine, walk.call())
            return
        self._clock.after(LOST_SEND_S, self._failed, grant.job_id)

    def _refuse(self, refusal: types.Refusal) -> None:
        walk = self._walks.pop(refusal.job_id, None)
        if walk is None:
            return
        self.tally.refused(self._clock.now - walk.asked_s)
        if refusal.reason is not types.RefusalReason.DEADLINE:
            wait_s = max(refusal.retry_after_s, BACKOFF_S)
            self._clock.after(wait_s, self._ask, walk)

    def _release(self, release: types.CacheRelease) -> None:
        engine = self._world.engines[release.engine]
        engine.advance(self._clock.now)
        engine.cache.release(int(release.program_id[1:]))

    def _failed(self, job_id: str) -> None:
        walk = self._walks.pop(job_id, None)
        if walk is None:
            return
        walk.failures += 1
        now = self._clock.now
        finish = types.JobResult(job_id, Usage(), False, now - walk.sent_s)
        self._apply(self._router.finish(finish, now))
        longest_s = min(MAX_BACKOFF_S, BACKOFF_S * 2**walk.failures)
        wait_s = self._rng.uniform(longest_s / 2, longest_s)
        self._clock.after(wait_s, self._ask, walk)

    def _answered(self, call: FakeCall, usage: Usage) -> None:
        walk = self._walks.pop(call.call_id, None)
        if walk is None:
            return
        now = self._clock.now
        latency_s = now - walk.sent_s + NETWORK_S
        finish = types.JobResult(call.call_id, usage, True, latency_s)
        self._apply(self._router.finish(finish, now))
        turn = walk.pass_turn()
        if walk.is_complete():
            self.tally.finished(walk.program, now)
            self._end(walk)
            return
        program_id = walk.program.program_id
        pause_s = turn.pause_estimate_s
        self._apply(self._router.paused(program_id, pause_s, now))
        self._clock.after(turn.pause_s, self._ask, walk)

    def _give_up(self, walk: Walk) -> None:
        if walk.over:
            return
        self.tally.lost(walk.program)
        waits = self._walks.pop(walk.job_id, None) is not None
        if waits and walk.engine:
            engine = self._world.engines[walk.engine]
            self._world.cancel(engine, walk.job_id)
        if waits:
            self._apply(self._router.cancel(walk.job_id, self._clock.now))
        self._end(walk)

    def _end(self, walk: Walk) -> None:
        walk.over = True
        self._world.program_ended(walk.program.number)
        program_id = walk.program.program_id
        self._apply(self._router.ended(program_id, self._clock.now))

    def _tick(self) -> None:
        self._apply(self._router.tick(self._clock.now))
        self._world.publish(self._router, self._reported)
        self._clock.after(TICK_S, self._tick)

    def _reported(self, report: types.EngineReport) -> None:
        self._apply(self._router.report(report, self._clock.now))

    def _tell_members(self) -> None:
        members = list(self._world.members.values())
        cut = self._world.cut
        self._apply(self._router.membership(members, cut, self._clock.now))

    def _fault(self, fault: Fault) -> None:
        failed = self._world.carry_out(fault)
        for job_id in failed + self._out_of_reach():
            self._failed(job_id)
        self._clock.after(LIST_LAG_S, self._tell_members)

    def _out_of_reach(self) -> list[str]:
        lost = []
        for job_id, walk in self._walks.items():
            engine = self._world.engines.get(walk.engine)
            place = walk.program.data_centre
            if engine is None or self._world.reaches(place, engine):
                continue
            self._world.cancel(engine, job_id)
            lost.append(job_id)
        return lost

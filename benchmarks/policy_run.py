"""Event loop of the policy benchmark under a fake clock."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from benchmarks.baselines import Member, Router
from benchmarks.fake_engines import FakeCall, FakeEngine
from benchmarks.policy_cases import Case, Fault
from benchmarks.policy_tally import Tally
from benchmarks.workloads import Program, Turn, User
from cactusledge.models import Usage
from cactusledge.routing import types

LIST_LAG_S = 2.0  # of the platform's list of engines
REPORT_EVERY_S = 1.0
REPORT_LAG_S = 1.0
EVENT_LAG_S = 1.5
EVENT_LOSS = 0.1
TICK_S = 1.0
BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
LOST_SEND_S = 1.0  # until a send to an unreachable engine fails
SLOW_SPEED = 0.25
NETWORK_S = 0.002
MAX_OUTPUT_TOKENS = 256


class Walk:
    """A program under way and its caller."""

    def __init__(self, program: Program) -> None:
        """Starts before the first turn."""
        self.program = program
        self.turn = 0
        self.attempt = 0
        self.failures = 0
        self.job_id = ''
        self.engine = ''
        self.sent_s = 0.0
        self.asked_s = 0.0
        self.over = False

    def current(self) -> Turn:
        """Returns the turn that runs or comes next."""
        return self.program.turns[self.turn]


class Run:
    """One policy, one case, one load, one seed."""

    def __init__(
        self, user: User, case: Case, router: Router, programs: list[Program],
        seed: int,
    ) -> None:  # fmt: skip
        """Prepares engines and arrivals."""
        self.tally = Tally()
        self._router = router
        self._limits = user.limits
        self._rng = random.Random(seed)
        self._heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()
        self._stamps: dict[str, int] = {}
        self._walks: dict[str, Walk] = {}
        self._cut = ''
        self._now = 0.0
        self._sequence = 0
        ever: set[int] = set()
        self.engines = {
            f'e{index}': FakeEngine(f'e{index}', place, user.limits, ever)
            for index, place in enumerate(user.engines)
        }
        self._members = {
            name: Member(name, engine.data_centre)
            for name, engine in self.engines.items()
        }
        self._tell_members()
        for program in programs:
            self._at(program.arrives_s, self._arrive, program)
        for fault in case.faults(user):
            self._at(fault.at_s, self._fault, fault)
        self._at(TICK_S, self._tick, None)
        self._end_s = max(program.deadline_s for program in programs) + 1

    def run(self) -> Tally:
        """Runs to the last deadline and returns the tally."""
        while self._heap and self._heap[0][0] < self._end_s:
            self._now, _, action, argument = heapq.heappop(self._heap)
            action(argument)
        for engine in self.engines.values():
            engine.advance(self._now)
            self.tally.add_engine(engine.counters)
        return self.tally

    def _at(self, at_s: float, action: Callable[..., None], arg: Any) -> None:
        heapq.heappush(self._heap, (at_s, next(self._order), action, arg))

    def _arrive(self, program: Program) -> None:
        walk = Walk(program)
        self._at(program.deadline_s, self._give_up, walk)
        self._ask(walk)

    def _ask(self, walk: Walk) -> None:
        if walk.over:
            return
        walk.attempt += 1
        walk.job_id = f'{walk.program.program_id}/{walk.turn}/{walk.attempt}'
        walk.engine = ''
        walk.asked_s = self._now
        self._walks[walk.job_id] = walk
        self._apply(
            self._router.submit(
                _job(walk, self._now), walk.program.data_centre, self._now
            )
        )

    def _apply(self, effects: list[types.Effect]) -> None:
        for effect in effects:
            _HANDLERS[type(effect)](self, effect)

    def _grant(self, grant: types.Grant) -> None:
        walk = self._walks.get(grant.job_id)
        if walk is None:
            return
        walk.engine = grant.engine
        walk.sent_s = self._now
        engine = self.engines[grant.engine]
        cut_off = (engine.data_centre == self._cut) != (
            walk.program.data_centre == self._cut
        )
        if engine.down or cut_off:
            self._at(self._now + LOST_SEND_S, self._failed, grant.job_id)
            return
        engine.submit(_call(walk), self._now)
        self._watch(engine)

    def _refuse(self, refusal: types.Refusal) -> None:
        walk = self._walks.pop(refusal.job_id, None)
        if walk is None:
            return
        self.tally.refused(self._now - walk.asked_s)
        wait_s = max(refusal.retry_after_s, BACKOFF_S)
        self._at(self._now + wait_s, self._ask, walk)

    def _release(self, release: types.CacheRelease) -> None:
        engine = self.engines[release.engine]
        engine.advance(self._now)
        engine.cache.release(int(release.program_id[1:]))

    def _warm(self, warm: types.Warm) -> None:
        engine = self.engines[warm.engine]
        tokens = len(warm.prefix) * 256
        name = f'warm-{warm.prefix[-1]}-{self._now}'
        engine.submit(
            FakeCall(name, warm.prefix, warm.prefix, tokens, 1), self._now
        )
        self._watch(engine)

    def _failed(self, job_id: str) -> None:
        walk = self._walks.pop(job_id, None)
        if walk is None:
            return
        walk.failures += 1
        finish = types.Finish(job_id, Usage(), False, self._now - walk.sent_s)
        self._apply(self._router.finish(finish, self._now))
        longest_s = min(MAX_BACKOFF_S, BACKOFF_S * 2**walk.failures)
        wait_s = self._rng.uniform(longest_s / 2, longest_s)
        self._at(self._now + wait_s, self._ask, walk)

    def _watch(self, engine: FakeEngine) -> None:
        stamp = next(self._order)
        self._stamps[engine.name] = stamp
        at_s = engine.next_event_s()
        if at_s < self._end_s:
            self._at(at_s, self._engine_event, (engine, stamp))

    def _engine_event(self, arg: tuple[FakeEngine, int]) -> None:
        engine, stamp = arg
        if self._stamps[engine.name] != stamp:
            return
        finished = engine.collect(self._now)
        self._watch(engine)
        for call, usage in finished:
            self._answered(call, usage)

    def _answered(self, call: FakeCall, usage: Usage) -> None:
        walk = self._walks.pop(call.call_id, None)
        if walk is None:
            return
        latency_s = self._now - walk.sent_s + NETWORK_S
        finish = types.Finish(call.call_id, usage, True, latency_s)
        self._apply(self._router.finish(finish, self._now))
        turn = walk.current()
        walk.turn += 1
        walk.failures = 0
        if walk.turn == len(walk.program.turns):
            self._end(walk)
            self.tally.finished(walk.program, self._now)
            return
        effects = self._router.paused(
            walk.program.program_id, turn.pause_estimate_s, self._now
        )
        self._apply(effects)
        self._at(self._now + turn.pause_s, self._ask, walk)

    def _give_up(self, walk: Walk) -> None:
        if walk.over:
            return
        self.tally.lost(walk.program)
        if self._walks.pop(walk.job_id, None) is not None:
            if walk.engine:
                engine = self.engines[walk.engine]
                engine.cancel(walk.job_id, self._now)
                self._watch(engine)
            self._apply(self._router.cancel(walk.job_id, self._now))
        self._end(walk)

    def _end(self, walk: Walk) -> None:
        walk.over = True
        for engine in self.engines.values():
            engine.advance(self._now)
            engine.cache.end(walk.program.number)
        program_id = walk.program.program_id
        self._apply(self._router.ended(program_id, self._now))

    def _tick(self, _: None) -> None:
        self._apply(self._router.tick(self._now))
        for engine in self.engines.values():
            if not engine.down:
                self._publish(engine)
        self._at(self._now + TICK_S, self._tick, None)

    def _publish(self, engine: FakeEngine) -> None:
        report = types.EngineReport(
            engine.name, self._now, len(engine.batch), len(engine.waiting), 0
        )
        self._at(self._now + REPORT_LAG_S, self._reported, report)
        self._sequence += 1
        event = types.CacheEvent(
            engine.name,
            self._sequence,
            self._now,
            tuple(engine.cache.stored_log),
            tuple(engine.cache.removed_log),
        )
        engine.cache.stored_log.clear()
        engine.cache.removed_log.clear()
        if self._rng.random() > EVENT_LOSS:
            self._at(self._now + EVENT_LAG_S, self._router.cache_event, event)

    def _reported(self, report: types.EngineReport) -> None:
        self._apply(self._router.report(report, self._now))

    def _tell_members(self, _: None = None) -> None:
        members = list(self._members.values())
        self._apply(self._router.membership(members, self._cut, self._now))

    def _fault(self, fault: Fault) -> None:
        _FAULTS[fault.action](self, fault.target)
        self._at(self._now + LIST_LAG_S, self._tell_members, None)

    def _leave(self, name: str) -> None:
        self._members[name] = self._members[name]._replace(leaving=True)

    def _slow(self, name: str) -> None:
        engine = self.engines[name]
        engine.advance(self._now)
        engine.speed = SLOW_SPEED
        self._watch(engine)

    def _down(self, _: str) -> None:
        for engine in self.engines.values():
            engine.down = True
            failed = engine.fail_all(self._now)
            self._watch(engine)
            for job_id in failed:
                self._failed(job_id)

    def _up(self, _: str) -> None:
        for engine in self.engines.values():
            engine.down = False

    def _split(self, data_centre: str) -> None:
        self._cut = data_centre
        for walk in list(self._walks.values()):
            engine = self.engines.get(walk.engine)
            if engine is None:
                continue
            inside = engine.data_centre == data_centre
            if inside != (walk.program.data_centre == data_centre):
                engine.cancel(walk.job_id, self._now)
                self._watch(engine)
                self._failed(walk.job_id)

    def _heal(self, _: str) -> None:
        self._cut = ''


_HANDLERS: dict[type, Callable[[Run, Any], None]] = {
    types.Grant: Run._grant,
    types.Refusal: Run._refuse,
    types.CacheRelease: Run._release,
    types.Warm: Run._warm,
}
_FAULTS: dict[str, Callable[[Run, str], None]] = {
    'leave': Run._leave,
    'slow': Run._slow,
    'down': Run._down,
    'up': Run._up,
    'cut': Run._split,
    'heal': Run._heal,
}


def _job(walk: Walk, now: float) -> types.Job:
    program = walk.program
    turn = walk.current()
    low, high = program.kind.turns
    turns_left = max(1, (low + high) / 2 - walk.turn)
    return types.Job(
        job_id=walk.job_id,
        program_id=program.program_id,
        account=program.kind.account,
        model='model',
        prefix=program.chain(turn.prompt_tokens),
        prompt_tokens=turn.prompt_tokens,
        max_output_tokens=MAX_OUTPUT_TOKENS,
        turn=walk.turn + 1,
        submitted_s=now,
        deadline_s=program.deadline_s,
        program_started_s=program.arrives_s,
        remaining_estimate_s=turns_left * program.mean_turn_s,
        retry=walk.failures > 0,
        common_chunks=program.kind.common_chunks,
    )


def _call(walk: Walk) -> FakeCall:
    turn = walk.current()
    tokens = turn.prompt_tokens
    return FakeCall(
        call_id=walk.job_id,
        prefix=walk.program.chain(tokens),
        full_chain=walk.program.chain(tokens + turn.output_tokens),
        prompt_tokens=tokens,
        output_tokens=turn.output_tokens,
    )

"""Engines of a run, their faults, and what is published of them."""

import random
from collections.abc import Callable
from types import MappingProxyType

from benchmarks.baselines import Member, Router
from benchmarks.fake_engines import FakeCall, FakeEngine
from benchmarks.policy_cases import Fault
from benchmarks.policy_clock import Clock
from benchmarks.workloads import User
from cactusledge.models import Usage
from cactusledge.routing import types

LIST_LAG_S = 2.0  # of the platform's list of engines
REPORT_LAG_S = 1.0
EVENT_LAG_S = 1.5
EVENT_LOSS = 0.1
SLOW_SPEED = 0.25

Answered = Callable[[FakeCall, Usage], None]


class World:  # noqa: WPS214  one method for each fault
    """Engines behind a network that may be cut."""

    def __init__(
        self, user: User, clock: Clock, answered: Answered, seed: int
    ) -> None:
        """Starts with idle engines.

        Args:
            user: Whose engines.
            clock: Fake clock.
            answered: Gets each complete answer.
            seed: Of the lost cache events.
        """
        self.cut = ''
        self._clock = clock
        self._answered = answered
        self._rng = random.Random(seed)
        self._stamps: dict[str, float] = {}
        self._sequence = 0
        ever: set[int] = set()
        self.engines = {
            f'e{index}': FakeEngine(f'e{index}', place, user.limits, ever)
            for index, place in enumerate(user.engines)
        }
        self.members = {
            name: Member(name, engine.data_centre)
            for name, engine in self.engines.items()
        }

    def make_caches_perfect(self) -> None:
        """Lets every engine hold what any engine ever had."""
        for engine in self.engines.values():
            engine.cache.perfect = True

    def reaches(self, data_centre: str, engine: FakeEngine) -> bool:
        """Returns whether callers of a data centre can use an engine."""
        inside = engine.data_centre == self.cut
        return not engine.down and inside == (data_centre == self.cut)

    def send(self, engine: FakeEngine, call: FakeCall) -> None:
        """Sends a request to an engine that is within reach."""
        engine.submit(call, self._clock.now)
        self._watch(engine)

    def cancel(self, engine: FakeEngine, call_id: str) -> None:
        """Cancels a request."""
        engine.cancel(call_id, self._clock.now)
        self._watch(engine)

    def program_ended(self, number: int) -> None:
        """Notes that a program has ended."""
        for engine in self.engines.values():
            engine.advance(self._clock.now)
            engine.cache.end(number)

    def carry_out(self, fault: Fault) -> list[str]:
        """Changes the world; returns the calls that fail by it."""
        return _FAULTS[fault.action](self, fault.target)

    def publish(self, router: Router, taken: Callable[..., None]) -> None:
        """Sends each engine's report and cache event on their way."""
        for engine in self.engines.values():
            if not engine.down:
                report = types.EngineReport(
                    engine.name,
                    self._clock.now,
                    len(engine.batch),
                    len(engine.waiting),
                    0,
                )
                self._clock.after(REPORT_LAG_S, taken, report)
                self._publish_event(engine, router)

    def leave(self, name: str) -> list[str]:
        """Marks an engine as leaving."""
        self.members[name] = self.members[name]._replace(leaving=True)
        return []

    def slow(self, name: str) -> list[str]:
        """Slows an engine down."""
        engine = self.engines[name]
        engine.advance(self._clock.now)
        engine.speed = SLOW_SPEED
        self._watch(engine)
        return []

    def stop_all(self, _: str) -> list[str]:
        """Fails all requests and all engines."""
        failed = []
        for engine in self.engines.values():
            engine.down = True
            failed.extend(engine.fail_all(self._clock.now))
            self._watch(engine)
        return failed

    def start_all(self, _: str) -> list[str]:
        """Brings all engines back."""
        for engine in self.engines.values():
            engine.down = False
        return []

    def split(self, data_centre: str) -> list[str]:
        """Cuts a data centre off."""
        self.cut = data_centre
        return []

    def _publish_event(self, engine: FakeEngine, router: Router) -> None:
        self._sequence += 1
        event = types.CacheEvent(
            engine.name,
            self._sequence,
            self._clock.now,
            tuple(engine.cache.stored_log),
            tuple(engine.cache.removed_log),
        )
        engine.cache.stored_log.clear()
        engine.cache.removed_log.clear()
        if self._rng.random() > EVENT_LOSS:
            self._clock.after(EVENT_LAG_S, router.cache_event, event)

    def _watch(self, engine: FakeEngine) -> None:
        at_s = engine.next_event_s()
        stamp = self._stamps.get(engine.name, 0) + 1
        self._stamps[engine.name] = stamp
        self._clock.at(at_s, self._engine_event, engine, stamp)

    def _engine_event(self, engine: FakeEngine, stamp: int) -> None:
        if self._stamps[engine.name] != stamp:
            return
        finished = engine.collect(self._clock.now)
        self._watch(engine)
        for call, usage in finished:
            self._answered(call, usage)


_FAULTS = MappingProxyType({
    'leave': World.leave,
    'slow': World.slow,
    'down': World.stop_all,
    'up': World.start_all,
    'cut': World.split,
})

"""Invariants of the routing policy under load and faults."""

from typing import ClassVar

import pytest

from benchmarks import policy_run
from benchmarks.policy_cases import CASES, FAULT_S, programs
from benchmarks.policy_scheduled import ScheduledRouter
from benchmarks.policy_world import LIST_LAG_S, World
from benchmarks.workloads import FORMOSA
from cactusledge.routing.policy import LATENCY_FIRST

SEED = 7
LOAD = 1.1


class RecordingWorld(World):
    """Records each call sent to an engine."""

    sends: ClassVar[list] = []

    def send(self, engine, call):
        """Records a call and sends it."""
        self.sends.append((self._clock.now, engine.name, len(engine.batch)))
        super().send(engine, call)


@pytest.fixture
def sends(monkeypatch):
    monkeypatch.setattr(RecordingWorld, 'sends', [])
    monkeypatch.setattr(policy_run, 'World', RecordingWorld)
    return RecordingWorld.sends


def run(name):
    case = next(case for case in CASES if case.name == name)
    router = ScheduledRouter(LATENCY_FIRST, FORMOSA.limits)
    drawn_programs = programs(case, FORMOSA, LOAD, SEED)
    return policy_run.Run(FORMOSA, case, router, SEED).run(drawn_programs)


@pytest.mark.parametrize('name', 'bcef')
def test_no_leaked_caches_and_immediate_refusals(name, sends):
    tally = run(name)
    assert tally.engines.held_token_s == 0
    assert set(tally.refusals_s) <= {0}
    assert max(batch for _, _, batch in sends) < FORMOSA.limits.max_batch


def test_leaving_engines_get_no_work_once_listed(sends):
    run('c')
    late_engines = {
        name for at_s, name, _ in sends if at_s > FAULT_S + LIST_LAG_S
    }
    assert late_engines == {'e1', 'e3', 'e4', 'e5'}

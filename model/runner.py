"""Runs models and guard removals and judges the results."""

import time
from types import MappingProxyType
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

from model.batches import clear_caches
from model.calls_model import calls_model
from model.guards import GUARDS, HEAD, HELD, NO_SEAL, SHARES, Guard
from model.head_model import head_model
from model.held_model import held_model
from model.scenarios import HOLDING
from model.shares_model import shares_model
from model.world import Scenario

MAX_STATES = 1_000_000
MODELS = (*HOLDING, SHARES, HELD, HEAD)
_BUILDERS = MappingProxyType(
    {HEAD: head_model, HELD: held_model, SHARES: shares_model},
)


class Result(NamedTuple):
    """What one exploration found."""

    name: str
    states: int
    exhaustive: bool
    violated: tuple[str, ...]
    trace: tuple[str, ...]  # the shortest counterexample
    seconds: float

    @property
    def holds(self) -> bool:
        """Whether all invariants hold in all states."""
        return self.exhaustive and not self.violated


def build(model: Scenario | str) -> Protocol:
    """Returns the model of a scenario or of a name."""
    if isinstance(model, Scenario):
        return calls_model(model)
    return _BUILDERS[model]()


def run_model(position: int) -> Result:
    """Explores one of `MODELS` with all guards on."""
    return explore_model(MODELS[position])


def explore_model(model: Scenario | str) -> Result:
    """Explores a model with all guards on."""
    clear_caches()
    return _explore(build(model))


def run_guard(position: int) -> Result:
    """Explores a model with one of `GUARDS` off."""
    return run_without(GUARDS[position])


def run_unsealed() -> Result:
    """Explores takeovers that act without a seal."""
    return run_without(NO_SEAL)


def run_without(guard: Guard) -> Result:
    """Explores a model with the guard off, up to a violation."""
    clear_caches()
    with guard.off():
        protocol = build(guard.model)
        if guard.violates:
            wanted = {guard.violates: protocol.invariants[guard.violates]}
            protocol.invariants = wanted
        protocol.transitions = _StopAtViolation(protocol)
        found = _explore(protocol)
    clear_caches()
    return found._replace(name=guard.name)


def _explore(protocol: Protocol) -> Result:
    begun_s = time.perf_counter()
    found = check_safety(protocol, max_states=MAX_STATES)
    traces = {
        name: [entry['label'] for entry in verdict['counterexample'][1:]]
        for name, verdict in found['properties'].items()
        if verdict['holds'] is False
    }
    shortest = min(traces.values(), key=len, default=[])
    return Result(
        protocol.name,
        found['reachable_states'],
        found['exhaustive'],
        tuple(sorted(traces)),
        tuple(shortest),
        time.perf_counter() - begun_s,
    )


class _StopAtViolation:
    """Transitions that stop behind the first violating state."""

    def __init__(self, protocol: Protocol) -> None:
        self._follow = protocol.transitions
        self._fields = protocol.d
        self._checks = tuple(protocol.invariants.values())
        self._found = False

    def __call__(self, state: Any) -> Any:
        fields = self._fields(state)
        self._found = self._found or not all(
            check(fields) for check in self._checks
        )
        return () if self._found else self._follow(state)

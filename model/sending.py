"""Transitions in which an endpoint gets a call."""

from collections.abc import Iterator

from cactusledge.models import CallKind, Outcome
from cactusledge.protocol.state import ANY_ENDPOINT, CallState, ProgramState
from model.appends import Move
from model.world import (
    Scenario,
    Step,
    World,
    engine_of,
    position_of,
    replace_instance,
)

MAX_RUNS = 2  # counted; more are as wrong


def send_moves(
    scenario: Scenario,
    world: World,
    index: int,
    program: ProgramState,
) -> Iterator[Move]:
    """Yields what may come of sending the running call."""
    running = program.running
    if running is None:
        return
    label = f'i{index} sends call {running.seq}'
    ran = run_call(world, index, running)
    yield f'{label}: RAN', _found(ran, index, Outcome.RAN)
    if not running.idempotent:
        yield f'{label}: runs, lost', _found(ran, index, Outcome.UNKNOWN)
        yield f'{label}: lost', _found(world, index, Outcome.UNKNOWN)
        yield f'{label}: refused', _found(world, index, Outcome.NOT_RUN)


def run_call(world: World, index: int, running: CallState) -> World:
    """Returns the world after the endpoint ran the call.

    A former owner that sends after its log was sealed has to release that
    cache itself when it is fenced; the model leaves that cache out.
    """
    position = position_of(running.key)
    runs = list(world.runs)
    runs[position] = min(runs[position] + 1, MAX_RUNS)
    return _fill_cache(world._replace(runs=tuple(runs)), index, running)


def _fill_cache(world: World, index: int, running: CallState) -> World:
    state = world.instances[index].journal
    owner = max(world.platform.slots).owner
    if running.kind is not CallKind.MODEL or state is None:
        return world
    if state.owner != owner:
        return world
    return world._replace(cached=world.cached | {engine_of(index)})


def _found(world: World, index: int, outcome: Outcome) -> World:
    changed = world.instances[index]._replace(
        found=outcome,
        step=Step.ANSWERED,
    )
    return answer_early(replace_instance(world, index, changed), index)


def answer_early(world: World, index: int) -> World:
    """Returns the world unchanged: the outcome has to be durable first."""
    return world


def drop_cache(world: World, endpoint: str) -> World:
    """Returns the world after an engine, or each, released the cache."""
    if endpoint == ANY_ENDPOINT:
        return world._replace(cached=frozenset())
    return world._replace(cached=world.cached - {endpoint})

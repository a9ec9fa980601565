"""Model of records that a peer holds while the platform is down.

Instance 0 makes records, keeps some of them waiting and copies them to a
peer. Heirs take the log over with what the peer holds at that moment. Copies
reach the peer late, twice or never.
"""

from collections.abc import Callable, Iterator, Mapping
from functools import lru_cache
from typing import Any, NamedTuple, TypeAlias

from minicheck import Protocol

from cactusledge.protocol import held as held_records
from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import HistoryError
from cactusledge.protocol.program import ProgramState, apply, replay_log

Fields: TypeAlias = dict[str, Any]
Records: TypeAlias = tuple[rec.ProgramRecord, ...]
PROGRAM = 'p'
MAX_RECORDS = 3  # a maker
MAX_HELD = 4
MAKERS = 3
CACHE_SIZE = 100_000
OPENED = rec.Opened(PROGRAM, 0, b'', 'a', 'd', 9, '', 0, 9, 9)


class HeldWorld(NamedTuple):
    """The log, who drives the program, and what the peer holds."""

    log: Records = (OPENED,)
    owner: int = 0  # heirs are 1 and 2
    made: Records = ()  # by instance 0, beyond the opening
    appended: int = 0  # how many of them are in the log
    own: int = 0  # records that the present heir made
    held: Records = ()
    promised: frozenset[rec.ProgramRecord] = frozenset()
    kept: bool = True  # what was promised is in the log


Move: TypeAlias = tuple[str, HeldWorld]


def held_model() -> Protocol:
    """Returns the model."""
    return Protocol(
        name='held records',
        candidate=False,
        fields=HeldWorld._fields,
        initial=HeldWorld(),
        transitions=lambda world: list(_moves(world)),
        invariants=_invariants(),
    )


def _invariants() -> Mapping[str, Callable[[Fields], bool]]:
    return {
        'history is whole': lambda world: _replay(world['log']) is not None,
        'answered turns are kept': lambda world: bool(world['kept']),
    }


@lru_cache(CACHE_SIZE)
def _replay(log: Records) -> ProgramState | None:
    try:
        return replay_log(log).programs[PROGRAM]
    except HistoryError:
        return None


def _moves(world: HeldWorld) -> Iterator[Move]:
    if _replay(world.log) is None:
        return
    yield from _first_moves(world)
    if world.owner and world.own < MAX_RECORDS:
        yield f'heir {world.owner} appends', _heir_append(world)
    if world.owner + 1 < MAKERS:
        yield f'heir {world.owner + 1} takes over', _take_over(world)


def _first_moves(world: HeldWorld) -> Iterator[Move]:
    """Yields what instance 0 does; it may not know that it was replaced."""
    if len(world.made) < MAX_RECORDS:
        made = (*world.made, _next(_state_of(world.made), 'first'))
        yield 'i0 makes a record', world._replace(made=made)
    if not world.owner and world.appended < len(world.made):
        record = world.made[world.appended]
        yield (
            'i0 appends',
            world._replace(
                log=(*world.log, record),
                appended=world.appended + 1,
            ),
        )
    for record in world.made[world.appended :]:
        if len(world.held) < MAX_HELD:
            yield 'i0 copies to the peer', _copy(world, record)


def _copy(world: HeldWorld, record: rec.ProgramRecord) -> HeldWorld:
    held = (*world.held, record)
    if world.owner:
        return world._replace(held=held)
    whole = frozenset(held) | frozenset(world.log)
    answered = [item for item in world.made if item in whole]
    chain = frozenset(world.made[: len(answered)])
    if not chain <= whole:
        return world._replace(held=held)
    return world._replace(held=held, promised=world.promised | chain)


def _take_over(world: HeldWorld) -> HeldWorld:
    found = replay_log(world.log)
    plan = held_records.plan_held(
        found.programs, found.record_digests, world.held
    )
    log = (*world.log, *plan.missing)
    kept = world.promised <= frozenset(log)
    return world._replace(log=log, owner=world.owner + 1, own=0, kept=kept)


def _heir_append(world: HeldWorld) -> HeldWorld:
    state = _replay(world.log)
    if state is None:
        return world
    record = _next(state, f'heir{world.owner}')
    return world._replace(log=(*world.log, record), own=world.own + 1)


def _state_of(made: Records) -> ProgramState:
    state = apply(None, OPENED)
    for record in made:
        state = apply(state, record)
    return state


def _next(state: ProgramState, maker: str) -> rec.ProgramRecord:
    return rec.Touched(
        PROGRAM, 0, state.digest, f'{maker}-{len(state.touched)}'
    )

"""Model of sub-agents that spend from shares of their parent's budget."""

from collections.abc import Callable, Iterator, Mapping
from functools import lru_cache
from typing import Any, NamedTuple, TypeAlias

from minicheck import Protocol

from cactusledge.models import Answer, CallKind, CallSpec, Outcome
from cactusledge.protocol import budget, calls
from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import HistoryError, RefusedCallError
from cactusledge.protocol.program import ProgramState, replay

Fields: TypeAlias = dict[str, Any]
Records: TypeAlias = tuple[rec.ProgramRecord, ...]
PARENT = 'p'
CHILDREN = ('c1', 'c2')
BUDGET = 3
SHARE = 2
RESERVE = 1
MAX_CALLS = 2  # a program
CACHE_SIZE = 100_000
OPENED = rec.Opened(PARENT, 0, b'', 'a', 'd', BUDGET, '', 0, 9, 9)


class SharesWorld(NamedTuple):
    """The log, what waits to be appended, and what endpoints spent."""

    log: Records = (OPENED,)
    waiting: tuple[Records, ...] = ()  # batches of one action
    sent: frozenset[str] = frozenset()  # programs whose running call ran
    cost: int = 0
    crashes: int = 1


Move: TypeAlias = tuple[str, SharesWorld]


def shares_model() -> Protocol:
    """Returns the model."""
    return Protocol(
        name='shares of sub-agents',
        candidate=False,
        fields=SharesWorld._fields,
        initial=SharesWorld(),
        transitions=lambda world: list(_moves(world)),
        invariants=_invariants(),
    )


def batches_of(records: Records) -> tuple[Records, ...]:
    """Returns the records as one batch, durable together."""
    return (records,)


@lru_cache(CACHE_SIZE)
def read(log: Records) -> Mapping[str, ProgramState]:
    """Returns the programs of the log, none if it is not whole."""
    try:
        return replay(log)
    except HistoryError:
        return {}


def _invariants() -> Mapping[str, Callable[[Fields], bool]]:
    return {
        'history is whole': lambda world: bool(read(world['log'])),
        'budget of the parent': lambda world: world['cost'] <= BUDGET,
        'a share goes with its sub-agent': _shares_match,
    }


def _shares_match(world: Fields) -> bool:
    programs = read(world['log'])
    if world['waiting'] or not programs:
        return True
    held = dict(programs[PARENT].shares)
    living = {
        name: state.budget
        for name, state in programs.items()
        if state.parent and not state.ended
    }
    return held == living


def _moves(world: SharesWorld) -> Iterator[Move]:
    programs = read(world.log)
    if world.waiting:
        following = world._replace(
            log=(*world.log, *world.waiting[0]),
            waiting=world.waiting[1:],
        )
        yield 'batch is durable', following
    else:
        for state in programs.values():
            if not state.ended:
                yield from _program_moves(world, state)
                yield from _child_moves(world, programs, state)
    if world.crashes:
        yield 'crash and takeover', _take_over(world)


def _program_moves(world: SharesWorld, state: ProgramState) -> Iterator[Move]:
    name = state.program_id
    running = state.running
    if running is None and len(state.calls) < MAX_CALLS:
        yield f'{name} calls', _call(world, state)
    if running is None:
        return
    if name in world.sent:
        for outcome in (Outcome.RAN, Outcome.UNKNOWN):
            yield f'{name}: {outcome}', _settle(world, state, outcome)
    else:
        ran = world._replace(
            sent=world.sent | {name},
            cost=world.cost + running.reserve,
        )
        yield f'{name} runs', ran


def _child_moves(
    world: SharesWorld,
    programs: Mapping[str, ProgramState],
    state: ProgramState,
) -> Iterator[Move]:
    if state.parent and state.program_id not in world.sent:
        made = calls.end_records(state, 'done', 1)
        ended = replay((*world.log, *made))[state.program_id]
        returned = budget.return_share(programs[PARENT], ended)
        yield f'{state.program_id} ends', _append(world, (*made, returned))
    if state.program_id != PARENT:
        return
    for name in CHILDREN:
        if name not in programs:
            opened = OPENED._replace(program_id=name, budget=SHARE)
            yield f'{name} opens', _open(world, state, opened)


def _open(
    world: SharesWorld,
    parent: ProgramState,
    opened: rec.Opened,
) -> SharesWorld:
    try:
        return _append(world, budget.open_child(parent, opened))
    except RefusedCallError:
        return world


def _call(world: SharesWorld, state: ProgramState) -> SharesWorld:
    seq = len(state.calls) + 1
    spec = CallSpec(
        program_id=state.program_id,
        seq=seq,
        key=f'k{seq}',
        kind=CallKind.SERVICE,
        target='t',
        operation='o',
        idempotent=False,
        body={},
        reserve=RESERVE,
    )
    decision = calls.decide_call(state, spec, 1)
    if isinstance(decision, calls.Start):
        return _append(world, decision.records)
    return world


def _settle(
    world: SharesWorld,
    state: ProgramState,
    outcome: Outcome,
) -> SharesWorld:
    seq = len(state.calls)
    answer = Answer(state.program_id, seq, outcome, 0, {}, RESERVE)
    record = calls.outcome_record(state, seq, answer)
    settled = _append(world, (record,))
    return settled._replace(sent=world.sent - {state.program_id})


def _append(world: SharesWorld, records: Records) -> SharesWorld:
    return world._replace(waiting=batches_of(records))


def _take_over(world: SharesWorld) -> SharesWorld:
    made = [
        record
        for state in read(world.log).values()
        for record in calls.takeover_records(state)
    ]
    return world._replace(
        log=(*world.log, *made),
        waiting=(),
        sent=frozenset(),
        crashes=world.crashes - 1,
    )

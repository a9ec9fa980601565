"""Transitions of an instance that owns the log, as the drivers make them."""

from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import TypeAlias

from cactusledge.errors import ErrorCode
from cactusledge.models import Answer, CallSpec, Outcome
from cactusledge.protocol import calls, journal
from cactusledge.protocol import journal_types as msg
from cactusledge.protocol import records as rec
from cactusledge.protocol.ring import EMPTY
from cactusledge.protocol.state import CallState, ProgramState
from model import platform as plat
from model.appends import Move, append
from model.batches import read_log
from model.commits import resume_step
from model.sending import drop_cache, run_call, send_moves
from model.world import (
    Instance,
    Scenario,
    Step,
    World,
    engine_of,
    position_of,
    replace_instance,
    tell,
)

VOID = rec.encode_batch((rec.Void('model'),))
_Moves: TypeAlias = Callable[
    [Scenario, World, int, ProgramState],
    Iterator[Move],
]


def driving_moves(
    scenario: Scenario, world: World, index: int
) -> Iterator[Move]:
    """Yields what an instance may do with its program."""
    instance = world.instances[index]
    state = instance.journal
    if state is None:
        yield from _takeover_moves(scenario, world, index)
        return
    yield from _join_moves(world, index)
    if state.phase is not journal.Phase.IDLE:
        yield from _early_moves(world, index)
    elif instance.program and state.number < scenario.max_number:
        moves = _MOVES[instance.step]
        yield from moves(scenario, world, index, instance.program)


def _join_moves(world: World, index: int) -> Iterator[Move]:
    program = world.instances[index].program
    if program and program.running and world.asked != index:
        joined = world._replace(asked=index, joined=True)
        yield f'i{index} gets the call again', joined


def _takeover_moves(
    scenario: Scenario,
    world: World,
    index: int,
) -> Iterator[Move]:
    if not world.left.takeovers:
        return
    listed = read_log(world.platform)
    if listed.ring is None or listed.ring.next_number >= scenario.max_number:
        return
    owner = f'{index}.{world.left.takeovers}'
    state = journal.start('log', owner, listed.ring)
    instance = Instance(state, listed.program, listed.base)
    left = world.left._replace(takeovers=world.left.takeovers - 1)
    world = replace_instance(world, index, instance)._replace(left=left)
    record = rec.Seal(owner, listed.ring.owner)
    yield f'i{index} lists and seals', seal(world, index, record)


def seal(world: World, index: int, record: rec.Seal) -> World:
    """Returns the world after an heir started to append its seal."""
    return append(world, index, (record,), Step.SEALING)


def _early_moves(world: World, index: int) -> Iterator[Move]:
    """Yields what may happen while an intent is being appended."""
    instance = world.instances[index]
    program = instance.program
    if instance.step is not Step.INTENT:
        return
    if program is None or program.running is None or instance.journal is None:
        return
    if may_send_early(program.running) and not instance.sent:
        changed = instance._replace(sent=True, found=Outcome.RAN)
        sent = replace_instance(world, index, changed)
        ran = run_call(sent, index, program.running)
        yield f'i{index} sends call {program.running.seq} early', ran
    voided = instance.journal.attempts[-1].void
    if world.left.give_ups and not instance.sent and not voided:
        yield f'i{index} gives up', _give_up(world, index, instance.journal)


def _give_up(world: World, index: int, state: journal.JournalState) -> World:
    state, _ = journal.step(state, msg.GiveUp(VOID))
    left = world.left._replace(give_ups=world.left.give_ups - 1)
    changed = world.instances[index]._replace(journal=state)
    return replace_instance(world, index, changed)._replace(left=left)


def may_send_early(running: CallState) -> bool:
    """Returns whether a call is sent before its intent is durable."""
    return running.idempotent


def _sealed_moves(
    scenario: Scenario,
    world: World,
    index: int,
    program: ProgramState,
) -> Iterator[Move]:
    records = calls.takeover_records(program)
    if records:
        taken = append(world, index, records, Step.TAKING)
    else:
        changed = world.instances[index]._replace(step=resume_step(program))
        taken = replace_instance(world, index, changed)
    yield f'i{index} settles what it took over', taken


def _ready_moves(
    scenario: Scenario,
    world: World,
    index: int,
    program: ProgramState,
) -> Iterator[Move]:
    for spec in scenario.calls:
        if _may_ask(scenario, world, position_of(spec.key)):
            label = f'i{index} gets call {spec.seq}'
            yield label, _decide(world, index, program, spec)
    if scenario.ends and all(world.answers) and not program.ended:
        records = calls.end_records(program, 'done', 1)
        label = f'i{index} ends the program'
        yield label, append(world, index, records, Step.ENDING)
    yield from _collect_moves(world, index)
    if program.releases:
        changed = world.instances[index]._replace(step=Step.RELEASED)
        released = replace_instance(world, index, changed)
        yield (
            f'i{index} releases the cache',
            drop_cache(released, program.releases[0]),
        )


def _collect_moves(world: World, index: int) -> Iterator[Move]:
    platform = world.platform
    if platform.form is plat.Form.RING:
        return
    written = [slot.number for slot in platform.slots if slot.number > EMPTY]
    oldest = min(written)
    if oldest < world.instances[index].base:
        collected = plat.collect(platform, oldest)
        label = f'i{index} collects append {oldest}'
        yield label, world._replace(platform=collected)


def _may_ask(scenario: Scenario, world: World, position: int) -> bool:
    """Returns whether the caller sends the call, perhaps once more."""
    earlier = world.answers[:position]
    given_up = world.answers[position] == Outcome.NOT_RUN
    return not given_up and (scenario.eager or all(earlier))


def _decide(
    world: World,
    index: int,
    program: ProgramState,
    spec: CallSpec,
) -> World:
    world = world._replace(asked=index, joined=False)
    position = position_of(spec.key)
    voided = world.answers[:position].count(Outcome.NOT_RUN)
    asked = spec._replace(seq=spec.seq - voided)
    decision = calls.decide_call(program, asked, 1)
    if isinstance(decision, calls.Start):
        return append(world, index, decision.records, Step.INTENT)
    if isinstance(decision, calls.Stored):
        return tell(world, index, spec.key, decision.answer.outcome)
    if isinstance(decision, calls.Refuse):
        return _refuse(world, index, spec, decision)
    return world


def _refuse(
    world: World,
    index: int,
    spec: CallSpec,
    decision: calls.Refuse,
) -> World:
    if decision.error.code is ErrorCode.SEQUENCE_GAP:
        return world
    return tell(world, index, spec.key, Outcome.NOT_RUN)


def _answered_moves(
    scenario: Scenario,
    world: World,
    index: int,
    program: ProgramState,
) -> Iterator[Move]:
    found = world.instances[index].found
    running = program.running
    if running is None or found is None:
        return
    answer = Answer(
        program_id=program.program_id,
        seq=running.seq,
        outcome=found,
        status=0,
        body={},
        spent=running.reserve,
    )
    record = calls.outcome_record(
        program, running.seq, answer, engine_of(index)
    )
    label = f'i{index} records {found.value}'
    yield label, append(world, index, (record,), Step.OUTCOME)


def _released_moves(
    scenario: Scenario,
    world: World,
    index: int,
    program: ProgramState,
) -> Iterator[Move]:
    record = calls.release_record(program, program.releases[0], done=True)
    label = f'i{index} records the release'
    yield label, append(world, index, (record,), Step.RELEASING)


_MOVES: Mapping[Step, _Moves] = MappingProxyType({
    Step.SEALED: _sealed_moves,
    Step.READY: _ready_moves,
    Step.MAY_SEND: send_moves,
    Step.ANSWERED: _answered_moves,
    Step.RELEASED: _released_moves,
})

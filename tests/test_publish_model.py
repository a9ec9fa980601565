"""Checks every interleaving of racing publishers, late and lost writes.

The model runs the protocol functions that the publisher uses. A write may
take effect at any time after it was sent, even after its publisher timed out;
an answer may be lost; a publisher may crash in any state.
"""

from collections.abc import Callable, Iterator
from functools import partial
from types import MappingProxyType
from typing import NamedTuple

import pytest
from minicheck import Protocol, check_safety

from cactusledge.protocol.config_head import (
    Draft,
    Head,
    HeadWriteResult,
    PublishStep,
    decide_publish,
    next_head,
    resolve_write,
)

SCENARIOS = ((2, 2), (2, 3), (3, 1))  # publishers, sends of each
ENDED = frozenset(('won', 'lost', 'unsettled'))
PHASE_AFTER_READ_BACK = MappingProxyType({
    HeadWriteResult.PUBLISHED: 'won',
    HeadWriteResult.LOST: 'lost',
    HeadWriteResult.REPEAT: 'ready',
    HeadWriteResult.UNDECIDED: 'unsettled',
})


class Operator(NamedTuple):
    """The state of one publisher."""

    nonce: str
    phase: str = 'idle'
    base: int = 0  # version of the head that it read
    mine: Head | None = None
    sends_left: int = 1
    in_doubt: bool = False


class Write(NamedTuple):
    """One write in flight."""

    base: int
    head: Head
    number: int  # distinguishes the sends of one publisher


class State(NamedTuple):
    """The head's object, the writes in flight and all publishers."""

    head: Head | None
    version: int
    accepted: tuple[str, ...]  # nonces of the writes that took effect, in order
    in_flight: frozenset[Write]
    operators: tuple[Operator, ...]


Steps = Iterator[tuple[str, State]]
OnConflict = Callable[[Operator], str]


def on_conflict(operator: Operator) -> str:
    """A conflict proves a loss only if no earlier write is in doubt."""
    return 'doubt' if operator.in_doubt else 'lost'


def conflict_is_loss(operator: Operator) -> str:
    """A faulty variant, which the model must refute."""
    return 'lost'


def replace(state: State, index: int, **fields) -> State:
    operators = list(state.operators)
    operators[index] = operators[index]._replace(**fields)
    return state._replace(operators=tuple(operators))


def read_first(state: State, index: int) -> Steps:
    nonce = state.operators[index].nonce
    if decide_publish(state.head, nonce, None) is PublishStep.WRITE:
        mine = next_head(state.head, Draft(nonce, nonce, (), nonce, ''))
        yield (
            'read',
            replace(state, index, phase='ready', base=state.version, mine=mine),
        )


def send(state: State, index: int) -> Steps:
    operator = state.operators[index]
    if not operator.sends_left:
        yield 'give up', replace(state, index, phase='unsettled')
        return
    write = Write(operator.base, operator.mine, operator.sends_left)
    sent = replace(state, index, phase='waiting', sends_left=write.number - 1)
    yield 'send', sent._replace(in_flight=state.in_flight | {write})


def stop_waiting(state: State, index: int) -> Steps:
    yield 'time out', replace(state, index, phase='doubt', in_doubt=True)


def read_back(state: State, index: int) -> Steps:
    write_result = resolve_write(state.operators[index].mine, state.head)
    phase = PHASE_AFTER_READ_BACK[write_result]
    yield 'read back', replace(state, index, phase=phase)


STEPS = MappingProxyType({
    'idle': read_first,
    'ready': send,
    'waiting': stop_waiting,
    'doubt': read_back,
})


def land(state: State, write: Write, conflict: OnConflict) -> Steps:
    taken = write.base == state.version
    after = state._replace(in_flight=state.in_flight - {write})
    if taken:
        after = after._replace(
            head=write.head,
            version=state.version + 1,
            accepted=(*state.accepted, write.head.nonce),
        )
    yield 'land, answer lost', after
    for index, operator in enumerate(state.operators):
        if is_waiting_for(operator, write):
            phase = 'won' if taken else conflict(operator)
            yield 'land, answered', replace(after, index, phase=phase)


def is_waiting_for(operator: Operator, write: Write) -> bool:
    sent = (operator.mine, operator.sends_left + 1)
    return operator.phase == 'waiting' and sent == write[1:]


def transitions(conflict: OnConflict, state: State) -> list:
    found = []
    for index, operator in enumerate(state.operators):
        if operator.phase not in ENDED:
            found.extend(STEPS[operator.phase](state, index))
    for write in state.in_flight:
        found.extend(land(state, write, conflict))
    return found


def nothing_lost_took_effect(state) -> bool:
    return all(
        operator.nonce not in state['accepted']
        for operator in state['operators']
        if operator.phase == 'lost'
    )


def all_won_took_effect(state) -> bool:
    return all(
        operator.nonce in state['accepted']
        for operator in state['operators']
        if operator.phase == 'won'
    )


def one_head_a_generation(state) -> bool:
    accepted = state['accepted']
    generation = state['head'].generation if state['head'] else 0
    unique = len(set(accepted)) == len(accepted)
    return unique and generation == len(accepted) == state['version']


def check(operators: int, sends: int, conflict: OnConflict):
    initial = State(
        None,
        0,
        (),
        frozenset(),
        tuple(Operator(nonce, sends_left=sends) for nonce in 'abc'[:operators]),
    )
    model = Protocol(
        name='publish',
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=partial(transitions, conflict),
        invariants={
            'lost': nothing_lost_took_effect,
            'won': all_won_took_effect,
            'generation': one_head_a_generation,
        },
    )
    return check_safety(model)


@pytest.mark.parametrize(('operators', 'sends'), SCENARIOS)
def test_a_publishers_verdict_is_true_in_every_interleaving(operators, sends):
    checked = check(operators, sends, on_conflict)
    assert all(verdict['holds'] for verdict in checked['properties'].values())


def test_taking_every_conflict_for_a_loss_is_refuted():
    checked = check(2, 2, conflict_is_loss)
    assert not checked['properties']['lost']['holds']
    assert checked['properties']['generation']['holds']

"""State of the call model: instances, platform, endpoint and caller."""

import enum
from typing import NamedTuple

from cactusledge.models import CallKind, CallSpec, Outcome
from cactusledge.protocol.journal import JournalState
from cactusledge.protocol.state import ProgramState
from model.platform import Form, Platform

PROGRAM = 'p'
NEVER_S = 1e9


class Step(enum.StrEnum):
    """What an instance does with its program."""

    SEALING = 'sealing'
    SEALED = 'sealed'
    TAKING = 'taking'  # appends the takeover records
    READY = 'ready'
    INTENT = 'intent'  # appends a call's intent
    MAY_SEND = 'may_send'  # the intent is durable
    ANSWERED = 'answered'  # the endpoint answered
    OUTCOME = 'outcome'  # appends the outcome
    ENDING = 'ending'
    RELEASED = 'released'  # the engine dropped the cache
    RELEASING = 'releasing'  # appends that


class Instance(NamedTuple):
    """One instance; None for the journal while it is down."""

    journal: JournalState | None = None
    program: ProgramState | None = None  # with what is in flight
    base: int = 0
    step: Step = Step.READY
    found: Outcome | None = None  # what the endpoint's answer says
    sent: bool = False  # before the intent was durable
    prior: tuple[ProgramState | None, int] = (None, 0)  # before the append


class Limits(NamedTuple):
    """How often each fault may still happen."""

    crashes: int = 1
    losses: int = 1  # answers of the platform
    takeovers: int = 2
    give_ups: int = 0


class World(NamedTuple):
    """Whole state; counts and answers are by place in the scenario."""

    platform: Platform
    instances: tuple[Instance, ...]
    left: Limits
    runs: tuple[int, ...]
    answers: tuple[str, ...]  # outcome told to the caller, '' for none
    asked: int = 0  # instance that the caller sent its latest request to
    joined: bool = False  # that request found the call running
    cached: frozenset[str] = frozenset()  # engines that hold the cache
    end_told: bool = False
    broken: str = ''  # rule that a transition broke


class Scenario(NamedTuple):
    """What one run of the model explores."""

    name: str
    calls: tuple[CallSpec, ...]
    budget: int = 100
    size: int = 2
    instances: int = 2
    limits: Limits = Limits()
    ends: bool = False  # the program is ended after its calls
    eager: bool = False  # the caller does not wait for answers
    max_number: int = 9  # appends
    form: Form = Form.RING


def call(
    seq: int,
    *,
    idempotent: bool = False,
    reserve: int = 1,
    kind: CallKind = CallKind.SERVICE,
) -> CallSpec:
    """Returns a call of the model's program."""
    return CallSpec(
        program_id=PROGRAM,
        seq=seq,
        key=f'k{seq}',
        kind=kind,
        target='t',
        operation='o',
        idempotent=idempotent,
        body={},
        reserve=reserve,
    )


def replace_instance(world: World, index: int, instance: Instance) -> World:
    """Returns the world with one instance changed."""
    instances = list(world.instances)
    instances[index] = instance
    return world._replace(instances=tuple(instances))


def tell(world: World, index: int, key: str, outcome: str) -> World:
    """Returns the world after an instance answered the caller.

    A caller that repeats a call drops the connection of the request before:
    only the instance that was asked last is heard.
    """
    position = position_of(key)
    told = world.answers[position]
    if world.asked != index or told == outcome:
        return world
    if outcome == Outcome.NOT_RUN and not_run_is_stale(world):
        return world
    if told:
        return world._replace(broken=f'answer {told} became {outcome}')
    answers = list(world.answers)
    answers[position] = outcome
    return world._replace(answers=tuple(answers))


def not_run_is_stale(world: World) -> bool:
    """Returns whether a NOT_RUN is older than the request it would answer.

    A request that joined a running call is decided anew when that call ends
    as NOT_RUN: another instance may have started it in between.
    """
    return world.joined


def position_of(key: str) -> int:
    """Returns the place of a call in the scenario."""
    return int(key[1:]) - 1


def engine_of(index: int) -> str:
    """Returns the engine that an instance sends its model calls to."""
    return f'e{index}'

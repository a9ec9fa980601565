"""What an instance does when its append is durable."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import TypeAlias

from cactusledge.models import Outcome
from cactusledge.protocol.state import ProgramState
from model.world import Instance, Step, World, replace_instance, tell

_Handler: TypeAlias = Callable[[World, int, Instance], World]


def after_commit(world: World, index: int, *, void: bool) -> World:
    """Returns the world after an append, or the void in its place."""
    instance = world.instances[index]
    if void:
        return _void(world, index, instance)
    return _HANDLERS[instance.step](world, index, instance)


def resume_step(program: ProgramState | None) -> Step:
    """Returns what follows a takeover: a running call is sent again."""
    if program is not None and program.running is not None:
        return Step.MAY_SEND
    return Step.READY


def _void(world: World, index: int, instance: Instance) -> World:
    program, base = instance.prior
    changed = instance._replace(program=program, base=base, step=Step.READY)
    back = replace_instance(world, index, changed)
    if instance.program is None:
        return back
    return tell(back, index, instance.program.calls[-1].key, Outcome.NOT_RUN)


def _ready(world: World, index: int, instance: Instance) -> World:
    changed = instance._replace(step=Step.READY, found=None, sent=False)
    return replace_instance(world, index, changed)


def _sealed(world: World, index: int, instance: Instance) -> World:
    return replace_instance(world, index, instance._replace(step=Step.SEALED))


def _taken(world: World, index: int, instance: Instance) -> World:
    changed = instance._replace(step=resume_step(instance.program))
    return replace_instance(world, index, changed)


def _intent(world: World, index: int, instance: Instance) -> World:
    step = Step.ANSWERED if instance.found else Step.MAY_SEND
    return replace_instance(world, index, instance._replace(step=step))


def _outcome(world: World, index: int, instance: Instance) -> World:
    ready = _ready(world, index, instance)
    before = instance.prior[0]
    if before is None or instance.found is None:
        return ready
    return tell(ready, index, before.calls[-1].key, instance.found)


def _ended(world: World, index: int, instance: Instance) -> World:
    return _ready(world, index, instance)._replace(end_told=True)


_HANDLERS: Mapping[Step, _Handler] = MappingProxyType({
    Step.SEALING: _sealed,
    Step.TAKING: _taken,
    Step.INTENT: _intent,
    Step.OUTCOME: _outcome,
    Step.ENDING: _ended,
    Step.RELEASING: _ready,
})

"""Model of two operators who publish and instances that apply heads."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple, TypeAlias

from minicheck import Protocol

from cactusledge.protocol import config_head

Fields: TypeAlias = dict[str, Any]
Stored: TypeAlias = config_head.Head | None  # None before the first one
PUBLISHED = config_head.HeadWriteResult.PUBLISHED


class Publisher(NamedTuple):
    """One operator's command."""

    planned: int = -1  # generation that the plan was made for
    written: Stored = None
    base: Stored = None  # head that the write replaces
    unsure: bool = False  # the answer was lost
    told: str = ''  # what the operator was told
    tries: int = 2  # publications left


class HeadWorld(NamedTuple):
    """Platform, operators and instances."""

    history: tuple[Stored, ...] = (None,)  # heads that were in force
    late: frozenset[tuple[Stored, config_head.Head]] = frozenset()
    publishers: tuple[Publisher, ...] = (Publisher(), Publisher())
    applied: tuple[int, ...] = (0, 0)  # generation of each instance
    told: frozenset[tuple[str, str]] = frozenset()  # nonce, write result
    losses: int = 2
    reverted: bool = False


Move: TypeAlias = tuple[str, HeadWorld]


def head_model() -> Protocol:
    """Returns the model."""
    return Protocol(
        name='configuration head',
        candidate=False,
        fields=HeadWorld._fields,
        initial=HeadWorld(),
        transitions=lambda world: list(_moves(world)),
        invariants=_invariants(),
    )


def accepts(world: HeadWorld, base: Stored) -> bool:
    """Returns whether the head still has the version of `base`."""
    return world.history[-1] == base


def _invariants() -> Mapping[str, Callable[[Fields], bool]]:
    return {
        'never reverts': lambda world: not world['reverted'],
        'one head a generation': _generations_rise,
        'told the truth': _told_truth,
    }


def _generations_rise(world: Fields) -> bool:
    generations = [generation_of(head) for head in world['history']]
    return generations == list(range(len(generations)))


def _told_truth(world: Fields) -> bool:
    nonces = {head.nonce for head in world['history'] if head}
    return all(
        (nonce in nonces) == (write_result == PUBLISHED.value)
        for nonce, write_result in world['told']
    )


def _moves(world: HeadWorld) -> Iterator[Move]:
    for base, written in world.late:
        left = world._replace(late=world.late - {(base, written)})
        yield f'late {written.nonce} lands', _write(left, base, written)
    for index, _ in enumerate(world.publishers):
        yield from _publisher_moves(world, index)
    for index, applied in enumerate(world.applied):
        for offered in world.history:
            generation = generation_of(offered)
            if config_head.should_apply(applied, generation):
                label = f'instance {index} applies {generation}'
                yield label, _apply(world, index, generation)


def generation_of(head: Stored) -> int:
    """Returns a head's generation, 0 before the first one."""
    return head.generation if head else 0


def _apply(world: HeadWorld, index: int, generation: int) -> HeadWorld:
    applied = list(world.applied)
    reverted = generation < applied[index]
    applied[index] = generation
    return world._replace(
        applied=tuple(applied),
        reverted=world.reverted or reverted,
    )


def _publisher_moves(world: HeadWorld, index: int) -> Iterator[Move]:
    publisher = world.publishers[index]
    if publisher.written is not None:
        if publisher.unsure:
            yield f'operator {index} reads back', _settle(world, index)
        else:
            yield from _write_moves(world, index)
    elif publisher.planned >= 0:
        yield f'operator {index} publishes', _begin(world, index)
    elif publisher.tries:
        generation = generation_of(world.history[-1])
        planned = publisher._replace(planned=generation)
        yield f'operator {index} plans', _with(world, index, planned)


def _begin(world: HeadWorld, index: int) -> HeadWorld:
    publisher = world.publishers[index]
    current = world.history[-1]
    nonce = f'{index}.{publisher.tries}'
    left = Publisher(tries=publisher.tries - 1)
    step = config_head.decide_publish(current, nonce, publisher.planned)
    if step is not config_head.PublishStep.WRITE:
        return _with(world, index, left)
    draft = config_head.Draft(nonce, nonce, (), str(index), '')
    written = config_head.next_head(current, draft)
    begun = left._replace(written=written, base=current)
    return _with(world, index, begun)


def _write_moves(world: HeadWorld, index: int) -> Iterator[Move]:
    publisher = world.publishers[index]
    base, written = publisher.base, publisher.written
    if written is None:
        return
    unsure = publisher._replace(unsure=True)
    if accepts(world, base):
        done = _write(world, base, written)
        yield (
            f'{written.nonce} written',
            _tell(done, index, PUBLISHED),
        )
        if world.losses:
            lost = done._replace(losses=world.losses - 1)
            yield f'{written.nonce} written, lost', _with(lost, index, unsure)
    else:
        yield f'{written.nonce} conflicts', _with(world, index, unsure)
    if world.losses:
        late = world._replace(
            losses=world.losses - 1,
            late=world.late | {(base, written)},
        )
        yield f'{written.nonce} delayed', _with(late, index, unsure)


def _write(
    world: HeadWorld, base: Stored, written: config_head.Head
) -> HeadWorld:
    if not accepts(world, base):
        return world
    return world._replace(history=(*world.history, written))


def _settle(world: HeadWorld, index: int) -> HeadWorld:
    publisher = world.publishers[index]
    if publisher.written is None:
        return world
    found = world.history[-1]
    write_result = config_head.resolve_write(publisher.written, found)
    if write_result is config_head.HeadWriteResult.REPEAT:
        return _with(world, index, publisher._replace(unsure=False))
    return _tell(world, index, write_result)


def _tell(
    world: HeadWorld, index: int, write_result: config_head.HeadWriteResult
) -> HeadWorld:
    publisher = world.publishers[index]
    if publisher.written is None:
        return world
    told = world.told | {(publisher.written.nonce, write_result.value)}
    done = Publisher(tries=publisher.tries)
    return _with(world, index, done)._replace(told=told)


def _with(world: HeadWorld, index: int, publisher: Publisher) -> HeadWorld:
    publishers = list(world.publishers)
    publishers[index] = publisher
    return world._replace(publishers=tuple(publishers))

"""Model of two operators who publish and instances that apply heads."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple, TypeAlias

from minicheck import Protocol

from cactusledge.protocol import config_head

Fields: TypeAlias = dict[str, Any]
_ACCEPTED = frozenset((
    config_head.Settlement.PUBLISHED,
    config_head.Settlement.SUPERSEDED,
))


class Publisher(NamedTuple):
    """One operator's command."""

    planned: int = -1  # generation that the plan was made for
    written: config_head.Head | None = None
    base: config_head.Head | None = None  # head that the write replaces
    unsure: bool = False  # the answer was lost
    told: str = ''  # what the operator was told
    tries: int = 2  # publications left


class HeadWorld(NamedTuple):
    """Platform, operators and instances."""

    history: tuple[config_head.Head, ...] = (
        config_head.Head(),
    )  # heads that were in force
    late: frozenset[tuple[config_head.Head, config_head.Head]] = (
        frozenset()
    )  # base, written
    publishers: tuple[Publisher, ...] = (Publisher(), Publisher())
    applied: tuple[int, ...] = (0, 0)  # generation of each instance
    told: frozenset[tuple[str, str]] = frozenset()  # nonce, settlement
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


def accepts(world: HeadWorld, base: config_head.Head) -> bool:
    """Returns whether the head still has the version of `base`."""
    return world.history[-1] == base


def _invariants() -> Mapping[str, Callable[[Fields], bool]]:
    return {
        'never reverts': lambda world: not world['reverted'],
        'one head a generation': _generations_rise,
        'told the truth': _told_truth,
    }


def _generations_rise(world: Fields) -> bool:
    generations = [head.generation for head in world['history']]
    return generations == list(range(len(generations)))


def _told_truth(world: Fields) -> bool:
    nonces = {head.nonce for head in world['history']}
    return all(
        (nonce in nonces) == (settled in _ACCEPTED)
        for nonce, settled in world['told']
    )


def _moves(world: HeadWorld) -> Iterator[Move]:
    for base, written in world.late:
        left = world._replace(late=world.late - {(base, written)})
        yield f'late {written.nonce} lands', _write(left, base, written)
    for index, _ in enumerate(world.publishers):
        yield from _publisher_moves(world, index)
    for index, applied in enumerate(world.applied):
        for offered in world.history:
            if config_head.decide_apply(applied, offered):
                label = f'instance {index} applies {offered.generation}'
                yield label, _apply(world, index, offered)


def _apply(
    world: HeadWorld, index: int, offered: config_head.Head
) -> HeadWorld:
    applied = list(world.applied)
    reverted = offered.generation < applied[index]
    applied[index] = offered.generation
    return world._replace(
        applied=tuple(applied),
        reverted=world.reverted or reverted,
    )


def _publisher_moves(world: HeadWorld, index: int) -> Iterator[Move]:
    publisher = world.publishers[index]
    if publisher.written is not None and publisher.base is not None:
        if publisher.unsure:
            yield f'operator {index} reads back', _settle(world, index)
        else:
            yield from _write_moves(world, index)
    elif publisher.planned >= 0:
        yield f'operator {index} publishes', _begin(world, index)
    elif publisher.tries:
        planned = publisher._replace(planned=world.history[-1].generation)
        yield f'operator {index} plans', _with(world, index, planned)


def _begin(world: HeadWorld, index: int) -> HeadWorld:
    publisher = world.publishers[index]
    current = world.history[-1]
    nonce = f'{index}.{publisher.tries}'
    left = Publisher(tries=publisher.tries - 1)
    try:
        written = config_head.decide_publish(
            current, publisher.planned, nonce, nonce
        )
    except config_head.PublishConflictError:
        return _with(world, index, left)
    begun = left._replace(written=written, base=current)
    return _with(world, index, begun)


def _write_moves(world: HeadWorld, index: int) -> Iterator[Move]:
    publisher = world.publishers[index]
    base, written = publisher.base, publisher.written
    if base is None or written is None:
        return
    unsure = publisher._replace(unsure=True)
    if accepts(world, base):
        done = _write(world, base, written)
        yield (
            f'{written.nonce} written',
            _tell(done, index, config_head.Settlement.PUBLISHED),
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
    world: HeadWorld, base: config_head.Head, written: config_head.Head
) -> HeadWorld:
    if not accepts(world, base):
        return world
    return world._replace(history=(*world.history, written))


def _settle(world: HeadWorld, index: int) -> HeadWorld:
    publisher = world.publishers[index]
    if publisher.written is None:
        return world
    found = world.history[-1]
    settled = config_head.settle_lost_answer(found, publisher.written)
    if settled is config_head.Settlement.PENDING:
        return _with(world, index, publisher._replace(unsure=False))
    return _tell(world, index, settled)


def _tell(
    world: HeadWorld, index: int, settled: config_head.Settlement
) -> HeadWorld:
    publisher = world.publishers[index]
    if publisher.written is None:
        return world
    told = world.told | {(publisher.written.nonce, settled.value)}
    done = Publisher(tries=publisher.tries)
    return _with(world, index, done)._replace(told=told)


def _with(world: HeadWorld, index: int, publisher: Publisher) -> HeadWorld:
    publishers = list(world.publishers)
    publishers[index] = publisher
    return world._replace(publishers=tuple(publishers))

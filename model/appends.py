"""Journal transitions of an instance: write, read back, land, crash."""

from collections.abc import Iterator
from typing import TypeAlias

from cactusledge.protocol import journal
from cactusledge.protocol import journal_types as msg
from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import HistoryError, JournalFullError
from model import platform as plat
from model.batches import make_batch
from model.commits import after_commit
from model.world import Instance, Step, World, replace_instance

Move: TypeAlias = tuple[str, World]
_WAITS = frozenset((journal.Phase.WAIT_TO_WRITE, journal.Phase.WAIT_TO_READ))


def append(
    world: World,
    index: int,
    records: tuple[rec.Record, ...],
    step: Step,
) -> World:
    """Returns the world after an instance started an append."""
    instance = world.instances[index]
    state = instance.journal
    if state is None:
        return world
    try:
        batch = make_batch(
            instance.program,
            instance.base,
            state.number,
            world.platform.size,
            records,
        )
        event = msg.Append(batch.data, batch.oldest_needed)
        state, _ = journal.step(state, event)
    except (HistoryError, JournalFullError) as exc:
        return world._replace(broken=f'append: {exc.message}')
    changed = instance._replace(
        journal=state,
        program=batch.program,
        base=batch.base,
        step=step,
        prior=(instance.program, instance.base),
    )
    return replace_instance(world, index, changed)


def advance(world: World, index: int, event: msg.Event) -> World:
    """Returns the world after an event of the instance's journal.

    Delays are skipped: what follows them happens at any time anyway.
    """
    instance = world.instances[index]
    state = instance.journal
    if state is None:
        return world
    state, effects = journal.step(state, event)
    if state.phase in _WAITS:
        state, _ = journal.step(state, msg.RetryDue())
    world = replace_instance(world, index, instance._replace(journal=state))
    for effect in effects:
        if isinstance(effect, msg.Committed):
            world = after_commit(world, index, void=effect.void)
        elif isinstance(effect, msg.Fenced):
            world = replace_instance(world, index, Instance())
    return world


def journal_moves(world: World, index: int) -> Iterator[Move]:
    """Yields what may happen to the request in flight of an instance."""
    state = world.instances[index].journal
    if state is None:
        return
    if state.phase is journal.Phase.WRITING:
        yield from _write_moves(world, index, state)
    elif state.phase is journal.Phase.READING:
        slot = world.platform.slots[state.slot_index]
        event = msg.ReadBack(state.number, slot)
        yield f'i{index} reads back', advance(world, index, event)


def landing_moves(world: World) -> Iterator[Move]:
    """Yields the arrival of each late write."""
    for write in world.platform.late:
        landed = plat.land(world.platform, write)
        label = f'late write {write.slot.nonce} lands'
        yield label, world._replace(platform=landed)


def crash_moves(world: World, index: int) -> Iterator[Move]:
    """Yields a crash, with the write in flight lost or on its way."""
    state = world.instances[index].journal
    if state is None or not world.left.crashes:
        return
    left = world.left._replace(crashes=world.left.crashes - 1)
    dead = replace_instance(world, index, Instance())._replace(left=left)
    yield f'i{index} crashes', dead
    if state.phase is journal.Phase.WRITING:
        late = plat.delay(world.platform, plat.write_of(state))
        yield f'i{index} crashes, write under way', dead._replace(platform=late)


def _write_moves(
    world: World,
    index: int,
    state: journal.JournalState,
) -> Iterator[Move]:
    write = plat.write_of(state)
    nonce = write.slot.nonce
    lost = msg.AnswerLost(nonce)
    if plat.accepts(world.platform, write):
        done = world._replace(platform=plat.carry_out(world.platform, write))
        written = msg.Written(nonce, write.slot.version)
        yield f'i{index} writes {nonce}', advance(done, index, written)
        if world.left.losses:
            yield (
                f'i{index} writes {nonce}, answer lost',
                advance(_lose(done), index, lost),
            )
    else:
        yield (
            f'i{index} write {nonce} conflicts',
            advance(world, index, msg.Conflicted(nonce)),
        )
    if world.left.losses:
        late = world._replace(platform=plat.delay(world.platform, write))
        yield (
            f'i{index} write {nonce} delayed',
            advance(_lose(late), index, lost),
        )


def _lose(world: World) -> World:
    left = world.left._replace(losses=world.left.losses - 1)
    return world._replace(left=left)

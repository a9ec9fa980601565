"""Platform of the models: conditional slots and writes that land late."""

from typing import NamedTuple

from cactusledge.protocol.journal import JournalState
from cactusledge.protocol.ring import EMPTY, Slot

ABSENT = Slot(EMPTY, '', '', b'', '')


class LateWrite(NamedTuple):
    """A write whose answer was lost and that may still take effect."""

    slot_index: int
    version: str
    slot: Slot


class Platform(NamedTuple):
    """Slots of one log and the writes on their way to it."""

    slots: tuple[Slot, ...]
    late: frozenset[LateWrite] = frozenset()


def new_platform(size: int) -> Platform:
    """Returns a ring that was never written."""
    empty = Slot(EMPTY, '', '', b'', '0', size)
    return Platform((empty,) * size)


def write_of(journal: JournalState) -> LateWrite:
    """Returns the write that the journal waits for."""
    attempt = journal.attempts[-1]
    version = journal.versions[journal.slot_index]
    slot = Slot(
        journal.number,
        attempt.nonce,
        journal.owner,
        attempt.data,
        f'v{journal.number}.{attempt.nonce}',
        len(journal.versions),
    )
    return LateWrite(journal.slot_index, version, slot)


def accepts(platform: Platform, write: LateWrite) -> bool:
    """Returns whether the slot still has the version that the write names."""
    return platform.slots[write.slot_index].version == write.version


def carry_out(platform: Platform, write: LateWrite) -> Platform:
    """Returns the platform after a write that was accepted."""
    slots = list(platform.slots)
    slots[write.slot_index] = write.slot
    return platform._replace(slots=tuple(slots))


def delay(platform: Platform, write: LateWrite) -> Platform:
    """Returns the platform with the write on its way."""
    return platform._replace(late=platform.late | {write})


def land(platform: Platform, write: LateWrite) -> Platform:
    """Returns the platform after a late write arrived."""
    arrived = platform._replace(late=platform.late - {write})
    return carry_out(arrived, write) if accepts(arrived, write) else arrived

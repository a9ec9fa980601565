"""Platform of the models: conditional slots and writes that land late."""

import enum
from typing import NamedTuple

from cactusledge.protocol.journal import JournalState
from cactusledge.protocol.ring import EMPTY, Ring, Slot, assemble

TOMBSTONE = -2  # number of a slot whose name never comes back
ABSENT = Slot(EMPTY, '', '', b'', '')


class LateWrite(NamedTuple):
    """A write whose answer was lost and that may still take effect."""

    slot_index: int
    version: str
    slot: Slot


class Form(enum.StrEnum):
    """How a log is laid out at the platform."""

    RING = 'ring'
    # Rejected: an object an append, created if absent, deleted when collected.
    DELETED = 'deleted'
    TOMBSTONES = 'tombstones'  # as before, but a name never comes back


class Platform(NamedTuple):
    """Slots of one log and the writes on their way to it."""

    slots: tuple[Slot, ...]
    size: int  # appends after which records are collected
    form: Form = Form.RING
    late: frozenset[LateWrite] = frozenset()


def new_platform(size: int, form: Form, max_number: int) -> Platform:
    """Returns a log that was never written."""
    if form is Form.RING:
        empty = Slot(EMPTY, '', '', b'', '0', size)
        return Platform((empty,) * size, size)
    return Platform((ABSENT,) * (max_number + 1), size, form)


def list_log(platform: Platform) -> Ring:
    """Returns the log as an heir lists it.

    Raises:
        HistoryError: If an append of a ring is missing.
    """
    if platform.form is Form.RING:
        return assemble(platform.slots)
    last = max(platform.slots)
    return Ring(last.number + 1, last.owner, platform.slots)


def collect(platform: Platform, index: int) -> Platform:
    """Returns the platform after an object was deleted."""
    left = ABSENT
    if platform.form is Form.TOMBSTONES:
        left = ABSENT._replace(number=TOMBSTONE, version='deleted')
    slots = list(platform.slots)
    slots[index] = left
    return platform._replace(slots=tuple(slots))


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

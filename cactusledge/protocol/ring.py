"""Slots of a log: a ring of platform objects, created once and never deleted.

Append n is written to slot `n mod size`. A slot that was never written has the
number `EMPTY`.
"""

import base64
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, TypedDict

from cactusledge.protocol.errors import CorruptRecordError, HistoryError

SLOT_KIND = 'journalslots'
EMPTY = -1
DEFAULT_RING_SIZE = 256  # slots
MAX_OBJECT_BYTES = 1_000_000
_FRAME_BYTES = 4096  # field names, log, owner and nonce
# Base64 encodes three bytes as four characters.
MAX_DATA_BYTES = (MAX_OBJECT_BYTES - _FRAME_BYTES) * 3 // 4

# A program's snapshot must fit into one object, even after the largest request
# and answer of its next call are added.
MAX_REQUEST_BYTES = 262_144
MAX_ANSWER_BYTES = 131_072
MAX_SNAPSHOT_BYTES = (
    MAX_DATA_BYTES - MAX_REQUEST_BYTES - MAX_ANSWER_BYTES - _FRAME_BYTES
)


class SlotBody(TypedDict):
    """Body of a slot's object at the platform."""

    log: str
    size: int  # number of slots in the ring
    number: int
    nonce: str
    owner: str
    data: str  # batch of records, base64


class Slot(NamedTuple):
    """A slot as it was read."""

    number: int
    nonce: str
    owner: str
    data: bytes
    version: str
    size: int = 0  # number of slots in its ring


class Ring(NamedTuple):
    """A log as it was listed."""

    next_number: int
    owner: str  # of the latest append, '' if there is none
    slots: tuple[Slot, ...]  # by index

    def batches(self) -> tuple[Slot, ...]:
        """Returns the slots that contain an append, oldest first."""
        written = (slot for slot in self.slots if slot.number > EMPTY)
        return tuple(sorted(written, key=_number))


def slot_prefix(log: str) -> str:
    """Returns the common prefix of the names of a log's slots."""
    return f'{log}.'


def slot_name(log: str, index: int) -> str:
    """Returns the object name of a slot."""
    return f'{slot_prefix(log)}{index:05d}'


def empty_body(log: str, size: int) -> SlotBody:
    """Returns the object body of a slot that was never written."""
    return {
        'log': log,
        'size': size,
        'number': EMPTY,
        'nonce': '',
        'owner': '',
        'data': '',
    }


def encode_data(data: bytes) -> str:
    """Returns a batch encoded for the body of a slot."""
    return base64.b64encode(data).decode()


def parse_slot(body: Mapping[str, Any], version: str) -> Slot:
    """Returns the slot that an object contains.

    Raises:
        CorruptRecordError: If the body is not that of a slot.
    """
    try:
        return Slot(
            int(body['number']),
            str(body['nonce']),
            str(body['owner']),
            base64.b64decode(body['data'], validate=True),
            version,
            int(body['size']),
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise CorruptRecordError(
            f'The object is not a journal slot: {exc!r}.',
            remedy='Restore the journal object from a backup of the platform.',
        ) from exc


def assemble(slots: Iterable[Slot]) -> Ring:
    """Returns the log that consists of these slots, ordered by index.

    Raises:
        HistoryError: If an append is missing because an object was lost or
            the slots were read at different times.
    """
    ordered = tuple(slots)
    last = max((slot.number for slot in ordered), default=EMPTY)
    for index, slot in enumerate(ordered):
        if slot.number != _expected(index, last, len(ordered)):
            raise HistoryError(
                f'Slot {index} has append {slot.number}, the last is {last}.',
                remedy='List the log again; if it persists, restore the slot.',
            )
    owner = '' if last == EMPTY else ordered[last % len(ordered)].owner
    return Ring(last + 1, owner, ordered)


def _expected(index: int, last: int, size: int) -> int:
    behind = (last - index) % size
    return max(last - behind, EMPTY)


def _number(slot: Slot) -> int:
    return slot.number

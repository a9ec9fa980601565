"""Carries out the journal's effects in the object store."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING

from cactusledge.errors import (
    CactusledgeError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
)
from cactusledge.protocol import journal_types as msg
from cactusledge.protocol import ring
from cactusledge.protocol.journal import JournalState

if TYPE_CHECKING:
    from cactusledge.objects.store import ObjectStore


class SlotAccess:
    """Reads and writes the slots of one log for one owner."""

    def __init__(self, store: 'ObjectStore', state: JournalState) -> None:
        """Keeps the store and the fields that are the same in every slot."""
        self._store = store
        self._log = state.log
        self._owner = state.owner
        self._size = len(state.versions)

    def carry_out(self, effect: msg.WriteSlot | msg.ReadSlot) -> msg.Event:
        """Writes or reads a slot; returns the resulting event."""
        if isinstance(effect, msg.WriteSlot):
            return self.write(effect)
        return self.read(effect)

    def write(self, effect: msg.WriteSlot) -> msg.Event:
        """Updates the slot if its version matches; returns the event.

        An unexpected error is treated as a lost answer, since the write may
        have taken effect.
        """
        body: ring.SlotBody = {
            'log': self._log,
            'size': self._size,
            'number': effect.number,
            'nonce': effect.nonce,
            'owner': self._owner,
            'data': ring.encode_data(effect.data),
        }
        name = ring.slot_name(self._log, effect.slot_index)
        try:
            stored = self._store.update(
                ring.SLOT_KIND, name, body, effect.version
            )
        except Exception as exc:
            return _write_event(exc)(effect.nonce)
        return msg.Written(effect.nonce, stored.version)

    def read(self, effect: msg.ReadSlot) -> msg.Event:
        """Reads the slot; returns the resulting event."""
        name = ring.slot_name(self._log, effect.slot_index)
        try:
            stored = self._store.read(ring.SLOT_KIND, name)
            slot = ring.parse_slot(stored.body, stored.version)
        except CactusledgeError:
            return msg.ReadFailed(effect.number)
        return msg.ReadBack(effect.number, slot)


def _write_event(exc: Exception) -> Callable[[str], msg.Event]:
    kinds = (kind for kind in _WRITE_EVENTS if isinstance(exc, kind))
    return _WRITE_EVENTS[next(kinds)]


# Checked in order: subclasses come before their base classes. An unexpected
# error is treated as a lost answer.
_WRITE_EVENTS: Mapping[type[Exception], Callable[[str], msg.Event]] = (
    MappingProxyType({
        StoreConflictError: msg.Conflicted,
        StoreAnswerLostError: msg.AnswerLost,
        StoreError: msg.Unavailable,
        Exception: msg.AnswerLost,
    })
)

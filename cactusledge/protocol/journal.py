"""State machine of a log's writer: `step(state, event) -> (state, effects)`.

Append n is a conditional update of slot `n mod size` against the last known
version of the slot. At most one append is in flight. If a write gets no answer,
the slot is read back and classified by its append number and nonce:

- a nonce that this writer used for n: the append is committed;
- the append that n overwrites (n - size): the slot is unchanged. The write may
  still take effect, so n is written again with the same nonce and content;
- anything else (n by another owner, or a later append): the writer is fenced
  permanently.

A nonce identifies one content of one n. To cancel an append, a void with its
own nonce is written at the same n; whichever of the two is in the slot in the
end is the append.
"""

import enum
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, TypeAlias

from cactusledge.protocol import journal_types as msg
from cactusledge.protocol.errors import JournalFullError
from cactusledge.protocol.ring import Ring, Slot

FULL_RETRY_S = 5.0


class Phase(enum.StrEnum):
    """What the writer is waiting for."""

    IDLE = 'idle'
    WRITING = 'writing'
    READING = 'reading'
    WAIT_TO_WRITE = 'wait_to_write'
    WAIT_TO_READ = 'wait_to_read'
    FENCED = 'fenced'


class Attempt(NamedTuple):
    """Content that was or will be written for the current append."""

    nonce: str
    data: bytes
    void: bool = False


class JournalState(NamedTuple):
    """State of the writer of one log."""

    log: str
    owner: str  # unique to each start of an instance
    number: int  # number of the current or next append
    versions: tuple[str, ...]  # latest known version of each slot
    phase: Phase = Phase.IDLE
    attempts: tuple[Attempt, ...] = ()  # for n; the last is written next
    serial: int = 0  # number of nonces used so far

    @property
    def slot_index(self) -> int:
        """Slot index of append n."""
        return self.number % len(self.versions)


Step: TypeAlias = tuple[JournalState, tuple[msg.Effect, ...]]


class ReadBackResult(enum.StrEnum):
    """What a slot that was read back contains."""

    MINE = 'mine'
    UNCHANGED = 'unchanged'
    FOREIGN = 'foreign'


def start(log: str, owner: str, ring: Ring, serial: int = 0) -> JournalState:
    """Returns the state of a writer that appends to the listed log."""
    versions = tuple(slot.version for slot in ring.slots)
    return JournalState(log, owner, ring.next_number, versions, serial=serial)


def step(state: JournalState, event: msg.Event) -> Step:
    """Returns the next state and the effects to carry out.

    An event that is not expected in the current phase is stale and ignored.

    Raises:
        JournalFullError: If the append would overwrite records that are still
            needed.
    """
    handler = _TRANSITIONS.get((state.phase, type(event)))
    if handler is None:
        return state, ()
    return handler(state, event)


def classify_read_back(state: JournalState, slot: Slot) -> ReadBackResult:
    """Returns what a slot that was read back contains for append n."""
    nonces = {attempt.nonce for attempt in state.attempts}
    if slot.number == state.number and slot.nonce in nonces:
        return ReadBackResult.MINE
    overwritten = max(state.number - len(state.versions), -1)
    if slot.number == overwritten:
        return ReadBackResult.UNCHANGED
    return ReadBackResult.FOREIGN


def _append(state: JournalState, event: msg.Append) -> Step:
    if event.oldest_needed <= state.number - len(state.versions):
        raise JournalFullError(
            f'Log {state.log!r} is full: slot {state.slot_index} is needed.',
            remedy='Try again after programs have ended, or enlarge the ring.',
            retry_after_s=FULL_RETRY_S,
        )
    return _write(_attempt(state, event.data, void=False))


def _attempt(state: JournalState, data: bytes, *, void: bool) -> JournalState:
    attempt = Attempt(f'{state.owner}#{state.serial}', data, void)
    return state._replace(
        attempts=(*state.attempts, attempt),
        serial=state.serial + 1,
    )


def _write(state: JournalState) -> Step:
    attempt = state.attempts[-1]
    effect = msg.WriteSlot(
        state.slot_index,
        state.number,
        attempt.nonce,
        attempt.data,
        state.versions[state.slot_index],
    )
    return state._replace(phase=Phase.WRITING), (effect,)


def _read(state: JournalState, event: Any = None) -> Step:
    effect = msg.ReadSlot(state.slot_index, state.number)
    return state._replace(phase=Phase.READING), (effect,)


def _written(state: JournalState, event: msg.Written) -> Step:
    return _commit(state, event.nonce, event.version)


def _read_if_current(
    state: JournalState,
    event: msg.Conflicted | msg.AnswerLost,
) -> Step:
    if not _is_current(state, event.nonce):
        return state, ()
    return _read(state)


def _unavailable(state: JournalState, event: msg.Unavailable) -> Step:
    if not _is_current(state, event.nonce):
        return state, ()
    return state._replace(phase=Phase.WAIT_TO_WRITE), (msg.BackOff(),)


def _read_back(state: JournalState, event: msg.ReadBack) -> Step:
    if event.number != state.number:
        return state, ()
    return _READ_BACK_HANDLERS[classify_read_back(state, event.slot)](
        state, event.slot
    )


def _mine(state: JournalState, slot: Slot) -> Step:
    return _commit(state, slot.nonce, slot.version)


def _unchanged(state: JournalState, slot: Slot) -> Step:
    state = _with_version(state, slot.version)
    return state._replace(phase=Phase.WAIT_TO_WRITE), (msg.BackOff(),)


def _foreign(state: JournalState, slot: Slot) -> Step:
    return state._replace(phase=Phase.FENCED), (msg.Fenced(slot.owner),)


def _read_failed(state: JournalState, event: msg.ReadFailed) -> Step:
    if event.number != state.number:
        return state, ()
    return state._replace(phase=Phase.WAIT_TO_READ), (msg.BackOff(),)


def _write_again(state: JournalState, event: msg.RetryDue) -> Step:
    return _write(state)


def _give_up(state: JournalState, event: msg.GiveUp) -> Step:
    if state.attempts[-1].void:
        return state, ()
    return _attempt(state, event.data, void=True), ()


def _commit(state: JournalState, nonce: str, version: str) -> Step:
    voids = {attempt.nonce: attempt.void for attempt in state.attempts}
    if nonce not in voids:
        return state, ()
    after = _with_version(state, version)._replace(
        number=state.number + 1,
        phase=Phase.IDLE,
        attempts=(),
    )
    return after, (msg.Committed(state.number, voids[nonce]),)


def _with_version(state: JournalState, version: str) -> JournalState:
    versions = list(state.versions)
    versions[state.slot_index] = version
    return state._replace(versions=tuple(versions))


def _is_current(state: JournalState, nonce: str) -> bool:
    return any(attempt.nonce == nonce for attempt in state.attempts)


_READ_BACK_HANDLERS: Mapping[
    ReadBackResult, Callable[[JournalState, Slot], Step]
] = MappingProxyType({
    ReadBackResult.MINE: _mine,
    ReadBackResult.UNCHANGED: _unchanged,
    ReadBackResult.FOREIGN: _foreign,
})
_Handler: TypeAlias = Callable[[JournalState, Any], Step]
_TransitionKey: TypeAlias = tuple[Phase, type[Any]]
_TRANSITIONS: Mapping[_TransitionKey, _Handler] = MappingProxyType({
    (Phase.IDLE, msg.Append): _append,
    (Phase.WRITING, msg.Written): _written,
    (Phase.WRITING, msg.Conflicted): _read_if_current,
    (Phase.WRITING, msg.AnswerLost): _read_if_current,
    (Phase.WRITING, msg.Unavailable): _unavailable,
    (Phase.WRITING, msg.GiveUp): _give_up,
    (Phase.READING, msg.ReadBack): _read_back,
    (Phase.READING, msg.ReadFailed): _read_failed,
    (Phase.READING, msg.GiveUp): _give_up,
    (Phase.WAIT_TO_WRITE, msg.RetryDue): _write_again,
    (Phase.WAIT_TO_WRITE, msg.GiveUp): _give_up,
    (Phase.WAIT_TO_READ, msg.RetryDue): _read,
    (Phase.WAIT_TO_READ, msg.GiveUp): _give_up,
})

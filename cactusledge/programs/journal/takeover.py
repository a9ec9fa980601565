"""Takes a log over: lists, replays and seals it, then appends held records."""

import secrets
import time
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, NamedTuple

from cactusledge.programs.journal.ring_access import (
    read_ring,
    takeover_unavailable_error,
)
from cactusledge.programs.journal.slot_access import SlotAccess
from cactusledge.protocol import journal, ring
from cactusledge.protocol import journal_types as msg
from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import FencedError
from cactusledge.protocol.held import plan_held, split_batches
from cactusledge.protocol.log_index import LogIndex, Retention, rebuild
from cactusledge.protocol.state import ProgramState

if TYPE_CHECKING:
    from cactusledge.objects.store import ObjectStore

MAX_ATTEMPTS = 8  # the former owner may append between listing and seal
MAX_STEPS = 32  # requests and delays of one append
MAX_SEAL_CARRY_BYTES = ring.MAX_DATA_BYTES // 2


class TakenLog(NamedTuple):
    """A log that this instance has taken over."""

    journal_state: journal.JournalState
    log_index: LogIndex  # owned by the writer from now on
    programs: dict[str, ProgramState]
    previous_owner: str
    # Held records that the log lacked, and those that do not fit its history.
    appended: tuple[rec.ProgramRecord, ...] = ()
    rejected: tuple[rec.ProgramRecord, ...] = ()


class TakeoverOptions(NamedTuple):
    """Settings of a takeover."""

    ring_size: int = ring.DEFAULT_RING_SIZE  # for a new log
    retention: Retention = Retention()
    retry_s: float = 0.05
    now_s: Callable[[], float] = time.time
    wait: Callable[[float], None] = time.sleep
    token: Callable[[], str] = secrets.token_hex


def take_over(
    store: 'ObjectStore',
    log: str,
    owner: str,
    held: Sequence[rec.ProgramRecord] = (),
    options: TakeoverOptions | None = None,
) -> TakenLog:
    """Seals the log for `owner` and returns its content.

    Creates the ring if it does not exist. Blocks, so run it in a worker
    thread. The owner name written to the log gets a unique suffix, so a failed
    takeover can be repeated.

    Args:
        store: The platform.
        log: Name of the log.
        owner: Name of the instance.
        held: Records that peers hold and that the log may lack, in the order
            of their creation.
        options: Ring size, retention and delays.

    Raises:
        FencedError: If another instance took the log over meanwhile.
        HistoryError: If records are missing in the log.
        StoreUnavailableError: If the platform does not answer.
    """
    options = options or TakeoverOptions()
    unique_owner = f'{owner}~{options.token()}'
    takeover = _Takeover(store, log, unique_owner, options)
    return takeover.run(held)


class _Takeover:
    """One takeover."""

    def __init__(
        self,
        store: 'ObjectStore',
        log: str,
        owner: str,
        options: TakeoverOptions,
    ) -> None:
        self._store = store
        self._log = log
        self._owner = owner
        self._options = options

    def run(self, held: Sequence[rec.ProgramRecord]) -> TakenLog:
        """Seals the log after its latest append; retries if that changes."""
        serial = 0
        previous: str | None = None
        for _ in range(MAX_ATTEMPTS):
            listed = read_ring(self._store, self._log, self._options.ring_size)
            previous = self._check_same_owner(previous, listed.owner)
            log_index, record_digests = rebuild(listed, self._options.retention)
            state = journal.start(self._log, self._owner, listed, serial)
            state = self._seal(state, log_index, previous)
            if state.phase is journal.Phase.IDLE:
                taken = TakenLog(state, log_index, log_index.programs, previous)
                return self._append_held(taken, record_digests, held)
            serial = state.serial
        raise takeover_unavailable_error(self._log)

    def _check_same_owner(
        self, previous: str | None, current_owner: str
    ) -> str:
        if previous is None or previous == current_owner:
            return current_owner
        raise _taken_over_error(self._log, current_owner)

    def _seal(
        self,
        state: journal.JournalState,
        log_index: LogIndex,
        previous: str,
    ) -> journal.JournalState:
        carried = log_index.carry_forward(
            state.number,
            self._options.now_s(),
            MAX_SEAL_CARRY_BYTES,
        )
        batch = (rec.Seal(self._owner, previous), *carried.records)
        return self._append(state, log_index, batch)

    def _append_held(
        self,
        taken: TakenLog,
        record_digests: frozenset[bytes],
        held: Sequence[rec.ProgramRecord],
    ) -> TakenLog:
        plan = plan_held(taken.programs, record_digests, held)
        state = taken.journal_state
        for batch in split_batches(plan.missing):
            taken.log_index.apply_batch(state.number, batch)
            state = self._append(state, taken.log_index, batch)
            if state.phase is not journal.Phase.IDLE:
                raise _taken_over_error(self._log, 'another instance')
        return taken._replace(
            journal_state=state,
            programs=dict(taken.log_index.programs),
            appended=plan.missing,
            rejected=plan.rejected,
        )

    def _append(
        self,
        state: journal.JournalState,
        log_index: LogIndex,
        batch: Iterable[rec.Record],
    ) -> journal.JournalState:
        oldest_needed = log_index.oldest_needed(state.number)
        event: msg.Event = msg.Append(rec.encode_batch(batch), oldest_needed)
        slots = SlotAccess(self._store, state)
        for _ in range(MAX_STEPS):
            state, effects = journal.step(state, event)
            if state.phase in {journal.Phase.IDLE, journal.Phase.FENCED}:
                return state
            event = self._perform(slots, effects[0])
        raise takeover_unavailable_error(self._log)

    def _perform(self, slots: SlotAccess, effect: msg.Effect) -> msg.Event:
        if isinstance(effect, (msg.WriteSlot, msg.ReadSlot)):
            return slots.carry_out(effect)
        self._options.wait(self._options.retry_s)
        return msg.RetryDue()


def _taken_over_error(log: str, current_owner: str) -> FencedError:
    return FencedError(
        f'Log {log!r} was sealed by {current_owner!r} during takeover.',
        remedy='Leave the log to its new owner.',
    )

"""Folded programs of one log and the appends that they still need.

A program's base is the append that holds its `Opened` or latest snapshot.
Before a slot is overwritten, programs based in it are carried forward: a
snapshot in the same or an earlier append becomes their new base. Ended
programs past retention get a `Dropped` record instead.
"""

from collections.abc import Iterable, Mapping
from operator import itemgetter
from typing import NamedTuple

from cactusledge.errors import ErrorCode
from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import HistoryError, RefusedCallError
from cactusledge.protocol.program import apply, replay_log
from cactusledge.protocol.ring import MAX_DATA_BYTES, Ring
from cactusledge.protocol.sizes import snapshot_of
from cactusledge.protocol.state import ProgramState

# One slot in so many is kept free of bases, for seals and late cleaning.
FREE_SLOTS_DIVISOR = 8
# Part of the ring behind the oldest base at which no program is opened.
NEARLY_FULL_FRACTION = 0.75

# Part of an object that snapshots may take while the ring has room.
DEFAULT_CARRY_BYTES = MAX_DATA_BYTES // 4
# Part of an object for new records while the ring is crowded.
MIN_NEW_RECORDS_BYTES = MAX_DATA_BYTES // 8
_BASES = (rec.Opened, rec.ProgramSnapshot)


class Retention(NamedTuple):
    """How long ended programs are kept."""

    ended_s: float = 3600


class CarriedRecords(NamedTuple):
    """Records that an append carries forward."""

    records: tuple[rec.ProgramRecord, ...]
    size_bytes: int  # at most, compressed


class Rebuilt(NamedTuple):
    """A log's ledger and the digests of the records that stand in it."""

    log_index: 'LogIndex'
    record_digests: frozenset[bytes]


class LogIndex:
    """Programs of a log as of its latest append, sent or durable."""

    def __init__(self, size: int, retention: Retention) -> None:
        """Starts empty, for a ring of `size` slots."""
        self.programs: dict[str, ProgramState] = {}
        self._size = size
        self._retention = retention
        # Ordered by append, oldest first: a program that moves goes last.
        self._bases: dict[str, int] = {}

    def restore(
        self,
        programs: Mapping[str, ProgramState],
        bases: Mapping[str, int],
    ) -> None:
        """Takes over what a replay found."""
        self.programs = dict(programs)
        ordered = sorted(bases.items(), key=itemgetter(1))
        self._bases = {
            name: number for name, number in ordered if name in programs
        }

    def oldest_needed(self, next_number: int) -> int:
        """Returns the lowest needed append, or `next_number` if none is."""
        return next(iter(self._bases.values()), next_number)

    def has_room(self, next_number: int) -> bool:
        """Returns whether append `next_number` may take new records."""
        reserve = self._size // FREE_SLOTS_DIVISOR
        return (
            self.oldest_needed(next_number) > next_number - self._size + reserve
        )

    def is_nearly_full(self, next_number: int) -> bool:
        """Returns whether the ring is too full to open programs."""
        behind = next_number - self.oldest_needed(next_number)
        return behind > self._size * NEARLY_FULL_FRACTION

    def apply_batch(
        self, number: int, batch: Iterable[rec.ProgramRecord]
    ) -> None:
        """Applies records that go into append n together, all or none.

        Raises:
            HistoryError: If a record does not follow.
        """
        changed: dict[str, ProgramState | None] = {}
        based: list[str] = []
        for record in batch:
            name = record.program_id
            state = changed.get(name, self.programs.get(name))
            changed[name] = _apply(state, record)
            if isinstance(record, _BASES):
                based.append(name)
        self._store_states(changed)
        for name in based:
            self._bases.pop(name, None)
            self._bases[name] = number

    def carry_limit_bytes(self, next_number: int, waiting_bytes: int) -> int:
        """Returns the bytes that append `next_number` may carry forward.

        Args:
            next_number: Number of the append.
            waiting_bytes: Size of the new records that come first.
        """
        if not self.has_room(next_number):
            return MAX_DATA_BYTES
        if not self.is_nearly_full(next_number):
            return DEFAULT_CARRY_BYTES
        return max(
            MAX_DATA_BYTES - max(waiting_bytes, MIN_NEW_RECORDS_BYTES), 0
        )

    def carry_forward(
        self,
        next_number: int,
        now_s: float,
        limit_bytes: int = MAX_DATA_BYTES,
    ) -> CarriedRecords:
        """Returns and folds what append `next_number` carries forward.

        Cleaning starts when half of the ring lies behind the oldest base.
        """
        carried: list[rec.ProgramRecord] = []
        left = limit_bytes
        for name in self._based_up_to(next_number - self._size // 2):
            record = self._carried_record(name, now_s)
            size = len(rec.encode_batch((record,)))
            if size > left:
                break
            left -= size
            carried.append(record)
        self.apply_batch(next_number, carried)
        return CarriedRecords(tuple(carried), limit_bytes - left)

    def _based_up_to(self, limit: int) -> tuple[str, ...]:
        return tuple(name for name, at in self._bases.items() if at <= limit)

    def _carried_record(self, name: str, now_s: float) -> rec.ProgramRecord:
        state = self.programs[name]
        if self._is_expired(state, now_s):
            return rec.Dropped(name, len(state.calls), state.digest)
        return snapshot_of(state)

    def _is_expired(self, state: ProgramState, now_s: float) -> bool:
        if not state.ended or state.releases or state.shares:
            return False
        return now_s >= state.ended_at_s + self._retention.ended_s

    def _store_states(self, changed: Mapping[str, ProgramState | None]) -> None:
        for name, state in changed.items():
            if state is None:
                self.programs.pop(name, None)
                self._bases.pop(name, None)
            else:
                self.programs[name] = state


def rebuild(listed: Ring, retention: Retention) -> Rebuilt:
    """Returns the ledger of a log as it was listed.

    Raises:
        CorruptRecordError: If a slot does not hold records.
        HistoryError: If the history of a program is missing or mixed.
    """
    bases: dict[str, int] = {}
    records: list[rec.Record] = []
    for slot in listed.batches():
        batch = rec.decode_batch(slot.data)
        records.extend(batch)
        based = (item for item in batch if isinstance(item, _BASES))
        bases.update((item.program_id, slot.number) for item in based)
    found = replay_log(records)
    log_index = LogIndex(len(listed.slots), retention)
    log_index.restore(found.programs, bases)
    return Rebuilt(log_index, found.record_digests)


def check_size(batch: Iterable[rec.Record]) -> int:
    """Returns the bytes that the records take at most.

    Raises:
        RefusedCallError: If they do not fit into one object.
    """
    size = sum(len(rec.encode_record(record)) for record in batch)
    if size > MAX_DATA_BYTES:
        raise RefusedCallError(
            ErrorCode.TOO_LARGE,
            f'{size} bytes do not fit into a journal object.',
            remedy=f'Keep documents below {MAX_DATA_BYTES} bytes.',
        )
    return size


def _apply(
    state: ProgramState | None,
    record: rec.ProgramRecord,
) -> ProgramState | None:
    if not isinstance(record, rec.Dropped):
        return apply(state, record)
    if state is None or state.digest != record.prev or not state.ended:
        raise HistoryError(
            f'Program {record.program_id!r} cannot be dropped.',
            remedy='Drop only programs that have ended.',
        )
    return None

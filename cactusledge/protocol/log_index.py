"""States of the programs in one log and the appends that they still need.

A program's base is the append that holds its `Opened` record or its latest
snapshot. Before a slot is overwritten, the programs based in it are carried
forward: a snapshot in the same or an earlier append becomes their new base.
Ended programs past their retention time get a `Dropped` record instead.
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

# One slot in this many is kept free of bases, so that seals and snapshots that
# were carried forward late still have room.
FREE_SLOTS_DIVISOR = 8
# Fraction of the ring between the oldest base and the next append above which
# no program is opened.
NEARLY_FULL_FRACTION = 0.75

# Share of an object for snapshots while the ring is not nearly full.
DEFAULT_CARRY_BYTES = MAX_DATA_BYTES // 4
# Share of an object kept for new records while the ring is nearly full.
MIN_NEW_RECORDS_BYTES = MAX_DATA_BYTES // 8
_BASES = (rec.Opened, rec.ProgramSnapshot)


class Retention(NamedTuple):
    """Time for which ended programs are kept."""

    ended_s: float = 3600


class CarriedRecords(NamedTuple):
    """Records that an append carries forward."""

    records: tuple[rec.ProgramRecord, ...]
    size_bytes: int  # upper bound, compressed


class Rebuilt(NamedTuple):
    """The index of a log and the digests of the records in the log."""

    log_index: 'LogIndex'
    record_digests: frozenset[bytes]


class LogIndex:
    """Programs of a log as of its latest append, whether sent or durable."""

    def __init__(self, size: int, retention: Retention) -> None:
        """Creates an empty index for a ring of `size` slots."""
        self.programs: dict[str, ProgramState] = {}
        self._size = size
        self._retention = retention
        # Ordered by append, oldest first; a program with a new base goes last.
        self._bases: dict[str, int] = {}

    def restore(
        self,
        programs: Mapping[str, ProgramState],
        bases: Mapping[str, int],
    ) -> None:
        """Replaces the contents by the result of a replay."""
        self.programs = dict(programs)
        ordered = sorted(bases.items(), key=itemgetter(1))
        self._bases = {
            name: number for name, number in ordered if name in programs
        }

    def oldest_needed(self, next_number: int) -> int:
        """Returns the lowest needed append, or `next_number` if none is."""
        return next(iter(self._bases.values()), next_number)

    def has_room(self, next_number: int) -> bool:
        """Returns whether append `next_number` may contain new records."""
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
        """Applies all records that append n writes together, or none of them.

        Raises:
            HistoryError: If a record does not follow its program's history.
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
            waiting_bytes: Size of the new records that are next in the queue.
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
        """Selects and applies the records that append `next_number` carries.

        A program is carried forward once its base is at least half a ring
        behind.
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
    """Returns the index of a log as it was listed.

    Raises:
        CorruptRecordError: If a slot does not contain records.
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
    """Returns an upper bound of the bytes that the records take.

    Raises:
        RefusedCallError: If they do not fit into one object.
    """
    size = sum(len(rec.encode_record(record)) for record in batch)
    if size > MAX_DATA_BYTES:
        raise RefusedCallError(
            ErrorCode.TOO_LARGE,
            f'{size} bytes of records do not fit into a journal object.',
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

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
RESERVE_DIVISOR = 8
# Part of the ring behind the oldest base at which no program is opened.
OPEN_LIMIT = 0.75

# Part of an object that snapshots may take while the ring has room.
CARRY_BYTES = MAX_DATA_BYTES // 4
# Part of an object for new records while the ring is crowded.
MIN_FRESH_BYTES = MAX_DATA_BYTES // 8
_BASES = (rec.Opened, rec.ProgramSnapshot)


class Retention(NamedTuple):
    """How long ended programs are kept."""

    ended_s: float = 3600


class Carried(NamedTuple):
    """Records that an append carries forward."""

    records: tuple[rec.ProgramRecord, ...]
    size_bytes: int  # at most, compressed


class Rebuilt(NamedTuple):
    """A log's ledger and the digests of the records that stand in it."""

    ledger: 'Ledger'
    seen: frozenset[bytes]


class Ledger:
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

    def oldest(self, next_n: int) -> int:
        """Returns the lowest append that is needed, `next_n` if none is."""
        return next(iter(self._bases.values()), next_n)

    def has_room(self, next_n: int) -> bool:
        """Returns whether append `next_n` may take new records."""
        reserve = self._size // RESERVE_DIVISOR
        return self.oldest(next_n) > next_n - self._size + reserve

    def is_crowded(self, next_n: int) -> bool:
        """Returns whether the ring is too full to open programs."""
        behind = next_n - self.oldest(next_n)
        return behind > self._size * OPEN_LIMIT

    def fold(self, number: int, batch: Iterable[rec.ProgramRecord]) -> None:
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
        self._keep(changed)
        for name in based:
            self._bases.pop(name, None)
            self._bases[name] = number

    def carry_limit(self, next_n: int, waiting_bytes: int) -> int:
        """Returns the bytes that append `next_n` may carry forward.

        Args:
            next_n: Number of the append.
            waiting_bytes: Size of the new records that come first.
        """
        if not self.has_room(next_n):
            return MAX_DATA_BYTES
        if not self.is_crowded(next_n):
            return CARRY_BYTES
        return max(MAX_DATA_BYTES - max(waiting_bytes, MIN_FRESH_BYTES), 0)

    def carry(
        self,
        next_n: int,
        now_s: float,
        limit_bytes: int = MAX_DATA_BYTES,
    ) -> Carried:
        """Returns and folds what append `next_n` carries forward.

        Cleaning starts when half of the ring lies behind the oldest base.
        """
        carried: list[rec.ProgramRecord] = []
        left = limit_bytes
        for name in self._behind(next_n - self._size // 2):
            record = self._moved(name, now_s)
            size = len(rec.encode_batch((record,)))
            if size > left:
                break
            left -= size
            carried.append(record)
        self.fold(next_n, carried)
        return Carried(tuple(carried), limit_bytes - left)

    def _behind(self, limit: int) -> tuple[str, ...]:
        return tuple(name for name, at in self._bases.items() if at <= limit)

    def _moved(self, name: str, now_s: float) -> rec.ProgramRecord:
        state = self.programs[name]
        if self._is_over(state, now_s):
            return rec.Dropped(name, len(state.calls), state.digest)
        return snapshot_of(state)

    def _is_over(self, state: ProgramState, now_s: float) -> bool:
        if not state.ended or state.releases or state.shares:
            return False
        return now_s >= state.ended_at_s + self._retention.ended_s

    def _keep(self, changed: Mapping[str, ProgramState | None]) -> None:
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
    ledger = Ledger(len(listed.slots), retention)
    ledger.restore(found.programs, bases)
    return Rebuilt(ledger, found.seen)


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

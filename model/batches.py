"""Cached use of the production ledger, codec and replay."""

from functools import lru_cache
from typing import NamedTuple

from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import CorruptRecordError, HistoryError
from cactusledge.protocol.ledger import Ledger, Retention, rebuild
from cactusledge.protocol.ring import Ring, Slot, assemble
from cactusledge.protocol.state import ProgramState
from model.world import NEVER_S, PROGRAM

CACHE_SIZE = 1 << 17


class Batch(NamedTuple):
    """Bytes of an append and the state behind it."""

    data: bytes
    oldest: int
    program: ProgramState | None
    base: int


class Listed(NamedTuple):
    """A log as an heir reads it; `error` if it cannot be read."""

    ring: Ring | None
    program: ProgramState | None = None
    base: int = 0
    error: str = ''


@lru_cache(CACHE_SIZE)
def make_batch(
    program: ProgramState | None,
    base: int,
    number: int,
    size: int,
    records: tuple[rec.Record, ...],
) -> Batch:
    """Returns the append of the records with what it carries forward."""
    ledger = Ledger(size, Retention(NEVER_S))
    if program is not None:
        ledger.restore({PROGRAM: program}, {PROGRAM: base})
    carried = ledger.carry(number, 0)
    folded = [
        record
        for record in records
        if not isinstance(record, (rec.Seal, rec.Void))
    ]
    ledger.fold(number, folded)
    oldest = ledger.oldest(number)
    return Batch(
        rec.encode_batch((*carried, *records)),
        oldest,
        ledger.programs.get(PROGRAM),
        oldest,
    )


def read_log(slots: tuple[Slot, ...]) -> Listed:
    """Returns what an heir finds in the slots."""
    return _read_log(tuple(slots))


@lru_cache(CACHE_SIZE)
def _read_log(slots: tuple[Slot, ...]) -> Listed:
    try:
        ring = assemble(slots)
        ledger = rebuild(ring, Retention(NEVER_S)).ledger
    except (HistoryError, CorruptRecordError) as exc:
        return Listed(None, error=exc.message)
    base = ledger.oldest(ring.next_n)
    return Listed(ring, ledger.programs.get(PROGRAM), base)

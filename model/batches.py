"""Cached use of the production ledger, codec and replay."""

from functools import lru_cache
from typing import NamedTuple

from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import CorruptRecordError, HistoryError
from cactusledge.protocol.log_index import LogIndex, Retention, rebuild
from cactusledge.protocol.ring import Ring
from cactusledge.protocol.state import ProgramState
from model.platform import Platform, list_log
from model.world import NEVER_S, PROGRAM

CACHE_SIZE = 100_000


class Batch(NamedTuple):
    """Bytes of an append and the state behind it."""

    data: bytes
    oldest_needed: int
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
    log_index = LogIndex(size, Retention(NEVER_S))
    if program is not None:
        log_index.restore({PROGRAM: program}, {PROGRAM: base})
    carried = log_index.carry_forward(number, 0).records
    program_records = [
        record
        for record in records
        if not isinstance(record, (rec.Seal, rec.Void))
    ]
    log_index.apply_batch(number, program_records)
    oldest_needed = log_index.oldest_needed(number)
    return Batch(
        rec.encode_batch((*carried, *records)),
        oldest_needed,
        log_index.programs.get(PROGRAM),
        oldest_needed,
    )


def read_log(platform: Platform) -> Listed:
    """Returns what an heir finds at the platform."""
    return _read_log(platform._replace(late=frozenset()))


@lru_cache(CACHE_SIZE)
def _read_log(platform: Platform) -> Listed:
    try:
        ring = list_log(platform)
        log_index = rebuild(ring, Retention(NEVER_S)).log_index
    except (HistoryError, CorruptRecordError) as exc:
        return Listed(None, error=exc.message)
    base = log_index.oldest_needed(ring.next_number)
    return Listed(ring, log_index.programs.get(PROGRAM), base)


def clear_caches() -> None:
    """Forgets all results, as before the functions are patched."""
    make_batch.cache_clear()
    _read_log.cache_clear()

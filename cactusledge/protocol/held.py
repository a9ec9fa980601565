"""Merges records that peers held during an outage into a log."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import HistoryError
from cactusledge.protocol.ring import MAX_DATA_BYTES
from cactusledge.protocol.state import ProgramState
from cactusledge.protocol.steps import apply


class HeldPlan(NamedTuple):
    """Which held records to append to the log."""

    missing: tuple[rec.ProgramRecord, ...]  # to be appended in this order
    rejected: tuple[rec.ProgramRecord, ...]  # not in the digest chain


def plan_held(
    programs: Mapping[str, ProgramState],
    record_digests: frozenset[bytes],
    held: Iterable[rec.ProgramRecord],
) -> HeldPlan:
    """Returns the held records that the log lacks, in chain order.

    Records that are already in the log and duplicates are skipped. A record
    that does not follow its program's digest chain is rejected.
    """
    states = dict(programs)
    missing: list[rec.ProgramRecord] = []
    left = [
        record for record in held if rec.digest_of(record) not in record_digests
    ]
    count = -1
    while count != len(missing):
        count = len(missing)
        left = [item for item in left if not _follows(states, item, missing)]
    known = {rec.digest_of(record) for record in missing}
    rejected = (item for item in left if rec.digest_of(item) not in known)
    return HeldPlan(tuple(missing), tuple(rejected))


def _follows(
    states: dict[str, ProgramState],
    record: rec.ProgramRecord,
    missing: list[rec.ProgramRecord],
) -> bool:
    name = record.program_id
    try:
        states[name] = apply(states.get(name), record)
    except HistoryError:
        return False
    missing.append(record)
    return True


def split_batches(
    records: Sequence[rec.ProgramRecord],
    limit_bytes: int = MAX_DATA_BYTES,
) -> Iterator[tuple[rec.ProgramRecord, ...]]:
    """Yields the records in batches that each fit into one object."""
    batch: list[rec.ProgramRecord] = []
    left = limit_bytes
    for record in records:
        size = len(rec.encode_record(record))
        if batch and size > left:
            yield tuple(batch)
            batch = []
            left = limit_bytes
        batch.append(record)
        left -= size
    if batch:
        yield tuple(batch)

"""Records that a peer held during an outage, matched with a log."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import HistoryError
from cactusledge.protocol.ring import MAX_DATA_BYTES
from cactusledge.protocol.state import ProgramState
from cactusledge.protocol.steps import apply


class HeldPlan(NamedTuple):
    """What to do with held records."""

    missing: tuple[rec.ProgramRecord, ...]  # append in this order
    rejected: tuple[rec.ProgramRecord, ...]  # do not follow the history


def plan_held(
    programs: Mapping[str, ProgramState],
    seen: frozenset[bytes],
    held: Iterable[rec.ProgramRecord],
) -> HeldPlan:
    """Returns which held records the log lacks.

    A record that stands in the log is skipped. One that does not follow its
    program's digest chain is rejected, and so is what follows it.
    """
    states = dict(programs)
    missing: list[rec.ProgramRecord] = []
    rejected: list[rec.ProgramRecord] = []
    known = set(seen)
    for record in held:
        digest = rec.digest_of(record)
        if digest in known:
            continue
        known.add(digest)
        try:
            states[record.program_id] = apply(
                states.get(record.program_id), record
            )
        except HistoryError:
            rejected.append(record)
        else:
            missing.append(record)
    return HeldPlan(tuple(missing), tuple(rejected))


def split(
    records: Sequence[rec.ProgramRecord],
    limit_bytes: int = MAX_DATA_BYTES,
) -> Iterator[tuple[rec.ProgramRecord, ...]]:
    """Yields the records in batches that fit into one object each."""
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

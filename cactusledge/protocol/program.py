"""Replays the records of a log into the states of its programs."""

from collections.abc import Iterable
from typing import NamedTuple

from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import HistoryError
from cactusledge.protocol.state import (
    ANY_ENDPOINT,
    CallState,
    ProgramState,
    Share,
)
from cactusledge.protocol.steps import apply, require

__all__ = (
    'ANY_ENDPOINT',
    'CallState',
    'ProgramState',
    'Replay',
    'Share',
    'apply',
    'apply_all',
    'replay',
    'replay_log',
)


class Replay(NamedTuple):
    """Result of replaying a log."""

    programs: dict[str, ProgramState]
    record_digests: frozenset[bytes]  # of the records that were read


def apply_all(
    state: ProgramState | None,
    records: Iterable[rec.ProgramRecord],
) -> ProgramState | None:
    """Returns the state after all these records of one program."""
    for record in records:
        state = apply(state, record)
    return state


def replay(records: Iterable[rec.Record]) -> dict[str, ProgramState]:
    """Returns the programs described by the records of a log, by name."""
    return replay_log(records).programs


def replay_log(records: Iterable[rec.Record]) -> Replay:
    """Returns the programs and the digests of the records.

    Records whose base was overwritten may precede the snapshot that replaced
    the base; they must form a chain that ends at the snapshot.

    Raises:
        HistoryError: If a history is missing or mixes branches.
    """
    programs: dict[str, ProgramState] = {}
    orphans: dict[str, bytes] = {}
    record_digests: set[bytes] = set()
    for record in records:
        if isinstance(record, (rec.Seal, rec.Void)):
            continue
        _replay_one(programs, orphans, record)
        record_digests.add(_digest_after(programs, orphans, record))
    if orphans:
        raise HistoryError(
            f'The log lacks the first records of programs {sorted(orphans)}.',
            remedy='Restore the journal objects from a backup.',
        )
    return Replay(programs, frozenset(record_digests))


def _replay_one(
    programs: dict[str, ProgramState],
    orphans: dict[str, bytes],
    record: rec.ProgramRecord,
) -> None:
    name = record.program_id
    state = programs.get(name)
    if isinstance(record, rec.Dropped):
        _check_chain(record, state.digest if state else orphans.get(name))
        programs.pop(name, None)
        orphans.pop(name, None)
    elif isinstance(record, rec.ProgramSnapshot):
        _check_chain(record, orphans.pop(name, None))
        programs[name] = apply(state, record)
    elif state is None and not isinstance(record, rec.Opened):
        _check_chain(record, orphans.get(name))
        orphans[name] = rec.digest_of(record)
    else:
        programs[name] = apply(state, record)


def _digest_after(
    programs: dict[str, ProgramState],
    orphans: dict[str, bytes],
    record: rec.ProgramRecord,
) -> bytes:
    """Returns the digest of the record's chain after the record.

    For a record that removes the program, this is the digest before it.
    """
    state = programs.get(record.program_id)
    if state is not None:
        return state.digest
    return orphans.get(record.program_id, record.prev)


def _check_chain(record: rec.ProgramRecord, digest: bytes | None) -> None:
    known = digest is not None
    require(
        not known or digest == record.prev, record, 'its digest chain is broken'
    )

"""Replacements that take a guard of the protocol away."""

from typing import Any

from cactusledge.models import CallSpec, Outcome
from cactusledge.protocol import budget, calls, config_head, held, journal
from cactusledge.protocol import records as rec
from cactusledge.protocol.log_index import CarriedRecords, LogIndex
from cactusledge.protocol.ring import Slot
from cactusledge.protocol.state import ProgramState
from cactusledge.protocol.steps import apply
from model import world as wd

_classify_read_back = journal.classify_read_back
_commit = journal._commit  # ruff: ignore[private-member-access]
_takeover = calls.takeover_records
_settle = budget.settle
_resolve_head_write = config_head.resolve_write
_end = calls.end_records


def believe_foreign(
    state: journal.JournalState,
    slot: Slot,
) -> journal.ReadBackResult:
    """Goes on after another owner's append."""
    found = _classify_read_back(state, slot)
    if found is journal.ReadBackResult.FOREIGN:
        return journal.ReadBackResult.MINE
    return found


def assume_written(
    state: journal.JournalState,
    slot: Slot,
) -> journal.ReadBackResult:
    """Takes an unchanged slot for a success."""
    found = _classify_read_back(state, slot)
    if found is journal.ReadBackResult.UNCHANGED:
        return journal.ReadBackResult.MINE
    return found


def ignore_nonce(
    state: journal.JournalState,
    slot: Slot,
) -> journal.ReadBackResult:
    """Takes any append n for its own."""
    if slot.number == state.number:
        return journal.ReadBackResult.MINE
    return _classify_read_back(state, slot)


def commit_anything(
    state: journal.JournalState,
    nonce: str,
    version: str,
) -> journal.Step:
    """Commits whatever nonce was found."""
    return _commit(state, state.attempts[-1].nonce, version)


def same_nonce(
    state: journal.JournalState,
    data: bytes,
    *,
    void: bool,
) -> journal.JournalState:
    """Uses one nonce for all contents of an append."""
    nonce = f'{state.owner}#n{state.number}'
    attempt = journal.Attempt(nonce, data, void)
    return state._replace(attempts=(*state.attempts, attempt))


def resend(state: ProgramState) -> tuple[rec.ProgramRecord, ...]:
    """Leaves a non-idempotent call running after a takeover."""
    records = _takeover(state)
    return tuple(item for item in records if isinstance(item, rec.Touched))


def forget_engines(state: ProgramState) -> tuple[rec.ProgramRecord, ...]:
    """Leaves out that any engine may hold the cache."""
    records = _takeover(state)
    return tuple(item for item in records if not isinstance(item, rec.Touched))


def free_unknown(
    outcome: Outcome,
    reserve: int,
    reported: int,
) -> budget.Settlement:
    """Returns the reservation of an UNKNOWN call."""
    if outcome is Outcome.UNKNOWN:
        return budget.Settlement(0, 0)
    return _settle(outcome, reserve, reported)


def end_without_duty(
    state: ProgramState,
    reason: str,
    at_s: float,
) -> tuple[rec.ProgramRecord, ...]:
    """Ends a program without its release duties."""
    records = _end(state, reason, at_s)
    made: list[rec.ProgramRecord] = [
        item for item in records if not isinstance(item, rec.CacheRelease)
    ]
    done = state
    for record in made:
        done = apply(done, record)
    for endpoint in done.releases:
        made.append(calls.release_record(done, endpoint, done=True))
        done = apply(done, made[-1])
    return tuple(made)


def answer_at_once(world: wd.World, index: int) -> wd.World:
    """Answers before the outcome is durable."""
    instance = world.instances[index]
    if instance.program is None or instance.found is None:
        return world
    key = instance.program.calls[-1].key
    return wd.tell(world, index, key, instance.found)


def repeat_is_new(state: ProgramState, spec: CallSpec) -> calls.Decision:
    """Takes a repeat for the next call."""
    following = spec._replace(seq=len(state.calls) + 1)
    return calls.decide_call(state, following, 1)


def no_seal(world: wd.World, index: int, record: rec.Seal) -> wd.World:
    """Goes on after listing the log."""
    changed = world.instances[index]._replace(step=wd.Step.SEALED)
    return wd.replace_instance(world, index, changed)


def append_all(
    programs: Any, record_digests: Any, records: Any
) -> held.HeldPlan:
    """Appends all that the peer holds."""
    return held.HeldPlan(tuple(records), ())


def ignore_chain(
    programs: Any, record_digests: Any, records: Any
) -> held.HeldPlan:
    """Appends all that the log does not have."""
    new = [
        item for item in records if rec.digest_of(item) not in record_digests
    ]
    return held.HeldPlan(tuple(dict.fromkeys(new)), ())


def settle_by_generation(
    mine: config_head.Head,
    found: config_head.Head | None,
) -> config_head.HeadWriteResult:
    """Takes any head of the generation for its own."""
    if found is not None and found.generation == mine.generation:
        return config_head.HeadWriteResult.PUBLISHED
    return _resolve_head_write(mine, found)


def give_up_pending(
    mine: config_head.Head,
    found: config_head.Head | None,
) -> config_head.HeadWriteResult:
    """Takes an unchanged head for a failure."""
    write_result = _resolve_head_write(mine, found)
    if write_result is config_head.HeadWriteResult.REPEAT:
        return config_head.HeadWriteResult.LOST
    return write_result


def always(*_: Any) -> bool:
    """Agrees to anything."""
    return True


def nothing(*_: Any) -> None:
    """Checks nothing."""


def carry_nothing(*_: Any) -> CarriedRecords:
    """Carries nothing forward."""
    return CarriedRecords((), 0)


def newest(log_index: LogIndex, next_number: int) -> int:
    """Needs no former append."""
    return next_number


def same_world(world: wd.World, endpoint: str) -> wd.World:
    """Changes nothing."""
    return world


def whole_budget(state: ProgramState) -> int:
    """Returns the budget as if nothing was spent or reserved."""
    return state.budget

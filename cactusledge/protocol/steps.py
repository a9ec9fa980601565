"""Applies one record to the state of its program."""

from collections.abc import Callable, Iterable, Mapping
from itertools import starmap
from types import MappingProxyType
from typing import Any, TypeAlias

from cactusledge.models import CallKind, Outcome
from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import HistoryError
from cactusledge.protocol.state import CallState, ProgramState, Share


def apply(
    state: ProgramState | None, record: rec.ProgramRecord
) -> ProgramState:
    """Returns the state after the record.

    Raises:
        HistoryError: If the record does not follow the program's history.
    """
    if isinstance(record, rec.ProgramSnapshot):
        return _snapshot(state, record)
    if isinstance(record, rec.Opened):
        require(
            state is None and not record.prev,
            record,
            'it is not the first record',
        )
        return _open(record)
    if state is None:
        raise history_error(record, 'its program was not opened')
    require(
        state.program_id == record.program_id,
        record,
        'it names another program',
    )
    require(state.digest == record.prev, record, 'its digest chain is broken')
    changed = _STEPS[type(record)](state, record)
    return changed._replace(digest=rec.digest_of(record))


def _open(record: rec.Opened) -> ProgramState:
    return ProgramState(
        program_id=record.program_id,
        account=record.account,
        definition=record.definition,
        budget=record.budget,
        parent=record.parent,
        opened_at_s=record.opened_at_s,
        time_limit_s=record.time_limit_s,
        turn_limit=record.turn_limit,
        idle_limit_s=record.idle_limit_s,
        digest=rec.digest_of(record),
    )


def _snapshot(
    state: ProgramState | None,
    record: rec.ProgramSnapshot,
) -> ProgramState:
    taken = record.state
    require(
        taken.program_id == record.program_id,
        record,
        'it names another program',
    )
    require(taken.digest == record.prev, record, 'its digest differs')
    require(state is None or state == taken, record, 'its state differs')
    return taken


def _intent(state: ProgramState, record: rec.Intent) -> ProgramState:
    require(state.running is None, record, 'a call is running')
    require(not state.ended, record, 'the program has ended')
    require(record.seq == len(state.calls) + 1, record, 'a call is missing')
    require(
        0 <= record.reserve <= state.available, record, 'it exceeds the budget'
    )
    call = CallState(
        seq=record.seq,
        key=record.key,
        kind=record.kind,
        target=record.target,
        operation=record.operation,
        idempotent=record.idempotent,
        body=record.body,
        reserve=record.reserve,
        max_output_tokens=record.max_output_tokens,
    )
    return state._replace(calls=(*state.calls, call))


def _outcome(state: ProgramState, record: rec.OutcomeRecorded) -> ProgramState:
    call = state.running
    if call is None or call.seq != record.seq:
        raise history_error(record, 'no such call is running')
    require(0 <= record.spent <= call.reserve, record, 'it exceeds the reserve')
    before = state.calls[:-1]
    touched = _engines_used(state, call, record)
    if record.outcome is Outcome.NOT_RUN:
        return state._replace(calls=before, touched=touched)
    settled = call._replace(
        outcome=record.outcome,
        status=record.status,
        answer=record.body,
        spent=record.spent,
        overrun=record.overrun,
        usage=record.usage,
        endpoint=record.endpoint,
        code=record.code,
        remedy=record.remedy,
    )
    return state._replace(
        calls=(*before, settled),
        spent=state.spent + record.spent,
        touched=touched,
    )


def _engines_used(
    state: ProgramState,
    call: CallState,
    record: rec.OutcomeRecorded,
) -> tuple[str, ...]:
    if call.kind is not CallKind.MODEL:
        return state.touched
    names = (record.endpoint, *record.touched)
    return _union(state.touched, [name for name in names if name])


def _touched(state: ProgramState, record: rec.Touched) -> ProgramState:
    return state._replace(touched=_union(state.touched, [record.endpoint]))


def _share(state: ProgramState, record: rec.ShareReserved) -> ProgramState:
    require(not state.ended, record, 'the program has ended')
    require(
        0 <= record.amount <= state.available, record, 'it exceeds the budget'
    )
    known = any(share.child == record.child for share in state.shares)
    require(not known, record, 'the child already has a share')
    share = Share(record.child, record.amount)
    return state._replace(shares=(*state.shares, share))


def _returned(state: ProgramState, record: rec.ShareReturned) -> ProgramState:
    amounts = dict(state.shares)
    amount = amounts.pop(record.child, -1)
    require(0 <= record.spent <= amount, record, 'it exceeds the share')
    shares = tuple(starmap(Share, amounts.items()))
    return state._replace(shares=shares, spent=state.spent + record.spent)


def _ended(state: ProgramState, record: rec.Ended) -> ProgramState:
    require(not state.ended, record, 'the program has ended')
    require(state.running is None, record, 'a call is running')
    require(bool(record.reason), record, 'it has no reason')
    return state._replace(
        ended=record.reason,
        ended_at_s=record.at_s,
        releases=state.touched,
    )


def _release(state: ProgramState, record: rec.CacheRelease) -> ProgramState:
    require(bool(state.ended), record, 'the program has not ended')
    if not record.done:
        return state._replace(
            releases=_union(state.releases, [record.endpoint])
        )
    left = tuple(name for name in state.releases if name != record.endpoint)
    return state._replace(releases=left)


_Step: TypeAlias = Callable[[ProgramState, Any], ProgramState]
_STEPS: Mapping[type[Any], _Step] = MappingProxyType({
    rec.Intent: _intent,
    rec.OutcomeRecorded: _outcome,
    rec.Touched: _touched,
    rec.ShareReserved: _share,
    rec.ShareReturned: _returned,
    rec.Ended: _ended,
    rec.CacheRelease: _release,
})


def _union(names: tuple[str, ...], more: Iterable[str]) -> tuple[str, ...]:
    return tuple(dict.fromkeys((*names, *more)))


def require(holds: bool, record: rec.ProgramRecord, reason: str) -> None:
    """Raises `HistoryError` for the record unless the condition holds."""
    if not holds:
        raise history_error(record, reason)


def history_error(record: rec.ProgramRecord, reason: str) -> HistoryError:
    """Returns the error for a record that does not follow its history."""
    kind = type(record).__name__
    return HistoryError(
        f'{kind} of program {record.program_id!r} is out of place: {reason}.',
        remedy='Stop the log and compare its objects with a backup.',
    )

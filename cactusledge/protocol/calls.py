"""Decides how a call from a client is handled."""

from typing import NamedTuple, TypeAlias

from cactusledge.errors import ErrorCode
from cactusledge.models import Answer, CallSpec
from cactusledge.protocol import budget
from cactusledge.protocol import records as rec
from cactusledge.protocol.call_records import (
    answer_of,
    decode_body,
    encode_body,
    end_records,
    outcome_record,
    release_record,
    takeover_records,
)
from cactusledge.protocol.errors import RefusedCallError
from cactusledge.protocol.sizes import check_history
from cactusledge.protocol.state import ProgramState

__all__ = (
    'Decision',
    'Join',
    'Refuse',
    'Start',
    'Stored',
    'answer_of',
    'decide_call',
    'decode_body',
    'encode_body',
    'end_records',
    'outcome_record',
    'release_record',
    'takeover_records',
)

RUNNING_RETRY_S = 1.0


class Start(NamedTuple):
    """The call may be sent as soon as these records are durable."""

    records: tuple[rec.ProgramRecord, ...]


class Join(NamedTuple):
    """The call is already running; the caller waits for its answer."""

    seq: int


class Stored(NamedTuple):
    """The call has been answered; its stored answer is returned."""

    answer: Answer


class Refuse(NamedTuple):
    """The call is refused and not run."""

    error: RefusedCallError


Decision: TypeAlias = Start | Join | Stored | Refuse


def decide_call(state: ProgramState, spec: CallSpec, now_s: float) -> Decision:
    """Returns how to handle a call: run it, join it, replay it or refuse it."""
    if 1 <= spec.seq <= len(state.calls):
        return _decide_repeat(state, spec)
    refusal = _check_order(state, spec) or _check_limits(state, spec, now_s)
    if refusal is not None:
        return Refuse(refusal)
    body = encode_body(spec.body)
    refusal = check_history(state, len(body))
    if refusal is not None:
        return Refuse(refusal)
    intent = rec.Intent(
        program_id=state.program_id,
        seq=spec.seq,
        prev=state.digest,
        key=spec.key,
        kind=spec.kind,
        target=spec.target,
        operation=spec.operation,
        idempotent=spec.idempotent,
        body=body,
        reserve=spec.reserve,
        max_output_tokens=spec.max_output_tokens,
    )
    return Start((intent,))


def _decide_repeat(state: ProgramState, spec: CallSpec) -> Decision:
    call = state.calls[spec.seq - 1]
    asked = decode_body(encode_body(spec.body))  # ignores the order of members
    if call.key != spec.key or decode_body(call.body) != asked:
        return Refuse(
            _refusal(
                ErrorCode.SEQUENCE_CONFLICT,
                f'Call {spec.seq} was made with a different key or body.',
                f'Use sequence number {len(state.calls) + 1} for a new call.',
            )
        )
    if call.outcome is None:
        return Join(call.seq)
    return Stored(answer_of(state, call))


def _check_order(
    state: ProgramState, spec: CallSpec
) -> RefusedCallError | None:
    expected = len(state.calls) + 1
    if state.ended:
        return _refusal(
            ErrorCode.PROGRAM_ENDED,
            f'Program {state.program_id!r} has ended: {state.ended}.',
            'Open a new program.',
        )
    if state.running is not None:
        return RefusedCallError(
            ErrorCode.SEQUENCE_GAP,
            f'Call {state.running.seq} is still running.',
            remedy='Send the call after the previous one has been answered.',
            retry_after_s=RUNNING_RETRY_S,
        )
    if spec.seq != expected:
        return _refusal(
            ErrorCode.SEQUENCE_GAP,
            f'Call {spec.seq} is out of order.',
            f'Send sequence number {expected}.',
        )
    return None


def _check_limits(
    state: ProgramState,
    spec: CallSpec,
    now_s: float,
) -> RefusedCallError | None:
    if len(state.calls) >= state.turn_limit:
        return _refusal(
            ErrorCode.TURN_LIMIT,
            f'The program has reached its limit of {state.turn_limit} calls.',
            'End the program or raise its turn limit for the next one.',
        )
    if now_s >= state.opened_at_s + state.time_limit_s:
        return _refusal(
            ErrorCode.TIME_LIMIT,
            f'The program is older than {state.time_limit_s} s.',
            'End the program or raise its time limit for the next one.',
        )
    return budget.check_reserve(state, spec.reserve)


def _refusal(code: ErrorCode, message: str, remedy: str) -> RefusedCallError:
    return RefusedCallError(code, message, remedy=remedy)

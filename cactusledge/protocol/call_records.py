"""Builds the records that settle calls and end programs."""

from collections.abc import Mapping
from typing import Any

import msgspec

from cactusledge.errors import ErrorCode
from cactusledge.models import Answer, Outcome
from cactusledge.protocol import budget
from cactusledge.protocol import records as rec
from cactusledge.protocol.ring import MAX_ANSWER_BYTES
from cactusledge.protocol.state import ANY_ENDPOINT, CallState, ProgramState
from cactusledge.protocol.steps import apply

_UNKNOWN_REMEDY = (
    'Ask the service whether the call ran; it is not sent again. '
    'Go on with the next sequence number.'
)


def outcome_record(
    state: ProgramState,
    seq: int,
    answer: Answer,
    endpoint: str = '',
    touched: tuple[str, ...] = (),
) -> rec.OutcomeRecorded:
    """Returns the record that settles the running call.

    A body larger than `MAX_ANSWER_BYTES` is replaced by a document that
    states its size.

    Args:
        state: The program whose call is running.
        seq: The call's sequence number.
        answer: The answer; `spent` is what the endpoint reported.
        endpoint: The endpoint that answered.
        touched: Other engines that the call was attempted on.
    """
    call = state.calls[seq - 1]
    settled = budget.settle(answer.outcome, call.reserve, answer.spent)
    return rec.OutcomeRecorded(
        program_id=state.program_id,
        seq=seq,
        prev=state.digest,
        outcome=answer.outcome,
        status=answer.status,
        body=_stored_body(answer),
        spent=settled.spent,
        overrun=settled.overrun,
        usage=answer.usage,
        endpoint=endpoint,
        touched=touched,
        code=answer.code,
        remedy=answer.remedy,
    )


def end_records(
    state: ProgramState,
    reason: str,
    at_s: float,
) -> tuple[rec.ProgramRecord, ...]:
    """Returns the records that end a program; none if it has already ended.

    A call that is still running is settled as UNKNOWN. A cache release is
    requested from each engine that the program has used.
    """
    if state.ended:
        return ()
    records: list[rec.ProgramRecord] = []
    if state.running is not None:
        records.append(_unknown_outcome(state, state.running))
        state = apply(state, records[-1])
    seq = len(state.calls)
    records.append(rec.Ended(state.program_id, seq, state.digest, reason, at_s))
    state = apply(state, records[-1])
    for endpoint in state.releases:
        records.append(release_record(state, endpoint, done=False))
        state = apply(state, records[-1])
    return tuple(records)


def release_record(
    state: ProgramState,
    endpoint: str,
    *,
    done: bool,
) -> rec.CacheRelease:
    """Returns the record of a cache release, requested or done."""
    seq = len(state.calls)
    return rec.CacheRelease(state.program_id, seq, state.digest, endpoint, done)


def takeover_records(state: ProgramState) -> tuple[rec.ProgramRecord, ...]:
    """Returns what a new owner of the log appends before it runs a program.

    The previous owner may have sent calls whose records were not yet durable,
    hence any engine may hold the cache. A non-idempotent call without an
    outcome becomes UNKNOWN, since sending it again might run it twice; an
    idempotent one stays running and the new owner sends it again.
    """
    if state.ended:
        return ()
    records: list[rec.ProgramRecord] = []
    if ANY_ENDPOINT not in state.touched:
        seq = len(state.calls)
        records.append(
            rec.Touched(state.program_id, seq, state.digest, ANY_ENDPOINT)
        )
        state = apply(state, records[-1])
    call = state.running
    if call is not None and not call.idempotent:
        records.append(_unknown_outcome(state, call))
    return tuple(records)


def answer_of(
    state: ProgramState,
    call: CallState,
    *,
    durable: bool = True,
) -> Answer:
    """Returns the stored answer of a call that has an outcome."""
    return Answer(
        program_id=state.program_id,
        seq=call.seq,
        outcome=call.outcome or Outcome.UNKNOWN,
        status=call.status,
        body=decode_body(call.answer),
        spent=call.spent,
        usage=call.usage,
        durable=durable,
        code=call.code,
        remedy=call.remedy,
    )


def encode_body(body: Mapping[str, Any]) -> bytes:
    """Returns the JSON bytes of a document."""
    return msgspec.json.encode(body)


def decode_body(body: bytes) -> Mapping[str, Any]:
    """Returns the decoded JSON document; an empty one for no bytes."""
    document: Mapping[str, Any] = msgspec.json.decode(body) if body else {}
    return document


def _stored_body(answer: Answer) -> bytes:
    """Returns the answer's JSON, or just its size if it is too large."""
    body = encode_body(answer.body)
    if len(body) <= MAX_ANSWER_BYTES:
        return body
    return encode_body({'too_large_to_keep': True, 'bytes': len(body)})


def _unknown_outcome(
    state: ProgramState, call: CallState
) -> rec.OutcomeRecorded:
    answer = Answer(
        program_id=state.program_id,
        seq=call.seq,
        outcome=Outcome.UNKNOWN,
        status=0,
        body={},
        spent=0,
        code=ErrorCode.OUTCOME_UNKNOWN,
        remedy=_UNKNOWN_REMEDY,
    )
    return outcome_record(state, call.seq, answer)

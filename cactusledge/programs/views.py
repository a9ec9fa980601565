"""Requests to the program drivers and the views they return."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from cactusledge.models import CallKind
from cactusledge.protocol.calls import decode_body
from cactusledge.protocol.state import CallState, ProgramState


class OpenArgs(NamedTuple):
    """A request to open a program."""

    account: str
    definition: str
    key: str
    parent: str = ''
    budget: int = 0  # 0 means the definition's budget


class CallArgs(NamedTuple):
    """A request to make the next call of a program."""

    account: str
    program_id: str
    seq: int
    key: str
    kind: CallKind
    target: str
    operation: str
    body: Mapping[str, Any]  # messages (model call) or arguments (service)
    max_output_tokens: int = 0  # 0 means the definition's limit
    traceparent: str = ''


class ProgramView(NamedTuple):
    """The state of a program that its caller sees."""

    program_id: str
    account: str
    definition: str
    parent: str
    next_seq: int
    budget: int
    spent: int
    reserved: int
    ended: bool
    end_reason: str
    durable: bool


class HistoryEntry(NamedTuple):
    """One call of a program's history."""

    seq: int
    key: str
    kind: str
    target: str
    operation: str
    request: Mapping[str, Any]
    outcome: str  # '' while running
    status: int
    answer: Mapping[str, Any]
    spent: int
    code: str = ''


def view_of(state: ProgramState) -> ProgramView:
    """Returns the caller's view of a program."""
    return ProgramView(
        program_id=state.program_id,
        account=state.account,
        definition=state.definition,
        parent=state.parent,
        next_seq=len(state.calls) + 1,
        budget=state.budget,
        spent=state.spent,
        reserved=state.reserved,
        ended=bool(state.ended),
        end_reason=state.ended,
        durable=True,
    )


def history_of(state: ProgramState) -> tuple[HistoryEntry, ...]:
    """Returns the caller's view of a program's calls."""
    return tuple(_entry_of(call) for call in state.calls)


def _entry_of(call: CallState) -> HistoryEntry:
    return HistoryEntry(
        seq=call.seq,
        key=call.key,
        kind=str(call.kind),
        target=call.target,
        operation=call.operation,
        request=decode_body(call.body),
        outcome=str(call.outcome or ''),
        status=call.status,
        answer=decode_body(call.answer),
        spent=call.spent,
        code=call.code,
    )

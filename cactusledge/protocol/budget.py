"""Budget rules: reserve the upper bound of a call, settle when it is over.

A sub-agent spends from a share of its parent's budget. Both programs are in
the same log. The share and the child's opening are written as one batch, and
so are the child's end and the return of the unspent rest, so that neither
record can exist without the other.
"""

from typing import NamedTuple

from cactusledge.errors import ErrorCode
from cactusledge.models import Outcome
from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import RefusedCallError
from cactusledge.protocol.state import ProgramState


class Settlement(NamedTuple):
    """Final cost of a call, in budget units."""

    spent: int
    overrun: int  # units reported in excess of the reserve


def settle(outcome: Outcome, reserve: int, reported: int) -> Settlement:
    """Returns the cost of a call; an UNKNOWN one costs its whole reserve."""
    if outcome is Outcome.NOT_RUN:
        return Settlement(0, 0)
    if outcome is Outcome.UNKNOWN:
        return Settlement(reserve, 0)
    spent = min(max(0, reported), reserve)
    return Settlement(spent, max(0, reported - reserve))


def check_reserve(state: ProgramState, amount: int) -> RefusedCallError | None:
    """Returns a refusal if the amount exceeds the available budget."""
    if 0 <= amount <= state.available:
        return None
    return RefusedCallError(
        ErrorCode.BUDGET_EXCEEDED,
        f'{amount} units exceed the {state.available} that are left.',
        remedy='Lower the upper bound of the call or end the program.',
    )


def open_child(
    parent: ProgramState,
    opened: rec.Opened,
) -> tuple[rec.ProgramRecord, ...]:
    """Returns the records that open a sub-agent, to be appended as one batch.

    Raises:
        RefusedCallError: If the parent has ended or lacks the budget.
    """
    if parent.ended:
        raise RefusedCallError(
            ErrorCode.PROGRAM_ENDED,
            f'Program {parent.program_id!r} has ended.',
            remedy='Open the sub-agent from a running program.',
        )
    refusal = check_reserve(parent, opened.budget)
    if refusal is not None:
        raise refusal
    share = rec.ShareReserved(
        parent.program_id,
        len(parent.calls),
        parent.digest,
        opened.program_id,
        opened.budget,
    )
    return (share, opened._replace(parent=parent.program_id))


def return_share(
    parent: ProgramState,
    child: ProgramState,
) -> rec.ShareReturned:
    """Returns the parent's record that belongs in the batch of the child's end.

    Units still reserved by the child's own sub-agents count as spent.
    """
    return rec.ShareReturned(
        parent.program_id,
        len(parent.calls),
        parent.digest,
        child.program_id,
        child.spent + child.reserved,
    )

"""Replacements that take a guard of the shares away."""

from cactusledge.protocol import budget
from cactusledge.protocol import records as rec
from cactusledge.protocol.state import ProgramState

_return = budget.return_share


def split(
    records: tuple[rec.ProgramRecord, ...],
) -> tuple[tuple[rec.ProgramRecord, ...], ...]:
    """Makes a batch of each record."""
    return tuple((record,) for record in records)


def open_freely(
    parent: ProgramState,
    opened: rec.Opened,
) -> tuple[rec.ProgramRecord, ...]:
    """Opens a sub-agent without a share."""
    return (opened._replace(parent=parent.program_id),)


def return_all(
    parent: ProgramState,
    child: ProgramState,
) -> rec.ShareReturned:
    """Returns a share as if nothing was spent."""
    return _return(parent, child)._replace(spent=0)

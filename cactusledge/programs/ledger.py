"""In-memory state of a log's programs and the records that change it."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from cactusledge.programs.errors import no_such_program_error
from cactusledge.programs.journal.sink import RecordSink
from cactusledge.protocol import budget, calls
from cactusledge.protocol.program import apply
from cactusledge.protocol.records import Opened, ProgramRecord
from cactusledge.protocol.state import ProgramState


class Ledger:
    """Applies records to the programs and passes them to the log's writer.

    Memory and log get the same records in the same order, so that replaying
    the log gives the same programs.
    """

    def __init__(
        self,
        sink: RecordSink,
        programs: Mapping[str, ProgramState],
    ) -> None:
        """Starts from the programs replayed from the log."""
        self._sink = sink
        self._programs = dict(programs)
        self.last_commit: Any = None

    def find(self, program_id: str) -> ProgramState | None:
        """Returns a program, or None if there is none."""
        return self._programs.get(program_id)

    def state(self, program_id: str) -> ProgramState:
        """Returns a program; raises NoSuchProgramError."""
        state = self._programs.get(program_id)
        if state is None:
            raise no_such_program_error(program_id)
        return state

    def states(self) -> Iterable[ProgramState]:
        """Returns all programs."""
        return self._programs.values()

    def commit(self, records: Sequence[ProgramRecord]) -> Any:
        """Applies the records; returns the future of their durability."""
        if not records:
            return self.last_commit
        changed: dict[str, ProgramState] = {}
        for record in records:
            program_id = record.program_id
            state = changed.get(program_id) or self._programs.get(program_id)
            changed[program_id] = apply(state, record)
        self.last_commit = self._sink.append(records)
        self._programs.update(changed)
        return self.last_commit

    def open(self, opened: Opened) -> Any:
        """Opens a program; a sub-agent's budget is reserved at its parent."""
        if not opened.parent:
            return self.commit((opened,))
        parent = self.state(opened.parent)
        return self.commit(budget.open_child(parent, opened))

    def end(self, state: ProgramState, reason: str, at_s: float) -> Any:
        """Ends a program; a sub-agent returns its unspent budget."""
        records = list(calls.end_records(state, reason, at_s))
        parent = self._programs.get(state.parent)
        if records and parent is not None and _has_share(parent, state):
            records.append(budget.return_share(parent, state))
        return self.commit(records)


def _has_share(parent: ProgramState, child: ProgramState) -> bool:
    return any(share.child == child.program_id for share in parent.shares)

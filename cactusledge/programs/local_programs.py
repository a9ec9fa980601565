"""Access to the programs in the logs that this instance owns."""

from typing import Any

import pykka

from cactusledge.programs import messages as msg
from cactusledge.programs.calls.runner import Durability
from cactusledge.programs.calls.stream import CallStream
from cactusledge.programs.errors import NoDriverError, NoSuchProgramError
from cactusledge.programs.ids import log_of
from cactusledge.programs.logs.owned import LogTable
from cactusledge.programs.views import (
    CallArgs,
    HistoryEntry,
    OpenArgs,
    ProgramView,
)
from cactusledge.protocol.errors import FencedError, RefusedCallError

DRIVER_TIMEOUT_S = 30.0
NO_DRIVER_RETRY_S = 2.0


class LocalPrograms:
    """Sends requests to the drivers of the logs that this instance owns."""

    def __init__(self, table: LogTable, durability: Durability) -> None:
        """Uses the drivers in `table`."""
        self._table = table
        self._durability = durability

    def owns_log(self, log: str) -> bool:
        """Returns whether this instance owns the log."""
        return self._table.find(log) is not None

    def open_program(self, program_id: str, args: OpenArgs) -> ProgramView:
        """Opens a program; waits until it is durable or held by a peer."""
        message = msg.Open(program_id, args)
        return self._recorded(program_id, message)

    def call(self, args: CallArgs) -> CallStream:
        """Starts a call, joins a running one or returns a stored answer."""
        stream: CallStream = self._ask(args.program_id, msg.Call(args))
        return stream

    def view(self, account: str, program_id: str) -> ProgramView:
        """Returns a program's state."""
        view: ProgramView = self._ask(program_id, msg.View(account, program_id))
        self._confirm(program_id)
        return view

    def view_any_account(self, program_id: str) -> ProgramView:
        """Returns a program's state without checking its account."""
        view: ProgramView = self._ask(program_id, msg.View(None, program_id))
        self._confirm(program_id)
        return view

    def history(
        self,
        account: str,
        program_id: str,
    ) -> tuple[HistoryEntry, ...]:
        """Returns a program's calls."""
        entries: tuple[HistoryEntry, ...] = self._ask(
            program_id,
            msg.History(account, program_id),
        )
        self._confirm(program_id)
        return entries

    def end_program(
        self,
        account: str,
        program_id: str,
        reason: str,
    ) -> ProgramView:
        """Ends a program; waits until that is durable or held by a peer."""
        message = msg.End(account, program_id, reason)
        return self._recorded(program_id, message)

    def _recorded(self, program_id: str, message: Any) -> ProgramView:
        recorded: msg.Recorded = self._ask(program_id, message)
        view: ProgramView = recorded.reply
        try:
            durable = self._durability.wait(recorded.durable)
        except FencedError:
            raise _no_driver_error(program_id) from None
        return view._replace(durable=durable)

    def _ask(self, program_id: str, message: Any) -> Any:
        owned = self._table.find(log_of(program_id))
        if owned is None:
            raise _no_driver_error(program_id)
        try:
            return owned.driver.ask(message, timeout=DRIVER_TIMEOUT_S)
        except (pykka.ActorDeadError, pykka.Timeout, FencedError):
            raise _no_driver_error(program_id) from None
        except (NoSuchProgramError, RefusedCallError):
            self._confirm(program_id)
            raise

    def _confirm(self, program_id: str) -> None:
        """Confirms that this instance still owns the log it answered from.

        Raises:
            NoDriverError: Another instance has sealed the log.
        """
        owned = self._table.find(log_of(program_id))
        if owned is None:
            raise _no_driver_error(program_id)
        try:
            self._durability.wait(owned.confirm())
        except FencedError:
            raise _no_driver_error(program_id) from None


def _no_driver_error(program_id: str) -> NoDriverError:
    return NoDriverError(
        f'The program {program_id!r} moved to another instance.',
        remedy='Repeat the request with the same key.',
        retry_after_s=NO_DRIVER_RETRY_S,
    )

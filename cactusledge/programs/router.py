"""Finds the instance that drives a program, and asks it."""

import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol, TypeVar

import pykka

from cactusledge.programs import messages as msg
from cactusledge.programs.call_stream import CallStream
from cactusledge.programs.errors import (
    NoDriverError,
    NoSuchProgramError,
    unreachable_driver,
)
from cactusledge.programs.ids import (
    child_program_id,
    data_centre_of,
    log_of,
    new_program_id,
)
from cactusledge.programs.logs import LogTable
from cactusledge.programs.runner import Durability
from cactusledge.programs.views import (
    CallArgs,
    HistoryEntry,
    OpenArgs,
    ProgramView,
)
from cactusledge.protocol.errors import FencedError, RefusedCallError

Reply = TypeVar('Reply')

DRIVER_WAIT_S = 30.0
OWNER_WAIT_S = 6.0
OWNER_POLL_S = 0.1
NO_DRIVER_RETRY_S = 2.0


class RemotePrograms(Protocol):
    """The programs that another instance drives."""

    def open_program(self, program_id: str, args: OpenArgs) -> ProgramView:
        """Opens a program there."""

    def call(self, args: CallArgs) -> CallStream:
        """Makes a call there and follows it."""

    def view(self, account: str, program_id: str) -> ProgramView:
        """Returns a program's state from there."""

    def history(
        self,
        account: str,
        program_id: str,
    ) -> tuple[HistoryEntry, ...]:
        """Returns a program's calls from there."""

    def end_program(
        self,
        account: str,
        program_id: str,
        reason: str,
    ) -> ProgramView:
        """Ends a program there."""


class LocalPrograms:
    """The programs of the logs that this instance owns."""

    def __init__(self, table: LogTable, durability: Durability) -> None:
        """Keeps the owned logs."""
        self._table = table
        self._durability = durability

    def drives(self, log: str) -> bool:
        """Returns whether this instance owns the log."""
        return self._table.find(log) is not None

    def open_program(self, program_id: str, args: OpenArgs) -> ProgramView:
        """Opens a program and waits for its record."""
        message = msg.Open(program_id, args)
        return self._recorded(program_id, message)

    def call(self, args: CallArgs) -> CallStream:
        """Starts, joins or re-reads a call."""
        stream: CallStream = self._ask(args.program_id, msg.Call(args))
        return stream

    def view(self, account: str, program_id: str) -> ProgramView:
        """Returns a program's state."""
        view: ProgramView = self._ask(program_id, msg.View(account, program_id))
        self._confirm(program_id)
        return view

    def view_unchecked(self, program_id: str) -> ProgramView:
        """Returns a program's state, whichever account it belongs to."""
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
        """Ends a program and waits for its record."""
        message = msg.End(account, program_id, reason)
        return self._recorded(program_id, message)

    def _recorded(self, program_id: str, message: Any) -> ProgramView:
        recorded: msg.Recorded = self._ask(program_id, message)
        view: ProgramView = recorded.reply
        try:
            durable = self._durability.wait(recorded.durable)
        except FencedError:
            raise _no_driver(program_id) from None
        return view._replace(durable=durable)

    def _ask(self, program_id: str, message: Any) -> Any:
        owned = self._table.find(log_of(program_id))
        if owned is None:
            raise _no_driver(program_id)
        try:
            return owned.driver.ask(message, timeout=DRIVER_WAIT_S)
        except (pykka.ActorDeadError, pykka.Timeout, FencedError):
            raise _no_driver(program_id) from None
        except (NoSuchProgramError, RefusedCallError):
            self._confirm(program_id)
            raise

    def _confirm(self, program_id: str) -> None:
        """Makes sure that the state just told is not a former owner's.

        Raises:
            NoDriverError: Another instance has sealed the log.
        """
        owned = self._table.find(log_of(program_id))
        if owned is None:
            raise _no_driver(program_id)
        try:
            self._durability.wait(owned.confirm())
        except FencedError:
            raise _no_driver(program_id) from None


class Home(NamedTuple):
    """Where this instance opens programs."""

    data_centre: str
    logs: int


class ProgramRouter:
    """Asks the local drivers, or the instance that owns the log."""

    def __init__(
        self,
        home: Home,
        local: LocalPrograms,
        find_remote: Callable[[str], RemotePrograms | None],
    ) -> None:
        """Prepares the router.

        Args:
            home: Data centre and number of its logs.
            local: Programs that this instance drives.
            find_remote: Returns the owner of a log among the live peers.
        """
        self._home = home
        self._local = local
        self._find_remote = find_remote

    def open_program(self, args: OpenArgs) -> ProgramView:
        """Opens a program in this data centre, or beside its parent."""
        program_id = self._new_id(args)
        return self._at_owner(
            program_id,
            lambda programs: programs.open_program(program_id, args),
        )

    def call(self, args: CallArgs) -> CallStream:
        """Makes a call wherever its program is driven.

        Raises:
            NoDriverError: No driver answered. Its outcome is UNKNOWN, as an
                earlier request may have made the call.
        """
        try:
            return self._at_owner(
                args.program_id,
                lambda programs: programs.call(args),
            )
        except NoDriverError as exc:
            raise unreachable_driver(exc) from exc

    def view(self, account: str, program_id: str) -> ProgramView:
        """Returns a program's state."""
        return self._at_owner(
            program_id,
            lambda programs: programs.view(account, program_id),
        )

    def history(
        self,
        account: str,
        program_id: str,
    ) -> tuple[HistoryEntry, ...]:
        """Returns a program's calls."""
        return self._at_owner(
            program_id,
            lambda programs: programs.history(account, program_id),
        )

    def end_program(
        self,
        account: str,
        program_id: str,
        reason: str,
    ) -> ProgramView:
        """Ends a program."""
        return self._at_owner(
            program_id,
            lambda programs: programs.end_program(account, program_id, reason),
        )

    def _new_id(self, args: OpenArgs) -> str:
        if args.parent:
            return child_program_id(args.parent, args.account, args.key)
        return new_program_id(
            self._home.data_centre,
            self._home.logs,
            args.account,
            args.key,
        )

    def _at_owner(
        self,
        program_id: str,
        ask: 'Callable[[LocalPrograms | RemotePrograms], Reply]',
    ) -> Reply:
        """Asks the log's owner, waiting a little for there to be one.

        Repeating is safe: every request names its program, sequence number
        and key, so the owner answers a second one like the first.
        """
        log = log_of(program_id)
        give_up_s = time.monotonic() + OWNER_WAIT_S
        while True:
            try:
                return ask(self._owner(log))
            except NoDriverError:
                if time.monotonic() >= give_up_s:
                    raise
            time.sleep(OWNER_POLL_S)

    def _owner(self, log: str) -> LocalPrograms | RemotePrograms:
        if self._local.drives(log):
            return self._local
        remote = self._find_remote(log)
        if remote is None:
            raise NoDriverError(
                f'No instance in {data_centre_of(log)} drives log {log}.',
                remedy='Repeat the request with the same key.',
                retry_after_s=NO_DRIVER_RETRY_S,
            )
        return remote


def _no_driver(program_id: str) -> NoDriverError:
    return NoDriverError(
        f'The program {program_id!r} moved to another instance.',
        remedy='Repeat the request with the same key.',
        retry_after_s=NO_DRIVER_RETRY_S,
    )

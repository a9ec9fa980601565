"""Finds the instance that drives a program, and asks it."""

import time
from collections.abc import Callable
from typing import NamedTuple, Protocol, TypeVar

from cactusledge.programs.call_stream import CallStream
from cactusledge.programs.errors import NoDriverError, driver_unreachable_error
from cactusledge.programs.ids import (
    child_program_id,
    data_centre_of,
    log_of,
    new_program_id,
)
from cactusledge.programs.local_programs import (
    NO_DRIVER_RETRY_S,
    LocalPrograms,
)
from cactusledge.programs.views import (
    CallArgs,
    HistoryEntry,
    OpenArgs,
    ProgramView,
)

Reply = TypeVar('Reply')

OWNER_WAIT_S = 6.0
OWNER_POLL_S = 0.1


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


class HomeLogs(NamedTuple):
    """Where this instance opens programs."""

    data_centre: str
    logs: int


class ProgramRouter:
    """Asks the local drivers, or the instance that owns the log."""

    def __init__(
        self,
        home: HomeLogs,
        local: LocalPrograms,
        find_remote_owner: Callable[[str], RemotePrograms | None],
    ) -> None:
        """Prepares the router.

        Args:
            home: Data centre and number of its logs.
            local: Programs that this instance drives.
            find_remote_owner: Returns the owner of a log among the live peers.
        """
        self._home = home
        self._local = local
        self._find_remote_owner = find_remote_owner

    def open_program(self, args: OpenArgs) -> ProgramView:
        """Opens a program in this data centre, or beside its parent."""
        program_id = self._new_id(args)
        return self._ask_owner(
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
            return self._ask_owner(
                args.program_id,
                lambda programs: programs.call(args),
            )
        except NoDriverError as exc:
            raise driver_unreachable_error(exc) from exc

    def view(self, account: str, program_id: str) -> ProgramView:
        """Returns a program's state."""
        return self._ask_owner(
            program_id,
            lambda programs: programs.view(account, program_id),
        )

    def history(
        self,
        account: str,
        program_id: str,
    ) -> tuple[HistoryEntry, ...]:
        """Returns a program's calls."""
        return self._ask_owner(
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
        return self._ask_owner(
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

    def _ask_owner(
        self,
        program_id: str,
        ask: 'Callable[[LocalPrograms | RemotePrograms], Reply]',
    ) -> Reply:
        """Asks the log's owner, waiting a little for there to be one.

        Repeating is safe: every request names its program, sequence number
        and key, so the owner answers a second one like the first.
        """
        log = log_of(program_id)
        deadline_s = time.monotonic() + OWNER_WAIT_S
        while True:
            try:
                return ask(self._find_owner(log))
            except NoDriverError:
                if time.monotonic() >= deadline_s:
                    raise
            time.sleep(OWNER_POLL_S)

    def _find_owner(self, log: str) -> LocalPrograms | RemotePrograms:
        if self._local.owns_log(log):
            return self._local
        remote = self._find_remote_owner(log)
        if remote is None:
            raise NoDriverError(
                f'No instance in {data_centre_of(log)} drives log {log}.',
                remedy='Repeat the request with the same key.',
                retry_after_s=NO_DRIVER_RETRY_S,
            )
        return remote

"""Routes requests to the instance that drives the program."""

import time
from collections.abc import Callable
from typing import NamedTuple, Protocol, TypeVar

from cactusledge.programs.calls.stream import CallStream
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
    """Interface to programs that another instance drives."""

    def open_program(self, program_id: str, args: OpenArgs) -> ProgramView:
        """Opens a program at the owner."""

    def call(self, args: CallArgs) -> CallStream:
        """Forwards a call to the owner and follows it."""

    def view(self, account: str, program_id: str) -> ProgramView:
        """Returns a program's state from the owner."""

    def history(
        self,
        account: str,
        program_id: str,
    ) -> tuple[HistoryEntry, ...]:
        """Returns a program's calls from the owner."""

    def end_program(
        self,
        account: str,
        program_id: str,
        reason: str,
    ) -> ProgramView:
        """Ends a program at the owner."""


class HomeLogs(NamedTuple):
    """Data centre and number of logs for new programs."""

    data_centre: str
    logs: int


class ProgramRouter:
    """Sends requests to local drivers or to the peer that owns the log."""

    def __init__(
        self,
        home: HomeLogs,
        local: LocalPrograms,
        find_remote_owner: Callable[[str], RemotePrograms | None],
    ) -> None:
        """Creates a router; no owner is looked up yet.

        Args:
            home: Data centre of this instance and the number of its logs.
            local: Programs that this instance drives.
            find_remote_owner: Returns the live peer that owns a log, or None.
        """
        self._home = home
        self._local = local
        self._find_remote_owner = find_remote_owner

    def open_program(self, args: OpenArgs) -> ProgramView:
        """Opens a program in this data centre or in its parent's log."""
        program_id = self._new_id(args)
        return self._ask_owner(
            program_id,
            lambda programs: programs.open_program(program_id, args),
        )

    def call(self, args: CallArgs) -> CallStream:
        """Makes a call at the instance that drives its program.

        Raises:
            NoDriverError: No driver answered. The outcome is UNKNOWN because
                an earlier request may have run the call.
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
        """Sends a request to the log's owner; retries for `OWNER_WAIT_S`.

        Retries are safe: every request names its program, sequence number
        and key, so the owner answers a repeated one like the first.
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

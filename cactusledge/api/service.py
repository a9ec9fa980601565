"""Interfaces that the caller API needs from the instance."""

from collections.abc import Mapping
from typing import Any, Protocol

from cactusledge.programs.calls.stream import CallStream
from cactusledge.programs.views import (
    CallArgs,
    HistoryEntry,
    OpenArgs,
    ProgramView,
)


class ProgramService(Protocol):
    """Access to programs, whichever instance or data centre runs them."""

    def open_program(self, args: OpenArgs) -> ProgramView:
        """Opens a program, or returns the one already opened with this key."""

    def call(self, args: CallArgs) -> CallStream:
        """Starts a call; a repeated request joins the existing call."""

    def view(self, account: str, program_id: str) -> ProgramView:
        """Returns a program's state."""

    def history(
        self,
        account: str,
        program_id: str,
    ) -> tuple[HistoryEntry, ...]:
        """Returns a program's calls in sequence order."""

    def end_program(
        self,
        account: str,
        program_id: str,
        reason: str,
    ) -> ProgramView:
        """Ends a program and starts releasing its caches."""


class InstanceReport(Protocol):
    """State and metrics of the instance."""

    def is_ready(self) -> bool:
        """Returns whether the load balancer should send requests here."""

    def status(self) -> Mapping[str, Any]:
        """Returns the document of `GET /status`."""

    def metrics_text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""


class AccountLookup(Protocol):
    """Finds the account that a bearer token belongs to."""

    def __call__(self, token: str) -> str | None:
        """Returns the account's name, or None for an unknown token."""

"""What the caller API asks of the rest of the instance."""

from collections.abc import Mapping
from typing import Any, Protocol

from cactusledge.programs.call_stream import CallStream
from cactusledge.programs.views import (
    CallArgs,
    HistoryEntry,
    OpenArgs,
    ProgramView,
)


class ProgramService(Protocol):
    """Programs, wherever in the data centres they are driven."""

    def open_program(self, args: OpenArgs) -> ProgramView:
        """Opens a program, or returns the one this key opened before."""

    def call(self, args: CallArgs) -> CallStream:
        """Starts a call, or joins it when it is a repeat."""

    def view(self, account: str, program_id: str) -> ProgramView:
        """Returns a program's state."""

    def history(
        self,
        account: str,
        program_id: str,
    ) -> tuple[HistoryEntry, ...]:
        """Returns a program's calls in their order."""

    def end_program(
        self,
        account: str,
        program_id: str,
        reason: str,
    ) -> ProgramView:
        """Ends a program and starts the release of its caches."""


class InstanceReport(Protocol):
    """What the instance tells of itself."""

    def is_ready(self) -> bool:
        """Returns whether the balancer should send requests here."""

    def status(self) -> Mapping[str, Any]:
        """Returns the document of `GET /status`."""

    def metrics_text(self) -> bytes:
        """Returns the metrics in Prometheus's text format."""


class AccountLookup(Protocol):
    """Finds the account that a bearer token belongs to."""

    def __call__(self, token: str) -> str | None:
        """Returns the account's name, or None for an unknown token."""

"""Interface between a driver and the writer of its log."""

from collections.abc import Sequence
from typing import Any, Protocol

from cactusledge.protocol.records import ProgramRecord


class RecordSink(Protocol):
    """Appends records in order and makes them durable."""

    def append(self, records: Sequence[ProgramRecord]) -> Any:
        """Appends records.

        Returns a pykka future that resolves once they are durable.
        """

    def is_up(self) -> bool:
        """Returns whether the platform confirmed the latest write in time."""

    def has_room(self) -> bool:
        """Returns whether the waiting records leave room for new work."""

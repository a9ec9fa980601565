"""What a driver needs of its log's writer."""

from collections.abc import Sequence
from typing import Any, Protocol

from cactusledge.protocol.records import ProgramRecord


class RecordSink(Protocol):
    """Takes records in their order and makes them durable."""

    def append(self, records: Sequence[ProgramRecord]) -> Any:
        """Returns a pykka future that resolves once they are durable."""

    def is_up(self) -> bool:
        """Returns whether the platform took the latest write in time."""

    def has_room(self) -> bool:
        """Returns whether further programs and calls may be recorded."""

"""Which prompt parts the endpoints have read, as the gateways tell.

Soft state: it only makes placement better, and is gone with the process.
"""

import itertools
import secrets
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from cactusledge.records.gateway_messages import ReadPart

MAX_ENTRIES = 4096
EPOCH_BYTES = 4

ReadPartKey = tuple[str, int, str]


class ListPosition(NamedTuple):
    """Up to where a list has been read."""

    epoch: str = ''  # of the process that keeps the list
    position: int = 0


class ReadPartsUpdate(NamedTuple):
    """What was told after a place, and the place after it."""

    parts: list[ReadPart]
    list_position: ListPosition


class ReadParts:
    """A bounded list that gateways read on from where they stopped."""

    def __init__(self) -> None:
        """Starts empty, in an epoch of its own."""
        self._epoch = secrets.token_hex(EPOCH_BYTES)
        self._entries: deque[ReadPart] = deque()
        self._known: set[ReadPartKey] = set()
        self._end = 0

    def add(self, parts: Iterable[ReadPart]) -> None:
        """Takes what a gateway tells; what is known stays as it is."""
        for part in parts:
            if read_part_key(part) not in self._known:
                self._known.add(read_part_key(part))
                self._entries.append(part)
                self._end += 1
        while len(self._entries) > MAX_ENTRIES:
            dropped = self._entries.popleft()
            self._known.discard(read_part_key(dropped))

    def since(self, list_position: ListPosition) -> ReadPartsUpdate:
        """Returns what was told after a place; all after another epoch's."""
        first = self._end - len(self._entries)
        is_known = list_position.epoch == self._epoch
        start = max(0, list_position.position - first) if is_known else 0
        parts = list(itertools.islice(self._entries, start, None))
        return ReadPartsUpdate(parts, ListPosition(self._epoch, self._end))


def read_part_key(part: ReadPart) -> ReadPartKey:
    """Returns what tells a part of one lifetime of an endpoint."""
    return part.endpoint_id, part.born_ms, part.part_id

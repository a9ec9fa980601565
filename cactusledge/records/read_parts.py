"""The list of prompt parts that endpoints have processed.

Gateways report the parts. Soft state: it only improves placement, and is lost
when the process ends.
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
    """The position up to which a list has been read."""

    epoch: str = ''  # of the process that keeps the list
    position: int = 0


class ReadPartsUpdate(NamedTuple):
    """The parts added after a position, and the position after them."""

    parts: list[ReadPart]
    list_position: ListPosition


class ReadParts:
    """A bounded list of which gateways read the parts added since last time."""

    def __init__(self) -> None:
        """Starts empty, with a new epoch."""
        self._epoch = secrets.token_hex(EPOCH_BYTES)
        self._entries: deque[ReadPart] = deque()
        self._known: set[ReadPartKey] = set()
        self._end = 0

    def add(self, parts: Iterable[ReadPart]) -> None:
        """Adds reported parts; known ones keep their position."""
        for part in parts:
            if read_part_key(part) not in self._known:
                self._known.add(read_part_key(part))
                self._entries.append(part)
                self._end += 1
        while len(self._entries) > MAX_ENTRIES:
            dropped = self._entries.popleft()
            self._known.discard(read_part_key(dropped))

    def since(self, list_position: ListPosition) -> ReadPartsUpdate:
        """Returns the parts after a position, all if its epoch differs."""
        first = self._end - len(self._entries)
        is_known = list_position.epoch == self._epoch
        start = max(0, list_position.position - first) if is_known else 0
        parts = list(itertools.islice(self._entries, start, None))
        return ReadPartsUpdate(parts, ListPosition(self._epoch, self._end))


def read_part_key(part: ReadPart) -> ReadPartKey:
    """Returns the key of a part, unique to a lifetime of the endpoint."""
    return part.endpoint_id, part.born_ms, part.part_id

"""What stores have room for, and what a gateway was last told of it."""

import enum
import time
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

# A store that has not replied for as long may have room again.
KNOWN_S = 1.0


class Room(enum.IntEnum):
    """What a store has room for."""

    FREE = 0
    SHORT = 1  # for turns of programs that have begun
    FULL = 2  # for turns that have begun


class RoomReply(Protocol):
    """A store's reply that tells what it has room for."""

    @property
    def room(self) -> int:
        """A value of `Room`."""


class Heard(NamedTuple):
    """What a store said, and when."""

    room: int
    at_s: float


class StoreRooms:
    """The stores of a group that lack room for something."""

    def __init__(self) -> None:
        """Starts with room everywhere."""
        self._lacking: dict[str, Heard] = {}

    @property
    def is_everywhere(self) -> bool:
        """Whether no store is known to lack room."""
        return not self._lacking

    def note(self, replies: Mapping[str, RoomReply]) -> None:
        """Notes what stores have replied."""
        for name, reply in replies.items():
            if reply.room == Room.FREE:
                self._lacking.pop(name, None)
            else:
                self._lacking[name] = Heard(reply.room, time.monotonic())

    def better_than(self, names: Iterable[str], room: Room) -> list[str]:
        """Returns the stores that have room for more than one that says so."""
        return [name for name in names if self._room_of(name) < room]

    def _room_of(self, name: str) -> int:
        heard = self._lacking.get(name)
        if heard is None or time.monotonic() - heard.at_s > KNOWN_S:
            return Room.FREE
        return heard.room

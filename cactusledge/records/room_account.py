"""How much room a store has left, in memory and on disk; no I/O.

A store without room refuses what is new while it still has some for what has
begun: first programs, then turns. It takes them again once entries have gone.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from cactusledge.records.room import Room

MB = 1_000_000
MIB = 1_048_576
# Of a store without records, with room for messages in transit.
PROCESS_MB = 60
LEAST_MEMORY_MB = 16
# Of the disk: a segment that is being moved, and what has no entries.
SPARE_DISK_MB = 24
LEAST_DISK_MB = 16

# Shares of the room that may be taken before the store refuses.
NEW_PROGRAMS_SHARE = 0.75
TURNS_SHARE = 0.9
# Above it segments are written anew without what is needed no more; first those
# that are mostly not needed, then others too.
CLEANING_SHARE = 0.5
SCARCE_SHARE = 0.75
LEAST_DEAD_SHARE = 0.5
LEAST_DEAD_SHARE_IF_SCARCE = 0.1
# Of the disk, that may hold what is needed no more before it counts as taken.
DEAD_SHARE = 0.1


class StoreLimits(NamedTuple):
    """What the machine gives a store; None where nothing is known."""

    memory_mb: float | None = None
    disk_mb: float | None = None


NO_LIMITS = StoreLimits()


class Use(NamedTuple):
    """What a store uses, in bytes."""

    memory: int
    disk: int  # of entries that are needed
    disk_total: int


UNLIMITED: float = float('inf')

LEVELS: Mapping[Room, float] = MappingProxyType({
    Room.FULL: TURNS_SHARE,
    Room.SHORT: NEW_PROGRAMS_SHARE,
})


class RoomAccount:
    """The bytes that records may take, and what follows from their use."""

    def __init__(self, limits: StoreLimits) -> None:
        """Calculates the bytes from the limits of the machine."""
        self.use = Use(0, 0, 0)  # after the last batch
        self.memory_bytes = UNLIMITED
        self.disk_bytes = UNLIMITED
        if limits.memory_mb is not None:
            free_mb = max(limits.memory_mb - PROCESS_MB, LEAST_MEMORY_MB)
            self.memory_bytes = free_mb * MIB
        if limits.disk_mb is not None:
            free_mb = max(limits.disk_mb - SPARE_DISK_MB, LEAST_DISK_MB)
            self.disk_bytes = free_mb * MB

    @property
    def share(self) -> float:
        """The share that is taken of what is scarcer."""
        return max(
            self.use.memory / self.memory_bytes,
            self.use.disk / self.disk_bytes,
            self._disk_share - DEAD_SHARE,
        )

    @property
    def room(self) -> Room:
        """What there is room for."""
        share = self.share
        for room, least_share in LEVELS.items():
            if share >= least_share:
                return room
        return Room.FREE

    @property
    def needs_cleaning(self) -> bool:
        """Whether space on disk has to be won back."""
        return self._disk_share > CLEANING_SHARE

    @property
    def least_dead_share(self) -> float:
        """The share of a segment that has to be won back by cleaning it."""
        if self._disk_share > SCARCE_SHARE:
            return LEAST_DEAD_SHARE_IF_SCARCE
        return LEAST_DEAD_SHARE

    def has_space_for(self, size: int) -> bool:
        """Returns whether entries of so many bytes may be written."""
        use = self.use
        return (
            use.disk_total + size <= self.disk_bytes
            and use.memory + size <= self.memory_bytes
        )

    @property
    def _disk_share(self) -> float:
        return self.use.disk_total / self.disk_bytes

"""Counts the bytes that a gateway holds for all connections.

How many there may be follows from what the machine gives the process.

When they are scarce no answer is dropped: reads become small, and answers that
may be passed on are passed on early, so that each goes at its caller's pace.
When they are full, clients' connections give way (`client_memory`).
"""

import os
from typing import NamedTuple

MIB = 1048576
TOTAL_BYTES = 33554432  # above which they are scarce
FULL_FACTOR = 1.25  # of the total
READ_BYTES = 32768
SCARCE_READ_BYTES = 4096
KEPT_BYTES = 262144  # of one answer
SCARCE_KEPT_BYTES = 16384

DEFAULT_MEMORY_MB = 150  # of a machine that names none
PROCESS_MB = 48  # of a gateway without clients, with room for short copies
CONNECTION_BYTES = 12288  # an open one, beside what is held for its client
CLIENT_MEMORY_SHARE = 0.5  # of the rest, as freed memory is not all reusable
LEAST_CLIENT_BYTES = 8388608
MOST_CONNECTIONS_SHARE = 0.3  # of the memory beside the process
FILE_DESCRIPTORS = 200  # set aside for files
CALLER_SHARE = 0.6  # of the others; endpoints, peers and stores have the rest
PAGE_SHARE = 0.05  # of the others, for each page
LEAST_CONNECTIONS = 8


class BufferSpace:
    """The bytes held at present, and the sizes that follow from them."""

    def __init__(self, total_bytes: int = TOTAL_BYTES) -> None:
        """Starts empty."""
        self.used = 0  # bytes
        self.full_bytes = int(total_bytes * FULL_FACTOR)
        self._total_bytes = total_bytes

    @property
    def read_bytes(self) -> int:
        """How many bytes one read may take."""
        return SCARCE_READ_BYTES if self._is_scarce else READ_BYTES

    @property
    def kept_bytes(self) -> int:
        """How many bytes of an answer are kept before it is passed on."""
        return SCARCE_KEPT_BYTES if self._is_scarce else KEPT_BYTES

    @property
    def is_full(self) -> bool:
        """Whether more is held than may be."""
        return self.used > self.full_bytes

    @property
    def _is_scarce(self) -> bool:
        return self.used > self._total_bytes


class HeldBytes:
    """What is held for one request; released as a whole."""

    def __init__(self, space: BufferSpace) -> None:
        """Starts with nothing held."""
        self.space = space
        self._size = 0  # bytes

    def add(self, size: int) -> None:
        """Adds bytes that are held from now on."""
        self._size += size
        self.space.used += size

    def release(self) -> None:
        """Gives back all that was added."""
        self.space.used -= self._size
        self._size = 0


class MachineLimits(NamedTuple):
    """What the machine gives a process; None where nothing is known."""

    memory_mb: float | None = None
    descriptors: int | None = None


class ProcessBounds(NamedTuple):
    """What clients' connections may take."""

    memory_bytes: int  # all of them together
    callers: int  # connections
    page_clients: int  # connections, of each page

    def new_space(self) -> BufferSpace:
        """Returns the space that they share."""
        return BufferSpace(int(self.memory_bytes / FULL_FACTOR))


def bounds_of(machine: MachineLimits) -> ProcessBounds:
    """Returns the bounds that follow from the machine's limits."""
    memory_mb = machine.memory_mb or DEFAULT_MEMORY_MB
    free_bytes = (memory_mb - PROCESS_MB) * MIB
    descriptors = machine.descriptors or open_files()
    free_descriptors = descriptors - FILE_DESCRIPTORS
    by_memory = free_bytes * MOST_CONNECTIONS_SHARE / CONNECTION_BYTES
    callers = max(
        int(min(free_descriptors * CALLER_SHARE, by_memory)),
        LEAST_CONNECTIONS,
    )
    free_bytes -= callers * CONNECTION_BYTES
    return ProcessBounds(
        max(int(free_bytes * CLIENT_MEMORY_SHARE), LEAST_CLIENT_BYTES),
        callers,
        max(int(free_descriptors * PAGE_SHARE), LEAST_CONNECTIONS),
    )


def open_files() -> int:
    """Returns how many descriptors the operating system allows."""
    return os.sysconf('SC_OPEN_MAX')

"""Bounds the connections of one port, so that others find descriptors; pure."""

import enum
import itertools
from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar


class Stage(enum.Enum):
    """What a client's connection is at."""

    ENDING = 'ending'  # refused, the client may still read why
    NEW = 'new'  # no request has begun to arrive
    IDLE = 'idle'  # between two requests
    READING = 'reading'  # a request arrives
    SERVING = 'serving'


# A request that is being served never gives way.
GIVE_WAY_ORDER = (Stage.ENDING, Stage.NEW, Stage.IDLE, Stage.READING)


class Closable(Protocol):
    """A connection that can be closed for another one."""

    def give_way(self) -> None:
        """Closes the connection at once."""


Conn = TypeVar('Conn', bound=Closable)


class ConnectionSlots(Generic[Conn]):
    """The open connections of one port."""

    def __init__(self, most: int) -> None:
        """Starts without a connection.

        Args:
            most: How many connections may be open.
        """
        self._most = most
        self._stages: dict[Conn, Stage] = {}
        # In the order in which they came to the stage.
        self._by_stage: dict[Stage, dict[Conn, None]] = {
            stage: {} for stage in Stage
        }

    def __iter__(self) -> Iterator[Conn]:
        """Iterates over the open connections."""
        return iter(self._stages)

    def __contains__(self, conn: object) -> bool:
        """Returns whether a connection is open."""
        return conn in self._stages

    def __len__(self) -> int:
        """Returns how many connections are open."""
        return len(self._stages)

    def add(self, conn: Conn) -> None:
        """Adds a new connection; if there are too many, one gives way.

        That is one which has been in its stage for longest, the new one only
        if requests are being served on all others.
        """
        giving_way = self._next_to_close(conn) if self._is_full else None
        self._stages[conn] = Stage.NEW
        self._by_stage[Stage.NEW][conn] = None
        if giving_way is not None:
            self.discard(giving_way)
            giving_way.give_way()

    def move(self, conn: Conn, stage: Stage) -> None:
        """Notes what an open connection is at."""
        before = self._stages.get(conn)
        if before is None or before is stage:
            return
        self._by_stage[before].pop(conn)
        self._by_stage[stage][conn] = None
        self._stages[conn] = stage

    def discard(self, conn: Conn) -> None:
        """Removes a connection that is closed."""
        stage = self._stages.pop(conn, None)
        if stage is not None:
            self._by_stage[stage].pop(conn)

    @property
    def _is_full(self) -> bool:
        return len(self._stages) >= self._most

    def _next_to_close(self, new: Conn) -> Conn:
        waiting = (self._by_stage[stage] for stage in GIVE_WAY_ORDER)
        return next(itertools.chain.from_iterable(waiting), new)

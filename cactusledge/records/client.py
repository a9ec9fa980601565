"""The gateway's side of the records: reserve, record, settle."""

import asyncio
import time
from collections.abc import Sequence

import structlog

from cactusledge.records import messages
from cactusledge.records.peers import GroupPeers
from cactusledge.records.quorum import quorum
from cactusledge.records.reservations import (
    ROUND_TIMEOUT_S,
    Grant,
    Reservations,
    TurnStart,
)
from cactusledge.records.round import Round

RECORD_TRIES = 2
SETTLE_TRIES = 4
SETTLE_PAUSE_S = 0.3

log = structlog.get_logger('records')


class RecordClient:
    """Speaks to the group of record stores."""

    def __init__(self, instance: str, data_centre: str) -> None:
        """Starts without a group; `take_group` brings it."""
        self._peers = GroupPeers(instance, data_centre)
        self._reservations = Reservations(self._peers)
        self._tasks: set[asyncio.Task[None]] = set()
        self._lost_s: float | None = None

    @property
    def group(self) -> messages.Group:
        """The group as far as is known."""
        return self._peers.group

    @property
    def has_quorum(self) -> bool:
        """Whether connections to a quorum of the stores are open."""
        return self._peers.has_quorum

    @property
    def lacks_quorum_s(self) -> float:
        """For how long no quorum has been connected, 0 while one is."""
        since_s = self._lost_s
        return 0 if since_s is None else time.monotonic() - since_s

    def silent_data_centres(self) -> frozenset[str]:
        """Returns those none of whose stores can be reached."""
        return self._peers.silent_data_centres()

    def note_quorum(self) -> None:
        """Takes note of whether a quorum is connected; called regularly."""
        if self.has_quorum:
            self._lost_s = None
        elif self._lost_s is None:
            self._lost_s = time.monotonic()
            log.warning('records: quorum lost')

    def take_group(self, group: messages.Group) -> None:
        """Adopts a newer group and connects to its members."""
        if self._peers.take_group(group):
            log.info(
                'records: group adopted',
                generation=group.generation,
                members=sorted(group.members),
            )

    def stop(self) -> None:
        """Closes all connections."""
        self._peers.stop()

    async def begin(self, start: TurnStart) -> Grant:
        """Reserves a turn's tokens and brings its chain."""
        return await self._reservations.begin(start)

    async def record(self, turn: messages.Turn) -> bool:
        """Returns whether the turn is durable."""
        for _ in range(RECORD_TRIES):
            if await self._append([turn]):
                return True
        return False

    def settle(self, program_id: str, turn_id: str, tokens: int) -> None:
        """Lets the stores know what a turn without a whole answer spent."""
        entry = messages.Settled(program_id, turn_id, tokens)
        task = asyncio.ensure_future(self._settle(entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _settle(self, entry: messages.Settled) -> None:
        for _ in range(SETTLE_TRIES):
            if await self._append([entry]):
                return
            await asyncio.sleep(SETTLE_PAUSE_S)
        log.warning(
            'records: turn not settled, its reservation stays',
            program_id=entry.program_id,
            turn_id=entry.turn_id,
            tokens=entry.tokens,
        )

    async def _append(self, entries: Sequence[messages.Entry]) -> bool:
        group = self.group
        collected = Round(messages.Appended, quorum(group))
        request = messages.Append(group.generation, list(entries))
        await collected.run(
            self._peers.all(), request, ROUND_TIMEOUT_S, wait_s=0
        )
        if collected.stale is not None:
            self.take_group(collected.stale.group)
        return collected.has_quorum

"""Client of the record stores: reserves, records and settles turns."""

import asyncio
import time
from collections.abc import Sequence

import msgspec
import structlog

from cactusledge.records import entries, messages
from cactusledge.records.holders import choose_holders
from cactusledge.records.peers import GroupPeers
from cactusledge.records.quorum import quorum
from cactusledge.records.reservations import (
    ROUND_TIMEOUT_S,
    Grant,
    Reservations,
    TurnStart,
)
from cactusledge.records.round import PreparedRequest, Round, prepare_requests

HOLDERS_TIMEOUT_S = 0.25  # after it the text is sent to all members
SETTLE_ATTEMPTS = 4
SETTLE_RETRY_DELAY_S = 0.3

log = structlog.get_logger('records')


class RecordClient:
    """A gateway's client of the group of record stores."""

    def __init__(self, instance: str, data_centre: str) -> None:
        """Starts without a group, and so without connections."""
        self._peers = GroupPeers(instance, data_centre)
        self._reservations = Reservations(self._peers)
        self._tasks: set[asyncio.Task[None]] = set()
        self._quorum_lost_at_s: float | None = None

    @property
    def peers(self) -> GroupPeers:
        """The connections to the group."""
        return self._peers

    @property
    def group(self) -> entries.Group:
        """The newest group that this instance knows."""
        return self._peers.group

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum of the stores can be reached."""
        return self._peers.has_quorum

    @property
    def quorum_lost_for_s(self) -> float:
        """Seconds since the quorum was lost, 0 while there is one.

        Counted from the `update_quorum_state` call that saw the loss.
        """
        since_s = self._quorum_lost_at_s
        return 0 if since_s is None else time.monotonic() - since_s

    def update_quorum_state(self) -> None:
        """Updates the time of a lost quorum; has to be called regularly."""
        if self.has_quorum:
            self._quorum_lost_at_s = None
        elif self._quorum_lost_at_s is None:
            self._quorum_lost_at_s = time.monotonic()
            log.warning('records: quorum lost')

    def adopt_group(self, group: entries.Group) -> None:
        """Adopts a newer group and connects to its members."""
        if self._peers.adopt_group(group):
            log.info(
                'records: group adopted',
                generation=group.generation,
                members=sorted(group.members),
            )

    def stop(self) -> None:
        """Closes all connections."""
        self._peers.stop()

    async def begin(self, start: TurnStart) -> Grant:
        """Reserves a turn's tokens and reads its chain."""
        return await self._reservations.begin(start)

    async def record(self, turn: entries.Turn) -> bool:
        """Writes a turn; returns whether it is durable.

        Its text is sent to its holders, and to all members if the write is
        not confirmed by a quorum and all holders in time.
        """
        turn = msgspec.structs.replace(
            turn, holders=holders_of(turn, self._peers)
        )
        requests = record_requests(turn, self._peers)
        if await self._append(requests, HOLDERS_TIMEOUT_S, turn.holders):
            return True
        log.info(
            'records: holders did not confirm in time, sending text to all',
            turn_id=turn.turn_id,
        )
        request = messages.Append(self.group.generation, [turn])
        requests = prepare_requests(self._peers.all(), request)
        return await self._append(requests, ROUND_TIMEOUT_S)

    def settle(self, program_id: str, turn_id: str, tokens: int) -> None:
        """Records, in the background, what an incomplete turn spent."""
        entry = entries.Settled(program_id, turn_id, tokens)
        task = asyncio.ensure_future(self._settle(entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _settle(self, entry: entries.Settled) -> None:
        for _ in range(SETTLE_ATTEMPTS):
            request = messages.Append(self.group.generation, [entry])
            requests = prepare_requests(self._peers.all(), request)
            if await self._append(requests, ROUND_TIMEOUT_S):
                return
            await asyncio.sleep(SETTLE_RETRY_DELAY_S)
        log.warning(
            'records: turn not settled, its full reservation still counts',
            program_id=entry.program_id,
            turn_id=entry.turn_id,
            tokens=entry.tokens,
        )

    async def _append(
        self,
        requests: Sequence[PreparedRequest],
        timeout_s: float,
        required: Sequence[str] = (),
    ) -> bool:
        """Returns whether a quorum and all required stores confirmed."""
        collected = Round(messages.Appended, quorum(self.group), required)
        await collected.run(requests, timeout_s, wait_s=0)
        if collected.stale is not None:
            self.adopt_group(collected.stale.group)
        return collected.is_enough


def holders_of(turn: entries.Turn, peers: GroupPeers) -> tuple[str, ...]:
    """Returns the connected stores chosen to keep a turn's text."""
    connected = {peer.name for peer in peers.connected()}
    members = {
        name: member
        for name, member in peers.group.members.items()
        if name in connected
    }
    return choose_holders(
        turn.turn_id, members, peers.data_centre, peers.group.copies
    )


def record_requests(
    turn: entries.Turn, peers: GroupPeers
) -> list[PreparedRequest]:
    """Returns the requests that write a turn.

    Only its holders receive the text.
    """
    generation = peers.group.generation
    with_text = messages.Append(generation, [turn])
    without_text = messages.Append(generation, [turn.without_text()])
    holders = [peer for peer in peers.all() if peer.name in turn.holders]
    others = [peer for peer in peers.all() if peer.name not in turn.holders]
    return [
        *prepare_requests(holders, with_text),
        *prepare_requests(others, without_text),
    ]

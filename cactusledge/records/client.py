"""The gateway's side of the records: reserve, read a chain, record, settle."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

import structlog

from cactusledge.models import Address
from cactusledge.records.messages import (
    EMPTY_GROUP,
    Append,
    Appended,
    Entry,
    Group,
    Member,
    Query,
    Reserve,
    Reserved,
    ReserveReply,
    Settled,
    Turn,
)
from cactusledge.records.quorum import (
    Demand,
    Verdict,
    decide,
    is_exact,
    quorum,
)
from cactusledge.records.round import Round
from cactusledge.records.transport import Peer

ROUND_TIMEOUT_S = 0.7
SETTLE_TRIES = 4
SETTLE_PAUSE_S = 0.3

log = structlog.get_logger('records')


class TurnStart(NamedTuple):
    """A turn that wants to begin."""

    demand: Demand
    program_id: str
    wants_chain: bool


class Grant(NamedTuple):
    """The verdict, and the chain if it was wanted and found."""

    verdict: Verdict
    chain: tuple[Turn, ...] = ()
    reason: str = ''


class RecordClient:
    """Speaks to the group of record stores."""

    def __init__(self, data_centre: str) -> None:
        """Starts without a group; `take_group` brings it."""
        self.group: Group = EMPTY_GROUP
        self._data_centre = data_centre
        self._peers: dict[str, Peer] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def has_quorum(self) -> bool:
        """Whether connections to a quorum of the stores are open."""
        if not self.group.members:
            return False
        connected = sum(peer.is_connected for peer in self._peers.values())
        return connected >= quorum(self.group)

    def take_group(self, group: Group) -> None:
        """Adopts a newer group and connects to its members."""
        if group.generation <= self.group.generation:
            return
        self.group = group
        for name, peer in tuple(self._peers.items()):
            member = group.members.get(name)
            if member is None or member.address != str(peer.address):
                self._peers.pop(name).stop()
        for name, member in group.members.items():
            if name not in self._peers:
                self._connect(name, member)
        log.info(
            'records: group adopted',
            generation=group.generation,
            members=sorted(group.members),
        )

    def stop(self) -> None:
        """Closes all connections."""
        for peer in self._peers.values():
            peer.stop()

    async def begin(self, start: TurnStart) -> Grant:
        """Reserves a turn's tokens and brings its chain."""
        if not self.has_quorum:
            return Grant(Verdict.UNSURE, reason='no quorum connected')
        group = self.group
        request = Reserve(
            generation=group.generation,
            entry=Reserved(
                start.program_id,
                start.demand.turn_id,
                start.demand.tokens,
            ),
            parent_id=start.demand.parent_id,
            wants_chain=False,
        )
        grant, moved = await self._reserve(start, request, group)
        if moved:
            moved_request = Reserve(
                generation=self.group.generation,
                entry=request.entry,
                parent_id=request.parent_id,
                wants_chain=False,
            )
            grant, _ = await self._reserve(start, moved_request, self.group)
        return grant

    async def record(self, turn: Turn) -> bool:
        """Returns whether the turn is durable."""
        return await self._append([turn]) or await self._append([turn])

    def settle(self, program_id: str, turn_id: str, tokens: int) -> None:
        """Lets the stores know what a turn without a whole answer spent."""
        entry = Settled(program_id, turn_id, tokens)
        task = asyncio.ensure_future(self._settle(entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _settle(self, entry: Settled) -> None:
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

    async def _append(self, entries: Sequence[Entry]) -> bool:
        group = self.group
        collected = Round(Appended, quorum(group))
        request = Append(group.generation, list(entries))
        await collected.run(
            self._members(), request, ROUND_TIMEOUT_S, wait_s=0
        )
        if collected.stale is not None:
            self.take_group(collected.stale.group)
        return collected.has_quorum

    async def _reserve(
        self,
        start: TurnStart,
        request: Reserve,
        group: Group,
    ) -> tuple[Grant, bool]:
        """Returns the grant, and whether the group turned out to be stale."""
        needed = quorum(group)
        first = Round(ReserveReply, needed)
        reading = None
        if start.wants_chain:
            reading = asyncio.ensure_future(self._chain(start))
        await first.run(self._members(), request, ROUND_TIMEOUT_S)
        if first.stale is not None:
            self.take_group(first.stale.group)
            if reading is not None:
                reading.cancel()
            return Grant(Verdict.UNSURE, reason='group changed'), True
        replies = first.replies
        verdict = decide(start.demand, replies, needed)
        if verdict is Verdict.GRANTED and not is_exact(len(replies), group):
            verdict = await self._confirm(start, group)
        chain: tuple[Turn, ...] = ()
        if reading is not None:
            chain = await reading
        if verdict is Verdict.GRANTED and start.wants_chain and not chain:
            return Grant(Verdict.UNSURE, reason='chain not readable'), False
        return Grant(verdict, chain, f'{len(replies)} of {needed}'), False

    async def _confirm(self, start: TurnStart, group: Group) -> Verdict:
        """Returns the verdict of a second round, after the first is complete.

        Of two turns that reserve at once, at least the one whose first round
        ended last sees the other here.
        """
        needed = quorum(group)
        second = Round(ReserveReply, needed)
        query = Query(
            group.generation, start.program_id, start.demand.parent_id, False
        )
        await second.run(self._members(), query, ROUND_TIMEOUT_S, wait_s=0)
        return decide(start.demand, second.replies, needed)

    async def _chain(self, start: TurnStart) -> tuple[Turn, ...]:
        """Reads the chain from the nearest store that has it."""
        query = Query(
            self.group.generation,
            start.program_id,
            start.demand.parent_id,
            True,
        )
        for peer in self._nearest_first():
            try:
                reply = await peer.call(query, ROUND_TIMEOUT_S / 2)
            except (ConnectionError, TimeoutError):
                continue
            if isinstance(reply, ReserveReply) and reply.chain:
                return tuple(reply.chain)
        return ()

    def _members(self) -> tuple[Peer, ...]:
        return tuple(self._peers.values())

    def _nearest_first(self) -> list[Peer]:
        """Returns the peers, those of this data centre first."""
        return sorted(
            self._peers.values(),
            key=lambda peer: (
                not peer.is_connected,
                self._is_remote(peer),
                peer.name,
            ),
        )

    def _is_remote(self, peer: Peer) -> bool:
        member = self.group.members.get(peer.name)
        return member is None or member.data_centre != self._data_centre

    def _connect(self, name: str, member: Member) -> None:
        host, _, port = member.address.rpartition(':')
        peer = Peer(name, Address(host, int(port)))
        peer.start()
        self._peers[name] = peer

"""Client of the record stores: sends each program to its shard."""

import asyncio
from functools import partial

import structlog

from cactusledge.records.chain_reader import ChainReader
from cactusledge.records.entries import EMPTY_GROUP, Group, Settled, Turn
from cactusledge.records.quorum import Verdict
from cactusledge.records.quorum_state import QuorumState
from cactusledge.records.reservations import Grant
from cactusledge.records.shard_client import ShardClient
from cactusledge.records.shards import shard_of
from cactusledge.records.store_peers import StorePeers
from cactusledge.records.turn_start import TurnStart
from cactusledge.records.writer import Recorded

log = structlog.get_logger('records')


class RecordClient:
    """A gateway's client of the record stores."""

    def __init__(self, instance: str, data_centre: str) -> None:
        """Starts without a group, and so without connections."""
        self._peers = StorePeers(instance, data_centre)
        self._shards: dict[int, ShardClient] = {}
        self._count = 1
        self.settling: set[asyncio.Task[None]] = set()
        self.quorum_state = QuorumState()

    @property
    def peers(self) -> StorePeers:
        """The connections to all stores."""
        return self._peers

    @property
    def has_quorum(self) -> bool:
        """Whether the stores of half of the shards or more can be reached.

        An instance that reaches fewer is cut off, and others are not.
        """
        reached = sum(
            peers.has_quorum for peers in self._peers.by_shard.values()
        )
        return reached * 2 >= self._count and reached > 0

    @property
    def is_in_reach(self) -> bool:
        """Whether there is a quorum, and no sign yet that it will be lost."""
        return self.has_quorum and not self._peers.is_cut_off

    @property
    def knows_all_groups(self) -> bool:
        """Whether the group of every shard is known."""
        return len(self._peers.by_shard) == self._count

    @property
    def has_all_quorums(self) -> bool:
        """Whether every shard is known and can be reached."""
        reached = sum(
            peers.has_quorum for peers in self._peers.by_shard.values()
        )
        return reached == self._count

    def group_of(self, program_id: str) -> Group:
        """Returns the newest known group of a program's shard."""
        peers = self._peers.by_shard.get(shard_of(program_id, self._count))
        return EMPTY_GROUP if peers is None else peers.group

    def adopt_group(self, group: Group) -> None:
        """Adopts a newer group of one shard and connects to its members."""
        if not self._peers.adopt_group(group):
            return
        self._count = group.shards
        if group.shard not in self._shards:
            self._shards[group.shard] = ShardClient(
                self._peers.by_shard[group.shard],
                ChainReader(
                    partial(self._peers.own_first, group.shard),
                    self.adopt_group,
                ),
                self.adopt_group,
                self.settling,
            )
        log.info(
            'records: group adopted',
            generation=group.generation,
            shard=group.shard,
            members=sorted(group.members),
        )

    def stop(self) -> None:
        """Closes all connections."""
        self._peers.stop()

    async def begin(self, start: TurnStart) -> Grant:
        """Reserves a turn's tokens and reads its chain."""
        shard = self._shard_of(start.program_id)
        if shard is None:
            return Grant(Verdict.UNSURE, reason='no group of this shard known')
        grant = await shard.begin(start)
        if grant.verdict is Verdict.NO_PARENT and self._count > 1:
            grant = await shard.begin_elsewhere(start)
        if grant.verdict is Verdict.NO_PARENT and self._count > 1:
            return await self._check_other_shards(start, grant)
        return grant

    async def record(self, turn: Turn) -> Recorded:
        """Writes a turn; returns whether it is durable."""
        shard = self._shard_of(turn.program_id)
        if shard is None:
            return Recorded(is_durable=False, rounds=0)
        return await shard.record(turn)

    def settle(self, entry: Settled) -> None:
        """Records, in the background, what an incomplete turn spent."""
        shard = self._shard_of(entry.program_id)
        if shard is not None:
            shard.settle(entry)

    def _shard_of(self, program_id: str) -> ShardClient | None:
        return self._shards.get(shard_of(program_id, self._count))

    async def _check_other_shards(
        self, start: TurnStart, missing: Grant
    ) -> Grant:
        """Returns whether the parent is certainly in no shard, or unsure."""
        own = shard_of(start.program_id, self._count)
        for number in range(self._count):
            shard = self._shards.get(number)
            if number == own:
                continue
            if shard is None or not await shard.lacks_turn(start):
                return Grant(
                    Verdict.UNSURE, reason=f'shard {number} may know the parent'
                )
        return missing

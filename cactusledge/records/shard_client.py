"""Client of one shard: reserves, records and settles turns."""

import asyncio
from collections.abc import Callable

from cactusledge.records import entries
from cactusledge.records.chain_reader import ChainReader
from cactusledge.records.peers import GroupPeers
from cactusledge.records.quorum import Verdict
from cactusledge.records.reservations import Grant, Reservations
from cactusledge.records.turn_start import TurnStart
from cactusledge.records.writer import Recorded, Writer


class ShardClient:
    """A gateway's client of one shard."""

    def __init__(
        self,
        peers: GroupPeers,
        chains: ChainReader,
        adopt_group: Callable[[entries.Group], object],
        settling: set[asyncio.Task[None]],
    ) -> None:
        """Stores the connections, and what takes newer groups and tasks."""
        self._peers = peers
        self._chains = chains
        self._reservations = Reservations(peers, chains, adopt_group)
        self._writer = Writer(peers, adopt_group)
        self._settling = settling

    @property
    def group(self) -> entries.Group:
        """The newest group that this instance knows."""
        return self._peers.group

    async def begin(self, start: TurnStart) -> Grant:
        """Reserves a turn's tokens and reads its chain."""
        return await self._reservations.begin(start)

    async def begin_elsewhere(self, start: TurnStart) -> Grant:
        """Reserves a turn whose parent may be in another shard.

        The verdict is NO_PARENT if its chain cannot be read there, and a chain
        that the gateway has already needs not be read.
        """
        chain = await self._chains.read(start) if start.wants_chain else ()
        if start.wants_chain and not chain:
            return Grant(Verdict.NO_PARENT, reason='no shard sent the chain')
        demand = start.demand._replace(parent_id='')
        grant = await self._reservations.begin(
            start._replace(demand=demand, wants_chain=False)
        )
        return grant._replace(chain=chain)

    async def lacks_turn(self, start: TurnStart) -> bool:
        """Returns whether this shard certainly lacks the turn to continue."""
        return await self._reservations.lacks_parent(start)

    async def record(self, turn: entries.Turn) -> Recorded:
        """Writes a turn; returns whether it is durable."""
        return await self._writer.record(turn)

    def settle(self, entry: entries.Settled) -> None:
        """Records, in the background, what an incomplete turn spent."""
        task = asyncio.ensure_future(self._writer.settle(entry))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

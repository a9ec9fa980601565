"""Reads the chain of a turn from the record stores."""

from collections.abc import Callable, Iterable, Sequence

import structlog

from cactusledge.records import entries, messages
from cactusledge.records.chain_assembly import ChainAssembly
from cactusledge.records.links import Link
from cactusledge.records.peers import GroupPeers
from cactusledge.records.turn_start import TurnStart, chain_query

READ_TIMEOUT_S = 0.35  # of one chain request to one store

log = structlog.get_logger('records')


class ChainReader:
    """Assembles chains, as each store may lack different turns.

    A program may continue a turn of another one, so a part of its chain may
    be in another shard.
    """

    def __init__(self, shards: Callable[[], Iterable[GroupPeers]]) -> None:
        """Stores what returns the shards to read, the program's own first."""
        self._shards = shards

    async def read(self, start: TurnStart) -> tuple[entries.Turn, ...]:
        """Returns the chain, oldest first; () if a part cannot be read."""
        assembly = ChainAssembly(start.demand.parent_id)
        for peers in self._shards():
            await self._read_shard(peers, start, assembly)
            if assembly.is_complete():
                return assembly.chain()
        return ()

    async def _read_shard(
        self, peers: GroupPeers, start: TurnStart, assembly: ChainAssembly
    ) -> None:
        """Reads from the stores of one shard, the nearest first.

        The stores are asked again as long as a pass yields new turns.
        """
        has_new_turns = True
        while has_new_turns and not assembly.is_complete():
            has_new_turns = False
            for peer in peers.nearest_first():
                if await self._read_from(peer, peers.group, start, assembly):
                    has_new_turns = True
                if assembly.is_complete():
                    break

    async def _read_from(
        self,
        peer: Link,
        group: entries.Group,
        start: TurnStart,
        assembly: ChainAssembly,
    ) -> bool:
        """Requests missing turns and text; returns whether any arrived."""
        has_new_turns = False
        if assembly.youngest_missing:
            query = chain_query(group, start, assembly.youngest_missing)
            has_new_turns = assembly.add(await self._request_turns(peer, query))
        if assembly.missing_text():
            request = messages.Fetch(
                group.generation, assembly.missing_text(), group.shard
            )
            turns = await self._request_turns(peer, request)
            has_new_turns = assembly.add(turns) or has_new_turns
        return has_new_turns

    async def _request_turns(
        self, peer: Link, request: messages.Query | messages.Fetch
    ) -> Sequence[entries.Turn]:
        """Returns the turns in a store's reply, none if the call failed."""
        try:
            reply = await peer.call(request, READ_TIMEOUT_S)
        except (ConnectionError, TimeoutError) as exc:
            log.info(
                'records: chain request failed',
                store=peer.name,
                error=repr(exc),
            )
            return ()
        if isinstance(reply, messages.ReserveReply):
            return reply.chain
        return reply.turns if isinstance(reply, messages.Fetched) else ()

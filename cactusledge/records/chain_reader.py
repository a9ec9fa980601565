"""Reads the chain of a turn from the members of a group."""

from collections.abc import Sequence

import structlog

from cactusledge.records import entries, messages
from cactusledge.records.chain_assembly import ChainAssembly
from cactusledge.records.links import Link
from cactusledge.records.peers import GroupPeers
from cactusledge.records.turn_start import TurnStart, chain_query

READ_TIMEOUT_S = 0.35  # of one chain request to one store

log = structlog.get_logger('records')


class ChainReader:
    """Assembles chains, as each store may lack different turns."""

    def __init__(self, peers: GroupPeers) -> None:
        """Keeps the connections to the group."""
        self._peers = peers

    async def read(self, start: TurnStart) -> tuple[entries.Turn, ...]:
        """Reads the chain from the stores, the nearest first.

        The stores are asked again as long as a pass yields new turns.
        """
        assembly = ChainAssembly(start.demand.parent_id)
        has_new_turns = True
        while has_new_turns and not assembly.is_complete():
            has_new_turns = False
            for peer in self._peers.nearest_first():
                if await self._read_from(peer, start, assembly):
                    has_new_turns = True
                if assembly.is_complete():
                    break
        return assembly.chain() if assembly.is_complete() else ()

    async def _read_from(
        self, peer: Link, start: TurnStart, assembly: ChainAssembly
    ) -> bool:
        """Requests missing turns and text; returns whether any arrived."""
        has_new_turns = False
        if assembly.youngest_missing:
            query = chain_query(
                self._peers.group, start, assembly.youngest_missing
            )
            has_new_turns = assembly.add(await self._request_turns(peer, query))
        if assembly.missing_text():
            request = self._fetch(assembly.missing_text())
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

    def _fetch(self, turn_ids: list[str]) -> messages.Fetch:
        group = self._peers.group
        return messages.Fetch(group.generation, turn_ids, group.shard)

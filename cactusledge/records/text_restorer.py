"""Fetches the texts that a store should keep but lacks."""

import asyncio

import structlog

from cactusledge.records.entries import Group, Turn
from cactusledge.records.holders import text_holders
from cactusledge.records.links import Link
from cactusledge.records.messages import Fetch, Fetched
from cactusledge.records.peers import GroupPeers
from cactusledge.records.store import RecordStore

FETCH_TURNS = 40  # turns of one message
FETCH_TIMEOUT_S = 2.0

log = structlog.get_logger('records')


class TextRestorer:
    """Fetches missing texts after a disk loss or a change of the group.

    Also those that other stores have offered: of turns that this store may
    not know.
    """

    def __init__(self, store: RecordStore, peers: GroupPeers) -> None:
        """Starts with no group checked."""
        self._store = store
        self._peers = peers
        # The group for which no text is missing.
        self._restored_group: Group | None = None

    def recheck(self) -> None:
        """Makes the next run look for missing texts again."""
        self._restored_group = None

    async def run(self) -> None:
        """Fetches missing texts; call again until none is missing."""
        group = self._store.group
        offered = self._store.offered_texts.take()
        missing = offered
        if self._restored_group is not group:
            missing = list(dict.fromkeys((*self._missing(group), *offered)))
        for start in range(0, len(missing), FETCH_TURNS):
            await self._fetch(missing[start : start + FETCH_TURNS])
        has_text = self._store.log.state.has_text
        left = sum(not has_text(turn_id) for turn_id in missing)
        if missing:
            log.info(
                'records: texts restored',
                wanted=len(missing),
                offered=len(offered),
                left=left,
            )
        if not left:
            self._restored_group = group

    def _missing(self, group: Group) -> list[str]:
        """Returns the ids of turns whose text this store lacks."""
        name = self._store.name
        state = self._store.log.state
        return [
            turn_id
            for turn_id, turn in state.turns.items()
            if not state.has_text(turn_id) and name in text_holders(turn, group)
        ]

    async def _fetch(self, turn_ids: list[str]) -> None:
        """Asks the peers in turn, so that each text is transferred once."""
        wanted = turn_ids
        for peer in self._peers.nearest_first():
            if not wanted or not peer.is_connected:
                return
            wanted = await self._fetch_from(peer, wanted)

    async def _fetch_from(self, peer: Link, turn_ids: list[str]) -> list[str]:
        """Asks a peer until it has no more; returns the turns still wanted."""
        wanted = turn_ids
        while wanted:
            turns = await self._ask(peer, wanted)
            if not turns:
                break
            await self._store.log.append(turns)
            found = {turn.turn_id for turn in turns}
            wanted = [key for key in wanted if key not in found]
            await asyncio.sleep(0)
        return wanted

    async def _ask(self, peer: Link, turn_ids: list[str]) -> list[Turn]:
        """Returns the turns that a peer sends, none if it does not reply."""
        group = self._store.group
        request = Fetch(group.generation, turn_ids, group.shard)
        try:
            reply = await peer.call(request, FETCH_TIMEOUT_S)
        except (ConnectionError, TimeoutError) as exc:
            log.info(
                'records: fetching texts failed',
                source=peer.name,
                error=repr(exc),
            )
            return []
        return reply.turns if isinstance(reply, Fetched) else []

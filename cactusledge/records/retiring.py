"""Empties a store: its records are handed over before it leaves the group."""

import asyncio

import structlog

from cactusledge.errors import StoreError
from cactusledge.records.entries import Entry, Group, Turn
from cactusledge.records.holders import text_holders
from cactusledge.records.keeper import GroupKeeper
from cactusledge.records.membership import without_member
from cactusledge.records.messages import Append, Appended
from cactusledge.records.quorum import majority
from cactusledge.records.store import RecordStore

STEP_S = 0.2
PUSH_ENTRIES = 200  # entries of one message
TIMEOUT_S = 2.0

log = structlog.get_logger('records')


class Retiring:
    """Hands all records of a store to the others."""

    def __init__(self, store: RecordStore, keeper: GroupKeeper) -> None:
        """Keeps whose records to hand over."""
        self._store = store
        self._keeper = keeper
        self._pushed = 0

    async def run(self) -> None:
        """Returns once the store may lose its disk.

        Every record then stands on all others that can be reached, on a
        majority at least, and a majority uses the group without this store.
        """
        self._keeper.is_retiring = True
        while not await self._is_done():
            await asyncio.sleep(STEP_S)

    async def _is_done(self) -> bool:
        await self._push()
        if self._pushed < self._store.log.head:
            return False
        if not self._store.is_member:
            return await self._keeper.is_adopted()
        try:
            await self._keeper.leave()
        except StoreError as exc:
            log.info('records: platform not usable', error=exc.message)
        return False

    async def _push(self) -> None:
        """Pushes what is left until the others do not take it."""
        while self._pushed < self._store.log.head:
            entries = self._store.log.pull(self._pushed)[:PUSH_ENTRIES]
            if not await self._is_taken(entries):
                return
            self._pushed += len(entries)

    async def _is_taken(self, entries: list[Entry]) -> bool:
        """Returns whether all that can be reached, and a majority, took it."""
        after = without_member(
            self._store.group, self._store.name, shrinks=True
        )
        replies = await asyncio.gather(
            *(
                peer.call(self._part_for(peer.name, entries, after), TIMEOUT_S)
                for peer in self._keeper.peers.connected()
            ),
            return_exceptions=True,
        )
        taken = sum(isinstance(reply, Appended) for reply in replies)
        others = len(self._keeper.peers.all())
        return taken == len(replies) and taken >= majority(others)

    def _part_for(
        self, name: str, entries: list[Entry], after: Group
    ) -> Append:
        """Returns the entries for one store, with the texts it is to keep."""
        turns = self._store.log.state.turns
        part: list[Entry] = []
        for entry in entries:
            turn = turns.get(entry.turn_id)
            is_keeper = turn is not None and name in text_holders(turn, after)
            if isinstance(entry, Turn) and turn is not None and is_keeper:
                part.append(turn)
            else:
                part.append(entry)
        return Append(self._store.group.generation, part)

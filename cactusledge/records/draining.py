"""Drains a store: copies its records to the others, then leaves the group."""

import asyncio
from collections.abc import Mapping

import structlog

from cactusledge.errors import StoreError
from cactusledge.records.entries import Entry, Group, Turn
from cactusledge.records.entry_index import LogPart
from cactusledge.records.group_manager import GroupManager
from cactusledge.records.holders import text_holders
from cactusledge.records.membership import without_member
from cactusledge.records.message_texts import count_that_fit, entry_bytes
from cactusledge.records.messages import Append, Appended
from cactusledge.records.quorum import majority
from cactusledge.records.store import RecordStore

STEP_INTERVAL_S = 0.2
PUSH_ENTRIES = 200  # per message
PUSH_TIMEOUT_S = 2.0

log = structlog.get_logger('records')


class StoreDrain:
    """Copies all records of a store to the others and leaves the group."""

    def __init__(self, store: RecordStore, group_manager: GroupManager) -> None:
        """Starts at the beginning of the log."""
        self._store = store
        self._group_manager = group_manager
        self._pushed_entries = 0
        self._others: frozenset[str] = frozenset()  # that have got these
        self._is_confirmed = False

    async def run(self) -> None:
        """Returns once the disk of the store is no longer needed.

        Every record is then on all other stores that can be reached, at least
        a majority, and a majority has adopted the group without this store.
        """
        self._group_manager.is_retiring = True
        while not await self._is_done():
            await asyncio.sleep(STEP_INTERVAL_S)

    async def _is_done(self) -> bool:
        if not await self._push():
            return False
        try:
            return await self._take_leave()
        except StoreError as exc:
            log.info('records: platform unavailable', error=exc.message)
        return False

    async def _take_leave(self) -> bool:
        """Takes the next step of leaving; returns whether that was the last."""
        if self._store.is_member:
            await self._group_manager.changes.leave()
            return False
        is_adopted = await self._group_manager.changes.is_established()
        if not is_adopted or self._pushed_entries < self._store.log.head:
            return False
        if not self._is_confirmed:
            await self._group_manager.changes.confirm_drained()
            self._is_confirmed = True
            return False
        return True

    async def _push(self) -> bool:
        """Sends the present entries; returns whether all were accepted.

        While this store is a member, clients go on to write to it. What comes
        meanwhile is sent by the next calls, the last once it has left. If the
        other members change, they get all entries again.
        """
        others = frozenset(self._store.group.members) - {self._store.name}
        if others != self._others:
            self._others = others
            self._pushed_entries = 0
        head = self._store.log.head
        while self._pushed_entries < head:
            part = self._next_part()
            if not await self._is_accepted(part.entries):
                return False
            self._pushed_entries = part.end
        return True

    def _next_part(self) -> LogPart:
        """Returns the next entries whose texts fit in a message."""
        position = self._pushed_entries
        part = self._store.log.pull(position, PUSH_ENTRIES)
        sizes = [self._bytes_of(entry) for entry in part.entries]
        count = count_that_fit(sizes)
        if count == len(sizes):
            return part
        return self._store.log.pull(position, count)

    def _bytes_of(self, entry: Entry) -> int:
        """Returns the size of an entry with its text, if it has one."""
        if not isinstance(entry, Turn):
            return entry_bytes(entry)
        return entry_bytes(entry) + self._store.log.texts.size_of(entry.turn_id)

    async def _is_accepted(self, entries: list[Entry]) -> bool:
        """Returns whether all reachable stores, and a majority, accepted."""
        next_group = without_member(
            self._store.group, self._store.name, is_drained=True
        )
        texts = await self._texts_of(entries)
        replies = await asyncio.gather(
            *(
                peer.call(
                    self._entries_for(peer.name, entries, texts, next_group),
                    PUSH_TIMEOUT_S,
                )
                for peer in self._group_manager.peers.connected()
            ),
            return_exceptions=True,
        )
        accepted = sum(isinstance(reply, Appended) for reply in replies)
        others = len(self._group_manager.peers.all())
        return accepted == len(replies) and accepted >= majority(others)

    async def _texts_of(self, entries: list[Entry]) -> dict[str, Turn]:
        """Returns the turns of the entries whose text is known here, by id."""
        turn_ids = [
            entry.turn_id for entry in entries if isinstance(entry, Turn)
        ]
        turns = await self._store.log.texts.read(turn_ids)
        return {turn.turn_id: turn for turn in turns}

    def _entries_for(
        self,
        name: str,
        entries: list[Entry],
        texts: Mapping[str, Turn],
        next_group: Group,
    ) -> Append:
        """Returns the entries for one store, with the texts it should keep."""
        entries_for_store: list[Entry] = []
        for entry in entries:
            turn = texts.get(entry.turn_id)
            keeps_text = turn is not None and name in text_holders(
                turn, next_group
            )
            if isinstance(entry, Turn) and turn is not None and keeps_text:
                entries_for_store.append(turn)
            else:
                entries_for_store.append(entry)
        group = self._store.group
        return Append(group.generation, entries_for_store, group.shard)

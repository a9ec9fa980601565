"""Offers the texts of turns to the other stores that should keep them.

A store that was away while a turn was recorded does not know of the turn, so
it cannot ask for the text. The stores that have the text therefore offer it to
those that should keep it too, until these have it on their disks.
"""

import asyncio
from collections.abc import Iterable, Iterator

import structlog

from cactusledge.gateway.background_loops import keep_running
from cactusledge.records.entries import Entry, Group
from cactusledge.records.holders import text_holders
from cactusledge.records.links import Link
from cactusledge.records.log import RecordLog
from cactusledge.records.message_texts import ids_that_fit
from cactusledge.records.messages import Body, Fetch, Fetched
from cactusledge.records.peers import GroupPeers
from cactusledge.records.store import RecordStore

OFFER_INTERVAL_S = 0.3
OFFER_TIMEOUT_S = 0.6
OFFER_TURNS = 500  # of one message
SCAN_ENTRIES = 500  # handled without a break
SETTLED_AFTER_S = 2.0  # a younger turn may still be written by its gateway

log = structlog.get_logger('records')


class PendingOffers:
    """The texts that another store should keep and has not confirmed.

    All texts are offered again to a changed group, whose members may replace a
    holder, and to a store whose disk has changed.
    """

    def __init__(self, name: str, record_log: RecordLog) -> None:
        """Starts with all of this store's log left to scan."""
        self._name = name
        self._log = record_log
        self._group: Group | None = None
        self._log_id: str | None = None  # of the other store
        self._position = 0  # of the next entry to scan
        self._end = 0  # position after the entries older than the group
        self._turn_ids: dict[str, None] = {}

    @property
    def unconfirmed(self) -> int:
        """The number of texts that have not been confirmed."""
        return len(self._turn_ids)

    def is_complete(self, group: Group) -> bool:
        """Whether the store has confirmed all texts older than a group."""
        is_scanned = self._group is group and self._position >= self._end
        return is_scanned and not self._turn_ids

    def scan(self, group: Group) -> bool:
        """Adds turns of the next entries; returns whether more are left."""
        index = self._log.index
        if group is not self._group:
            self._group = group
            self._end = index.head
            self._start_over()
        settled = index.position_before(SETTLED_AFTER_S)
        part = index.part(self._position, SCAN_ENTRIES, settled)
        self._position = max(self._position, part.end)
        self._turn_ids.update(
            dict.fromkeys(
                entry.turn_id
                for entry in part.entries
                if self._is_kept(entry, group)
            )
        )
        return self._position < settled

    def batches(self) -> Iterator[list[str]]:
        """Yields the turns to offer; one empty batch if there are none.

        The reply to an empty one tells whether the store's disk has changed.
        """
        has_text = self._log.state.has_text
        turn_ids = [turn_id for turn_id in self._turn_ids if has_text(turn_id)]
        self._turn_ids = dict.fromkeys(turn_ids)
        start = 0
        while not start or start < len(turn_ids):
            batch = ids_that_fit(turn_ids[start : start + OFFER_TURNS])
            yield list(batch)
            start += max(1, len(batch))

    def note(self, batch: list[str], reply: Fetched) -> bool:
        """Notes which turns the store confirmed; returns whether it counts.

        It does not if the store's disk is another one than before.
        """
        is_known = self._log_id in {None, reply.log_id}
        self._log_id = reply.log_id
        if not is_known:
            self._start_over()
            return False
        lacking = set(reply.lacking)
        for turn_id in batch:
            if turn_id not in lacking:
                self._turn_ids.pop(turn_id, None)
        return True

    def _start_over(self) -> None:
        self._turn_ids = {}
        self._position = 0

    def _is_kept(self, entry: Entry, group: Group) -> bool:
        """Returns whether the other store should keep the text from here."""
        turn = self._log.state.turns.get(entry.turn_id)
        if turn is None or not self._log.state.has_text(entry.turn_id):
            return False
        return self._name in text_holders(turn, group)


class TextOffers:
    """Offers this store's texts to the other members of its group."""

    def __init__(self, store: RecordStore, peers: GroupPeers) -> None:
        """Prepares the offers; `run` makes them."""
        self._store = store
        self._peers = peers
        self._pending: dict[str, PendingOffers] = {}

    @property
    def unconfirmed(self) -> int:
        """The number of copies that have not been confirmed."""
        return sum(one.unconfirmed for one in self._pending.values())

    def is_complete(self) -> bool:
        """Whether each member has confirmed all texts that it should keep."""
        group = self._store.group
        names = self._peers.names()
        return names == self._pending.keys() and all(
            one.is_complete(group) for one in self._pending.values()
        )

    async def run(self) -> None:
        """Offers texts until it is cancelled, also after an error."""
        await keep_running(self._run)

    async def _run(self) -> None:
        while True:
            links = self._peers.all()
            self._follow_members(links)
            await asyncio.gather(*(self._offer(link) for link in links))
            await asyncio.sleep(OFFER_INTERVAL_S)

    def _follow_members(self, links: Iterable[Link]) -> None:
        """Starts offers to new members, and forgets those to former ones."""
        self._pending = {
            link.name: self._pending.get(
                link.name, PendingOffers(link.name, self._store.log)
            )
            for link in links
        }

    async def _offer(self, link: Link) -> None:
        """Offers a store all that it has not confirmed."""
        pending = self._pending[link.name]
        while pending.scan(self._store.group):
            await asyncio.sleep(0)
        for batch in pending.batches():
            reply = await self._send(link, batch)
            if not isinstance(reply, Fetched) or not pending.note(batch, reply):
                return

    async def _send(self, link: Link, batch: list[str]) -> Body | None:
        """Returns the reply to an offer, None if there is none."""
        group = self._store.group
        request = Fetch(group.generation, [], group.shard, batch)
        try:
            return await link.call(request, OFFER_TIMEOUT_S)
        except (ConnectionError, TimeoutError) as exc:
            log.debug(
                'records: offering texts failed',
                store=link.name,
                error=repr(exc),
            )
            return None

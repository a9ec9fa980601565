"""Copies the log entries that a store with an empty or replaced disk lacks."""

import asyncio
from collections.abc import Iterable

import structlog

from cactusledge.records.links import Link
from cactusledge.records.membership import sources_needed
from cactusledge.records.messages import Pull, Pulled
from cactusledge.records.store import RecordStore

PULL_TIMEOUT_S = 2.0
RETRY_S = 0.2

log = structlog.get_logger('records')


class CatchUp:
    """Reads the logs of enough other stores to make this one a witness.

    The entries come without text; `text_restorer` fetches the texts.
    """

    def __init__(self, store: RecordStore) -> None:
        """Starts with no log read."""
        self._store = store
        self._logs_read: dict[str, str] = {}  # store -> id of its log

    async def run(self, peers: Iterable[Link]) -> None:
        """Reads each peer's log once; call until the store is a witness."""
        await asyncio.gather(
            *(
                self._try_copy_log(peer)
                for peer in peers
                if peer.name not in self._logs_read and peer.is_connected
            )
        )
        group = self._store.group
        sources = self._logs_read.keys() & group.members.keys()
        needed = sources_needed(len(group.members))
        if self._store.is_member and len(sources) >= needed:
            await self._store.log.mark_witness()
            log.info(
                'records: caught up',
                sources=sorted(sources),
                entries=self._store.log.head,
            )

    async def _try_copy_log(self, peer: Link) -> None:
        try:
            await self._copy_log(peer)
        except (ConnectionError, TimeoutError, OSError) as exc:
            log.info(
                'records: copying a log interrupted',
                source=peer.name,
                error=repr(exc),
            )

    async def _copy_log(self, peer: Link) -> None:
        """Reads a peer's log up to the head that its first reply gave."""
        position = 0
        log_id = ''
        head = None
        while head is None or position < head:
            pulled = await peer.call(
                self._pull_request(log_id, position),
                PULL_TIMEOUT_S,
            )
            if not isinstance(pulled, Pulled):
                return
            await self._store.log.append(pulled.entries)
            log_id = pulled.log_id
            position = pulled.end or position + len(pulled.entries)
            head = pulled.head if head is None else head
            if not pulled.is_witness:
                return
        self._logs_read[peer.name] = log_id

    def _pull_request(self, log_id: str, position: int) -> Pull:
        return Pull(
            self._store.group.generation,
            log_id,
            position,
            self._store.name,
            self._store.log.identity.log_id,
            self._store.group.shard,
        )

"""Copies the log entries that a store with an empty or replaced disk lacks."""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

import structlog

from cactusledge.records.links import Link
from cactusledge.records.membership import sources_needed
from cactusledge.records.messages import Pull, Pulled, StaleGroup
from cactusledge.records.store import RecordStore

PULL_TIMEOUT_S = 2.0
MANY_FAILURES = 3  # in a row, of the same part

log = structlog.get_logger('records')


class Progress(NamedTuple):
    """How far a log has been read, up to the head of its first part."""

    log_id: str = ''  # of the log's disk, '' before the first part
    epoch: str = ''  # of the positions
    position: int = 0  # of the next entry to read
    head: int | None = None
    failures: int = 0  # in a row, of the next part

    @property
    def is_complete(self) -> bool:
        """Whether all of it has been read."""
        return self.head is not None and self.position >= self.head


NOT_READ = Progress()


class CatchUp:
    """Reads the logs of enough other stores to make this one a witness.

    The entries come without text; `text_restorer` fetches the texts. After a
    failure a log is read on from where it was.
    """

    def __init__(self, store: RecordStore) -> None:
        """Starts with no log read."""
        self._store = store
        self._progress: dict[str, Progress] = {}  # by store

    async def run(self, peers: Iterable[Link]) -> None:
        """Reads each peer's log once; call until the store is a witness."""
        await asyncio.gather(
            *(
                self._try_copy_log(peer)
                for peer in peers
                if not self._has_read(peer.name) and peer.is_connected
            )
        )
        group = self._store.group
        sources = set(filter(self._has_read, group.members))
        needed = sources_needed(len(group.members))
        if self._store.is_member and len(sources) >= needed:
            await self._store.log.mark_witness()
            log.info(
                'records: caught up',
                sources=sorted(sources),
                entries=self._store.log.head,
            )

    def _has_read(self, name: str) -> bool:
        return self._progress.get(name, NOT_READ).is_complete

    async def _try_copy_log(self, peer: Link) -> None:
        try:
            await self._copy_log(peer)
        except (ConnectionError, TimeoutError, OSError) as exc:
            self._note_failure(peer.name, exc)

    def _note_failure(self, name: str, exc: Exception) -> None:
        progress = self._progress.get(name, NOT_READ)
        failures = progress.failures + 1
        self._progress[name] = progress._replace(failures=failures)
        write = log.warning if failures >= MANY_FAILURES else log.info
        write(
            'records: copying a log interrupted',
            source=name,
            position=progress.position,
            failures=failures,
            error=repr(exc),
        )

    async def _copy_log(self, peer: Link) -> None:
        """Reads a peer's log up to the head that its first reply gave."""
        while not self._has_read(peer.name):
            progress = self._progress.get(peer.name, NOT_READ)
            pulled = await peer.call(
                self._pull_request(progress), PULL_TIMEOUT_S
            )
            if isinstance(pulled, StaleGroup):
                return
            if not isinstance(pulled, Pulled) or is_restarted(progress, pulled):
                self._progress.pop(peer.name, None)
                return
            await self._store.log.append(pulled.entries)
            if not pulled.is_witness:
                self._progress.pop(peer.name, None)
                return
            self._progress[peer.name] = advanced(progress, pulled)

    def _pull_request(self, progress: Progress) -> Pull:
        return Pull(
            self._store.group.generation,
            progress.log_id,
            progress.position,
            self._store.name,
            self._store.log.identity.log_id,
            self._store.group.shard,
        )


def is_restarted(progress: Progress, pulled: Pulled) -> bool:
    """Returns whether positions mean other entries than in earlier replies.

    They do once the other store has been restarted. An older one does not tell
    whether it was, so its log is read from the start after a failure.
    """
    if not progress.position:
        return False
    if not pulled.epoch:
        return progress.failures > 0
    return pulled.epoch != progress.epoch


def advanced(progress: Progress, pulled: Pulled) -> Progress:
    """Returns the progress after a part."""
    position = pulled.end or progress.position + len(pulled.entries)
    head = pulled.head if progress.head is None else progress.head
    return Progress(pulled.log_id, pulled.epoch, position, head)

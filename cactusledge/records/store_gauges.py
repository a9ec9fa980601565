"""Shows what a store holds: gauges, and log lines when its room changes."""

import asyncio
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

import structlog

from cactusledge.records.group_manager import GroupManager
from cactusledge.records.room import Room
from cactusledge.records.room_account import RoomAccount
from cactusledge.records.store import RecordStore
from cactusledge.telemetry.metrics import Metrics

UPDATE_INTERVAL_S = 1.0
# Of updates; callers that waited for the start are served by then.
LOAD_METRICS_AFTER = 5

log = structlog.get_logger('records')


class RoomNews(NamedTuple):
    """How a change of the room is logged."""

    write: Callable[..., object]
    meaning: str


ROOM_NEWS: Mapping[Room, RoomNews] = MappingProxyType({
    Room.FREE: RoomNews(log.info, 'takes all turns'),
    Room.SHORT: RoomNews(log.warning, 'refuses new programs'),
    Room.FULL: RoomNews(log.error, 'refuses all turns'),
})


class StoreGauges:
    """Updates the gauges of a store, and logs its room."""

    def __init__(
        self, store: RecordStore, manager: GroupManager, metrics: Metrics
    ) -> None:
        """Starts as if there had been room for all turns."""
        self._store = store
        self._manager = manager
        self._metrics = metrics
        self._room = Room.FREE

    async def run(self) -> None:
        """Updates until it is cancelled."""
        updates = 0
        while True:
            self._log_room(self._store.log.account)
            updates += 1
            if updates == LOAD_METRICS_AFTER:
                await asyncio.to_thread(self._metrics.load)
            if updates >= LOAD_METRICS_AFTER:
                self._put_records()
                self._put_group()
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def _log_room(self, account: RoomAccount) -> None:
        if account.room is self._room:
            return
        self._room = account.room
        news = ROOM_NEWS[self._room]
        news.write(
            'records: room changed',
            store=news.meaning,
            share=round(account.share, 2),
            **account.use._asdict(),
        )

    def _put_records(self) -> None:
        store_log = self._store.log
        account = store_log.account
        self._metrics.put('records_entries', len(store_log.index))
        self._metrics.put('records_witness', store_log.identity.is_witness)
        self._metrics.put('records_memory_bytes', account.use.memory)
        self._metrics.put('records_disk_bytes', account.use.disk_total)
        self._metrics.put('records_room_used', account.share)

    def _put_group(self) -> None:
        group = self._store.group
        shard = str(group.shard)
        self._metrics.put(
            'records_unconfirmed_texts', self._manager.text_offers.unconfirmed
        )
        self._metrics.put('records_generation', group.generation, shard=shard)
        condition = self._manager.losses.condition
        if condition is not None:
            self._metrics.put(
                'records_losses_borne', condition.losses_borne, shard=shard
            )

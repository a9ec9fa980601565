"""Reads and updates the groups of record stores at the platform."""

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple, TypeVar

import structlog

from cactusledge.errors import StoreConflictError, StoreNotFoundError
from cactusledge.objects.store import ObjectStore
from cactusledge.records.entries import Group, Member
from cactusledge.records.shards import (
    ShardTable,
    decode_table,
    encode_table,
)

GROUP_KIND = 'record-groups'
GROUP_NAME = 'main'
STORE_KIND = 'record-stores'  # created at the first start of the system

ResultType = TypeVar('ResultType')

log = structlog.get_logger('records')


class PublishedTable(NamedTuple):
    """The groups of all shards, and the version of their object."""

    table: ShardTable
    version: str


class GroupObjects:
    """Reads the shards' groups, and changes them by conditional updates.

    All groups are in one object, so that they are formed at once and a front
    learns of all of them by one call.

    All methods raise StoreError while the platform is unavailable.
    """

    def __init__(self, objects: ObjectStore) -> None:
        """Stores the client; its blocking calls run in threads."""
        self._objects = objects

    async def read(self) -> PublishedTable | None:
        """Returns the groups, None if they have not been formed yet."""
        try:
            stored = await run_in_thread(
                lambda: self._objects.read(GROUP_KIND, GROUP_NAME)
            )
        except StoreNotFoundError:
            return None
        return PublishedTable(decode_table(stored.body), stored.version)

    async def create(self, table: ShardTable) -> bool:
        """Publishes the first groups; returns False if there are any."""
        body = encode_table(table)
        try:
            await run_in_thread(
                lambda: self._objects.create(GROUP_KIND, GROUP_NAME, body)
            )
        except StoreConflictError:
            return False
        return True

    async def replace(self, published: PublishedTable, group: Group) -> bool:
        """Publishes a shard's next group.

        Returns False if another change, of any shard, came first.
        """
        body = encode_table(published.table.with_group(group))
        try:
            await run_in_thread(
                lambda: self._objects.update(
                    GROUP_KIND, GROUP_NAME, body, published.version
                )
            )
        except StoreConflictError:
            log.info('records: group changed by another store')
            return False
        return True

    async def register(self, name: str, member: Member) -> None:
        """Registers a store, so that others include it in the first group."""
        body = {'member': [member.address, member.data_centre]}
        try:
            await run_in_thread(
                lambda: self._objects.create(STORE_KIND, name, body)
            )
        except StoreConflictError:
            log.info('records: already registered')

    async def registered(self) -> Mapping[str, Member]:
        """Returns the registered stores by name."""
        listed = await run_in_thread(lambda: self._objects.list(STORE_KIND))
        return {
            stored.name: Member(*stored.body['member'])
            for stored in listed.items
        }


async def run_in_thread(call: Callable[[], ResultType]) -> ResultType:
    """Runs a blocking call in a thread of the default executor."""
    return await asyncio.get_running_loop().run_in_executor(None, call)

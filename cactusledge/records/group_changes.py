"""Publishes changes of the groups of record stores, one member at a time."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec
import structlog

from cactusledge.records.entries import Group, Member
from cactusledge.records.group_objects import GroupObjects, PublishedTable
from cactusledge.records.links import Link
from cactusledge.records.member_statuses import (
    ASK_TIMEOUT_S,
    ask_members,
    is_established,
)
from cactusledge.records.membership import with_member, without_member
from cactusledge.records.messages import Announce
from cactusledge.records.peers import GroupPeers
from cactusledge.records.quorum import is_quorum
from cactusledge.records.shards import ShardTable
from cactusledge.records.store import RecordStore

log = structlog.get_logger('records')


class GroupChanges:
    """Changes the published groups, on behalf of one store.

    Each change is a conditional update at the platform, so several stores may
    try it at once. All methods raise StoreError while it is unavailable.
    """

    def __init__(
        self,
        store: RecordStore,
        objects: GroupObjects,
        peers: GroupPeers,
        adopt_table: Callable[[ShardTable], object],
    ) -> None:
        """Keeps the store, its connections and what takes published groups."""
        self._store = store
        self._objects = objects
        self._peers = peers
        self._adopt_table = adopt_table

    async def read(self) -> PublishedTable | None:
        """Returns the published groups, which the store then adopts."""
        published = await self._objects.read()
        if published is not None:
            self._adopt_table(published.table)
        return published

    async def is_established(self) -> bool:
        """Returns whether a majority is known to have adopted this group."""
        return await self._is_established(self._store.group)

    async def join(self, member: Member) -> None:
        """Adds the store to the group of its shard, if it is no member.

        A group without a majority in reach has to remove a dead member first:
        the store could not read enough logs in a larger one.
        """
        published = await self.read()
        if published is None or self._store.is_member:
            return
        last = published.table.group(self._store.group.shard)
        replied = await ask_members(self._store, self._peers)
        if is_quorum(len(replied.keys() & last.members.keys()), last):
            changed = with_member(last, self._store.name, member)
            await self._publish(published, changed)

    async def leave(self) -> None:
        """Removes the store from its group, not to be replaced."""
        published = await self.read()
        if published is None or not self._store.is_member:
            return
        last = published.table.group(self._store.group.shard)
        changed = without_member(last, self._store.name, is_drained=True)
        await self._publish(published, changed)

    async def confirm_drained(self) -> None:
        """Publishes that the records of the store are on a majority.

        That is of the group that it has left, if it has not changed since.
        """
        published = await self.read()
        group = self._store.group
        if published is None or published.table.group(group.shard) != group:
            return
        confirmed = msgspec.structs.replace(
            group, generation=group.generation + 1, survives_half=True
        )
        await self._publish(published, confirmed)

    async def remove(self, name: str, group: Group) -> None:
        """Removes a dead member of a group, if that is the published one."""
        published = await self.read()
        if published is not None and published.table.group_of(name) == group:
            changed = without_member(group, name, is_drained=False)
            await self._publish(published, changed)

    async def _publish(self, published: PublishedTable, group: Group) -> None:
        """Publishes the next group if a majority has adopted the last one."""
        last = published.table.group(group.shard)
        if not await self._is_established(last):
            return
        if await self._objects.replace(published, group):
            log.info(
                'records: group changed',
                generation=group.generation,
                shard=group.shard,
                members=sorted(group.members),
            )
            told = set(self._peers.all())
            self._store.on_announced_group(group)
            await announce(group, told.union(self._peers.all()))

    async def _is_established(self, group: Group) -> bool:
        statuses = await ask_members(self._store, self._peers)
        return is_established(self._store, group, statuses)


async def announce(group: Group, links: Iterable[Link]) -> None:
    """Sends a changed group to its old and new members, as far as possible."""
    await asyncio.gather(
        *(link.call(Announce(group), ASK_TIMEOUT_S) for link in links),
        return_exceptions=True,
    )

"""Manages a store's membership of the group of record stores."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable

import structlog

from cactusledge.errors import StoreError
from cactusledge.records.catch_up import CatchUp
from cactusledge.records.entries import RETENTION_S, Group, Member
from cactusledge.records.group_objects import GroupObjects, PublishedTable
from cactusledge.records.links import Link
from cactusledge.records.losses import LossMonitor
from cactusledge.records.member_statuses import ASK_TIMEOUT_S, ask_members
from cactusledge.records.membership import (
    may_change,
    removable_member,
    removal_delay_s,
    with_member,
    without_member,
)
from cactusledge.records.messages import Announce
from cactusledge.records.peers import GroupPeers
from cactusledge.records.reachability import ConnectionLosses
from cactusledge.records.shards import ShardTable, form_table, own_group
from cactusledge.records.store import RecordStore
from cactusledge.records.text_offers import TextOffers
from cactusledge.records.text_restorer import TextRestorer

FORMATION_DELAY_S = 2.0  # lets the other stores of a first start register
STEP_INTERVAL_S = 0.3

log = structlog.get_logger('records')


class GroupManager:
    """Forms and joins the group, and removes dead members from it.

    Each change is a conditional update at the platform, so several stores may
    try it at once.
    """

    def __init__(
        self,
        store: RecordStore,
        objects: GroupObjects,
        member: Member,
        *,
        is_first_start: bool,
        copies: int,
    ) -> None:
        """Registers for announced groups; `run` does the rest."""
        self._copies = copies
        self.peers = GroupPeers(store.name, member.data_centre)
        self.is_retiring = False
        self._store = store
        self._objects = objects
        self._member = member
        self._is_first_start = is_first_start
        self._started_s = time.monotonic()
        self._catch_up = CatchUp(store)
        self._restorer = TextRestorer(store, self.peers)
        self.text_offers = TextOffers(store, self.peers)
        self.losses = LossMonitor(
            store, self.peers, self.text_offers.is_complete
        )
        self._is_registered = False
        self._losses = ConnectionLosses()
        store.on_announced_group = self.adopt_group

    async def run(self) -> None:
        """Manages the membership and the texts' copies until cancelled."""
        await asyncio.gather(
            run_steps(self._step),
            run_steps(self._remove_dead_member),
            self.text_offers.run(),
            self.losses.run(),
        )

    def adopt_group(self, group: Group) -> None:
        """Adopts a group if it is newer, and connects to its members."""
        if self._store.adopted_group.adopt(group):
            self.peers.adopt_group(group)

    def adopt_table(self, table: ShardTable) -> None:
        """Adopts this store's own group, or the one that it has to join."""
        if table.groups != self._store.known_groups:
            self._store.known_groups = table.groups
            self._store.adopted_group.persist_table(table)
        kept = self._store.group if self._has_shard() else None
        self.adopt_group(own_group(table, self._store.name, self._member, kept))

    async def leave(self) -> None:
        """Removes this store from the group; raises StoreError."""
        published = await self._read_published()
        if published is not None and self._store.is_member:
            group = without_member(
                published.table.group(self._store.group.shard),
                self._store.name,
                lowers_target=True,
            )
            await self._publish_change(published, group)

    async def is_adopted(self) -> bool:
        """Returns whether a majority has adopted the group of this store."""
        adopted = await adopted_generations(self._store, self.peers)
        return may_change(self._store.group, adopted)

    async def _step(self) -> None:
        self._store.log.expire(RETENTION_S)
        self._store.adopted_group.persist()
        if not self._store.group.generation:
            await self._form_group()
            return
        if not self._store.is_member and not self.is_retiring:
            await self._join_group()
        if not self._store.log.identity.is_witness:
            await self._catch_up.run(self.peers.all())
            self._restorer.recheck()
        await self._restorer.run()

    async def _form_group(self) -> None:
        """Forms the first groups at the first start of the whole system.

        Every store registers; the first one by name publishes the groups. The
        others learn of them by their watch.
        """
        if not self._is_first_start:
            return
        if not self._is_registered:
            await self._objects.register(self._store.name, self._member)
            self._is_registered = True
        if time.monotonic() - self._started_s < FORMATION_DELAY_S:
            return
        members = await self._objects.registered()
        if self._store.name != min(members, default=''):
            return
        table = form_table(members, self._copies)
        if await self._objects.create(table):
            self.adopt_table(table)

    async def _join_group(self) -> None:
        """Adds this store to the group of its shard.

        It may lack entries written while it was no member, so it stops being
        a witness until it has caught up.
        """
        if self._store.log.identity.is_witness:
            await self._store.log.clear_witness()
            self._catch_up = CatchUp(self._store)
        published = await self._read_published()
        if published is not None and not self._store.is_member:
            group = with_member(
                published.table.group(self._store.group.shard),
                self._store.name,
                self._member,
            )
            await self._publish_change(published, group)

    async def _remove_dead_member(self) -> None:
        group = self._store.group
        reachable = {peer.name for peer in self.peers.connected()}
        name = removable_member(
            group,
            self._losses.update(self.peers),
            removal_delay_s(self._store.name, reachable),
        )
        if name is None or not self._store.is_member:
            return
        published = await self._read_published()
        if published is not None and published.table.group_of(name) == group:
            changed = without_member(group, name, lowers_target=False)
            await self._publish_change(published, changed)

    async def _publish_change(
        self, published: PublishedTable, group: Group
    ) -> None:
        """Publishes the next group if a majority has adopted the last one."""
        last = published.table.group(group.shard)
        adopted = await adopted_generations(self._store, self.peers)
        if not may_change(last, adopted):
            return
        if await self._objects.replace(published, group):
            log.info(
                'records: group changed',
                generation=group.generation,
                shard=group.shard,
                members=sorted(group.members),
            )
            told = set(self.peers.all())
            self.adopt_group(group)
            await announce(group, told.union(self.peers.all()))

    async def _read_published(self) -> PublishedTable | None:
        published = await self._objects.read()
        if published is not None:
            self.adopt_table(published.table)
        return published

    def _has_shard(self) -> bool:
        """Whether this store is in its shard or keeps records of it."""
        group = self._store.group
        return bool(group.generation) and (
            self._store.is_member or self._store.log.head > 0
        )


async def run_steps(step: Callable[[], Awaitable[None]]) -> None:
    """Takes a step again and again until it is cancelled."""
    while True:
        try:
            await step()
        except StoreError as exc:
            log.info('records: platform unavailable', error=exc.message)
        except OSError as exc:
            log.warning(
                'records: group management step failed', error=repr(exc)
            )
        await asyncio.sleep(STEP_INTERVAL_S)


async def adopted_generations(
    store: RecordStore, peers: GroupPeers
) -> dict[str, int]:
    """Returns the generation on disk of each member that answers."""
    statuses = await ask_members(store, peers)
    adopted = {
        name: status.durable_generation for name, status in statuses.items()
    }
    adopted[store.name] = store.adopted_group.durable_generation
    return adopted


async def announce(group: Group, links: Iterable[Link]) -> None:
    """Sends a changed group to its old and new members, as far as possible."""
    await asyncio.gather(
        *(link.call(Announce(group), ASK_TIMEOUT_S) for link in links),
        return_exceptions=True,
    )

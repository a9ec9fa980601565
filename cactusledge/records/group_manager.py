"""Manages a store's membership of the group of record stores."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import structlog

from cactusledge.errors import StoreError
from cactusledge.records.catch_up import CatchUp
from cactusledge.records.entries import Group, Member
from cactusledge.records.group_changes import GroupChanges
from cactusledge.records.group_objects import GroupObjects
from cactusledge.records.losses import LossMonitor
from cactusledge.records.member_statuses import unreachable_members
from cactusledge.records.membership import removable_member, removal_delay_s
from cactusledge.records.peers import GroupPeers
from cactusledge.records.reachability import ConnectionLosses
from cactusledge.records.shards import ShardTable, form_table, own_group
from cactusledge.records.store import RecordStore
from cactusledge.records.text_offers import TextOffers
from cactusledge.records.text_restorer import TextRestorer

FORMATION_DELAY_S = 2.0  # lets the other stores of a first start register
FORMATION_STAGGER_S = 1.0  # between stores that may form it, by name
STEP_INTERVAL_S = 0.3
# A store that has joined does not count before others have the group on disk.
ADOPTION_POLL_S = 0.02
ADOPTION_POLLS = 15

log = structlog.get_logger('records')


class GroupManager:
    """Forms and joins the group, and removes dead members from it."""

    def __init__(
        self,
        store: RecordStore,
        objects: GroupObjects,
        member: Member,
        *,
        copies: int,
    ) -> None:
        """Registers for announced groups; `run` does the rest."""
        self._copies = copies
        self.peers = GroupPeers(store.name, member.data_centre)
        self.is_retiring = False
        self._store = store
        self._objects = objects
        self._member = member
        self._started_s = time.monotonic()
        self._catch_up = CatchUp(store)
        self._restorer = TextRestorer(store, self.peers)
        self.text_offers = TextOffers(store, self.peers)
        self.losses = LossMonitor(
            store, self.peers, self.text_offers.is_complete
        )
        self._is_registered = False
        self._connection_losses = ConnectionLosses()
        # Of any group, when this store last looked for one to join.
        self._unreachable: frozenset[str] = frozenset()
        self.changes = GroupChanges(
            store, objects, self.peers, self.adopt_table
        )
        store.on_announced_group = self.adopt_group

    async def run(self) -> None:
        """Manages the membership and the texts' copies until cancelled."""
        await asyncio.gather(
            run_steps(self._step),
            run_steps(self._remove_dead_member),
            run_steps(self._tidy_log),
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
        group = own_group(
            table, self._store.name, self._member, kept, self._unreachable
        )
        self.adopt_group(group)

    async def _tidy_log(self) -> None:
        self._store.log.expire()
        await self._store.log.clean()

    async def _step(self) -> None:
        self._store.adopted_group.persist()
        if not self._store.group.generation:
            await self._form_group()
            return
        if not self._store.is_member and not self.is_retiring:
            await self._join_group()
        if not self._store.log.identity.is_witness:
            await self._copy_logs()
        await self._restorer.run()

    async def _form_group(self) -> None:
        """Forms the first groups if the platform has none.

        Every store registers; the first one by name publishes the groups, or
        the next ones if it does not. The others learn of them by their watch.
        Any of them may have restarted since the first start of the system.
        """
        if self._store.log.head or not await self._is_first_disk():
            return
        if not self._is_registered:
            await self._objects.register(self._store.name, self._member)
            self._is_registered = True
        waited_s = time.monotonic() - self._started_s - FORMATION_DELAY_S
        if waited_s < 0:
            return
        members = await self._objects.registered()
        before = sum(name < self._store.name for name in members)
        if waited_s < before * FORMATION_STAGGER_S:
            return
        table = form_table(members, self._copies)
        if await self._objects.create(table):
            self.adopt_table(table)

    async def _is_first_disk(self) -> bool:
        """Returns whether this store cannot have lost a disk with records.

        There are none before the first groups have been published.
        """
        if self._store.log.identity.is_witness:
            return True
        if await self._objects.read() is not None:
            return False
        await self._store.log.mark_witness()
        return True

    async def _join_group(self) -> None:
        """Adds this store to the group of its shard.

        It may lack entries written while it was no member, so it stops being
        a witness until it has caught up.
        """
        if self._store.log.identity.is_witness:
            await self._store.log.clear_witness()
        self._catch_up = CatchUp(self._store)
        if not self._has_shard():
            groups = self._store.known_groups
            self._unreachable = await unreachable_members(groups)
        await self.changes.join(self._member)

    async def _copy_logs(self) -> None:
        """Copies what this store lacks, from when it is sent what is new.

        Until a majority has adopted the group, entries may still be written to
        the members of the one before only.
        """
        if not self._store.is_member:
            return
        for _ in range(ADOPTION_POLLS):
            if await self.changes.is_established():
                await self._catch_up.run(self.peers.all())
                self._restorer.recheck()
                return
            await asyncio.sleep(ADOPTION_POLL_S)

    async def _remove_dead_member(self) -> None:
        group = self._store.group
        reachable = {peer.name for peer in self.peers.connected()}
        name = removable_member(
            group,
            self._connection_losses.update(self.peers),
            self.losses.statuses.witnesses,
            removal_delay_s(self._store.name, reachable),
        )
        if name is not None and self._store.is_member:
            await self.changes.remove(name, group)

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

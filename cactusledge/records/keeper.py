"""Keeps the group of record stores: forming, joining, leaving, replacing."""

import asyncio
import time
from collections.abc import Callable
from typing import TypeVar

import structlog

from cactusledge.errors import (
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
)
from cactusledge.models import Address
from cactusledge.objects.store import ObjectStore, StoredObject
from cactusledge.records.catch_up import CatchUp
from cactusledge.records.membership import (
    decode_group,
    encode_group,
    first_group,
    may_change,
    removable,
    with_member,
    without_member,
)
from cactusledge.records.messages import (
    ENTRY_DECODER,
    Append,
    Appended,
    Ask,
    Group,
    Member,
    Status,
)
from cactusledge.records.quorum import majority
from cactusledge.records.store import RecordStore
from cactusledge.records.transport import Peer

GROUP_KIND = 'record-groups'
GROUP_NAME = 'main'
STORE_KIND = 'record-stores'
FORM_AFTER_S = 2.0  # for the other stores of a first start to register
STEP_S = 0.3
ASK_TIMEOUT_S = 0.6
PUSH_ENTRIES = 200  # entries of one message
PUSH_TIMEOUT_S = 2.0

ResultType = TypeVar('ResultType')

log = structlog.get_logger('records')


class GroupKeeper:
    """One store's part in the group.

    Each change is a conditional update at the platform, so it does not matter
    how many stores try it.
    """

    def __init__(
        self,
        store: RecordStore,
        objects: ObjectStore,
        member: Member,
        *,
        is_first_start: bool,
    ) -> None:
        """Keeps the parts; `run` does the work."""
        self._store = store
        self._objects = objects
        self._member = member
        self._is_first_start = is_first_start
        self._peers: dict[str, Peer] = {}
        self._unreachable_since: dict[str, float] = {}
        self._started_s = time.monotonic()
        self._catch_up = CatchUp(store)
        self._is_registered = False
        self.is_retiring = False

    async def run(self) -> None:
        """Works until it is cancelled."""
        while True:
            try:
                await self._step()
            except StoreError as exc:
                log.info('records: platform not usable', error=exc.message)
            await asyncio.sleep(STEP_S)

    def take_group(self, group: Group) -> None:
        """Adopts a newer group and connects to its members."""
        if self._store.take_group(group):
            self._connect(group)

    async def retire(self) -> None:
        """Hands all records to the others, then leaves the group.

        Returns once every record stands on all others that can be reached,
        and on a majority of them at least.
        """
        self.is_retiring = True
        pushed = 0
        while True:
            pushed = await self._push_from(pushed)
            if pushed == len(self._store.log.entries):
                if not self._store.is_member and await self._is_adopted():
                    return
                if self._store.is_member:
                    await self._try(self._leave)
            await asyncio.sleep(STEP_S)

    async def _try(self, change: Callable[[], object]) -> None:
        try:
            await change()  # type: ignore[misc]
        except StoreError as exc:
            log.info('records: platform not usable', error=exc.message)

    async def _step(self) -> None:
        self._note_unreachable()
        if not self._store.group.generation:
            await self._form()
            return
        if not self._store.is_member and not self.is_retiring:
            await self._join()
        if not self._store.log.identity.is_witness:
            await self._catch_up.run(self._peers.values())
        await self._remove_dead()

    async def _form(self) -> None:
        """Takes part in the first start of the whole system."""
        await self._read_group()
        if self._store.group.generation or not self._is_first_start:
            return
        if not self._is_registered:
            await self._register()
        if time.monotonic() - self._started_s < FORM_AFTER_S:
            return
        listed = await _blocking(lambda: self._objects.list(STORE_KIND))
        members = {
            stored.name: Member(*stored.body['member'])
            for stored in listed.items
        }
        if self._store.name == min(members, default=''):
            await self._create(first_group(members))

    async def _register(self) -> None:
        body = {'member': [self._member.address, self._member.data_centre]}
        try:
            await _blocking(
                lambda: self._objects.create(
                    STORE_KIND, self._store.name, body
                )
            )
        except StoreConflictError:
            log.info('records: registered before')
        self._is_registered = True

    async def _create(self, group: Group) -> None:
        try:
            await _blocking(
                lambda: self._objects.create(
                    GROUP_KIND, GROUP_NAME, encode_group(group)
                )
            )
        except StoreConflictError:
            await self._read_group()
            return
        self.take_group(group)

    async def _join(self) -> None:
        """Adds this store; what it does not hold yet it has to copy."""
        identity = self._store.log.identity
        if identity.is_witness and not self._store.log.entries:
            self._store.log.stop_witnessing()
        stored = await self._read_group()
        if stored is None or self._store.is_member:
            return
        group = with_member(
            decode_group(stored.body), self._store.name, self._member
        )
        await self._change(stored, group)

    async def _leave(self) -> None:
        stored = await self._read_group()
        if stored is None:
            return
        group = without_member(
            decode_group(stored.body), self._store.name, shrinks=True
        )
        await self._change(stored, group)

    async def _remove_dead(self) -> None:
        group = self._store.group
        now_s = time.monotonic()
        name = removable(
            group,
            {
                other: now_s - since_s
                for other, since_s in self._unreachable_since.items()
            },
        )
        if name is None or not self._acts_for_group():
            return
        stored = await self._read_group()
        if stored is None or self._store.group is not group:
            return
        changed = without_member(
            decode_group(stored.body), name, shrinks=False
        )
        await self._change(stored, changed)

    def _acts_for_group(self) -> bool:
        """Whether this is the first of the members that can be reached."""
        reachable = [
            peer.name for peer in self._peers.values() if peer.is_connected
        ]
        return self._store.is_member and self._store.name <= min(
            reachable, default=self._store.name
        )

    async def _change(self, stored: StoredObject, group: Group) -> None:
        """Publishes the next group if the last one is in use."""
        current = decode_group(stored.body)
        if not may_change(current, await self._generations()):
            return
        try:
            await _blocking(
                lambda: self._objects.update(
                    GROUP_KIND, GROUP_NAME, encode_group(group), stored.version
                )
            )
        except StoreConflictError:
            log.info('records: group changed by another store')
            return
        log.info(
            'records: group changed',
            generation=group.generation,
            members=sorted(group.members),
        )
        self.take_group(group)

    async def _read_group(self) -> StoredObject | None:
        try:
            stored = await _blocking(
                lambda: self._objects.read(GROUP_KIND, GROUP_NAME)
            )
        except StoreNotFoundError:
            return None
        self.take_group(decode_group(stored.body))
        return stored

    async def _generations(self) -> dict[str, int]:
        """Returns what the members that answer have adopted."""
        own = self._store.group
        adopted = {self._store.name: own.generation}
        replies = await asyncio.gather(
            *(
                peer.call(Ask(own.generation), ASK_TIMEOUT_S)
                for peer in self._peers.values()
            ),
            return_exceptions=True,
        )
        for reply in replies:
            if isinstance(reply, Status):
                adopted[reply.name] = reply.group.generation
        return adopted

    async def _is_adopted(self) -> bool:
        return may_change(self._store.group, await self._generations())

    async def _push_from(self, position: int) -> int:
        """Pushes entries to all others; returns how far they all have them."""
        entries = self._store.log.entries[position : position + PUSH_ENTRIES]
        if not entries:
            return position
        decoded = [ENTRY_DECODER.decode(encoded) for encoded in entries]
        request = Append(self._store.group.generation, decoded)
        others = [
            peer
            for peer in self._peers.values()
            if peer.name in self._store.group.members
        ]
        replies = await asyncio.gather(
            *(
                peer.call(request, PUSH_TIMEOUT_S)
                for peer in others
                if peer.is_connected
            ),
            return_exceptions=True,
        )
        taken = sum(isinstance(reply, Appended) for reply in replies)
        if taken < max(majority(len(others)), len(replies)):
            return position
        return position + len(entries)

    def _connect(self, group: Group) -> None:
        for name, peer in tuple(self._peers.items()):
            member = group.members.get(name)
            if member is None or member.address != str(peer.address):
                self._peers.pop(name).stop()
                self._unreachable_since.pop(name, None)
        for name, member in group.members.items():
            if name != self._store.name and name not in self._peers:
                host, _, port = member.address.rpartition(':')
                peer = Peer(name, Address(host, int(port)))
                peer.start()
                self._peers[name] = peer

    def _note_unreachable(self) -> None:
        now_s = time.monotonic()
        for name, peer in self._peers.items():
            if peer.is_connected:
                self._unreachable_since.pop(name, None)
            else:
                self._unreachable_since.setdefault(name, now_s)


async def _blocking(call: Callable[[], ResultType]) -> ResultType:
    """Runs a call of the blocking client in a thread."""
    return await asyncio.get_running_loop().run_in_executor(None, call)

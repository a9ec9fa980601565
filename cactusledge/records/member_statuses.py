"""The status of each member of a store's group, as the members report it."""

import asyncio
import time
from collections.abc import Iterable, Mapping

from cactusledge.records.entries import Group
from cactusledge.records.membership import may_change
from cactusledge.records.messages import Ask, Status
from cactusledge.records.peer import call_once
from cactusledge.records.peers import GroupPeers, address_of
from cactusledge.records.store import RecordStore

ASK_TIMEOUT_S = 0.6
REFRESH_INTERVAL_S = 5.0  # without a change in sight


async def ask_members(
    store: RecordStore, peers: GroupPeers
) -> dict[str, Status]:
    """Returns the status of each other member that replies."""
    request = Ask(store.group.generation)
    replies = await asyncio.gather(
        *(peer.call(request, ASK_TIMEOUT_S) for peer in peers.all()),
        return_exceptions=True,
    )
    return {reply.name: reply for reply in replies if isinstance(reply, Status)}


async def unreachable_members(groups: Iterable[Group]) -> frozenset[str]:
    """Returns the members of any group that do not reply."""
    members = {
        name: member
        for group in groups
        for name, member in group.members.items()
    }
    replies = await asyncio.gather(
        *(
            call_once(address_of(member), Ask(0), ASK_TIMEOUT_S)
            for member in members.values()
        ),
        return_exceptions=True,
    )
    return frozenset(
        name
        for name, reply in zip(members, replies, strict=True)
        if not isinstance(reply, Status)
    )


def is_established(
    store: RecordStore, group: Group, statuses: Mapping[str, Status]
) -> bool:
    """Returns whether a majority is known to have had a group on disk.

    Known to this store, or to a member that replied.
    """
    adopted = {
        name: status.durable_generation for name, status in statuses.items()
    }
    adopted[store.name] = store.adopted_group.durable_generation
    if may_change(group, adopted):
        return True
    known = [store.adopted_group.established_generation] + [
        status.established_generation
        for status in statuses.values()
        if status.group.shard == group.shard
    ]
    return max(known) >= group.generation


class MemberStatuses:
    """The last known status of each other member in reach.

    Members are asked again after a change of the group or of the connections,
    and while one of them has not caught up.
    """

    def __init__(self, store: RecordStore, peers: GroupPeers) -> None:
        """Starts without a status."""
        self._store = store
        self._peers = peers
        self._known: dict[str, Status] = {}
        self._asked_for: tuple[int, frozenset[str]] | None = None
        self._asked_s = float(0)

    @property
    def witnesses(self) -> frozenset[str]:
        """The members in reach whose logs are complete, and this store."""
        reached = self._peers.direct_names()
        names = {
            name
            for name, status in self._known.items()
            if status.is_witness and name in reached
        }
        if self._store.is_member and self._store.log.identity.is_witness:
            names.add(self._store.name)
        return frozenset(names & self._store.group.members.keys())

    async def refresh(self) -> None:
        """Asks the members again if there may be news."""
        reached = self._peers.direct_names()
        wanted = (self._store.group.generation, reached)
        is_recent = time.monotonic() - self._asked_s < REFRESH_INTERVAL_S
        if wanted == self._asked_for and is_recent and self._is_complete():
            return
        self._asked_for = wanted
        self._asked_s = time.monotonic()
        self._known = await ask_members(self._store, self._peers)
        group = self._store.group
        if is_established(self._store, group, self._known):
            adopted = self._store.adopted_group
            adopted.established_generation = group.generation

    def _is_complete(self) -> bool:
        """Whether each member in reach has caught up with the group."""
        return all(
            status is not None
            and status.is_witness
            and status.durable_generation >= self._store.group.generation
            for status in map(self._known.get, self._peers.direct_names())
        )

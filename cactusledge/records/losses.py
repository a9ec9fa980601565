"""How many further losses of members a group of record stores bears."""

import asyncio
import time
from collections.abc import Callable, Collection
from typing import NamedTuple

import structlog

from cactusledge.gateway.background_loops import keep_running
from cactusledge.records.entries import Group
from cactusledge.records.member_statuses import MemberStatuses
from cactusledge.records.peers import GroupPeers
from cactusledge.records.quorum import quorum
from cactusledge.records.store import RecordStore

UPDATE_INTERVAL_S = 0.3
COPY_TIME_S = 1.0  # for the last copy of a new text

log = structlog.get_logger('records')


class GroupCondition(NamedTuple):
    """What a store knows of its group."""

    generation: int
    losses_borne: int  # how many further members may be lost for good
    unreachable: tuple[str, ...]  # members without a direct connection
    incomplete: tuple[str, ...]  # members whose logs are not known complete
    has_all_copies: bool  # whether others have confirmed this store's texts


def losses_borne(
    group: Group,
    witnesses: Collection[str],
    unreachable: Collection[str],
    *,
    has_all_copies: bool,
) -> int:
    """Returns how many further members may be lost for good.

    After that many losses a quorum of complete logs is left, and a copy of
    each text. A text may have lost a copy with each unreachable member.

    Args:
        group: The group.
        witnesses: The members in reach whose logs are complete.
        unreachable: The members out of reach.
        has_all_copies: Whether the texts have all copies on other members.
    """
    spare_logs = len(witnesses) - quorum(group)
    lost_copies = max(len(unreachable), int(not has_all_copies))
    return max(0, min(spare_logs, group.copies - 1 - lost_copies))


class LossMonitor:
    """Keeps the condition of a store's group up to date, and logs changes."""

    def __init__(
        self,
        store: RecordStore,
        peers: GroupPeers,
        has_copies: Callable[[], bool],
    ) -> None:
        """Starts without a condition.

        Args:
            store: This store.
            peers: Its connections to the other members.
            has_copies: Returns whether others have confirmed all its texts.
        """
        self.condition: GroupCondition | None = None
        self.statuses = MemberStatuses(store, peers)
        self._store = store
        self._peers = peers
        self._has_copies = has_copies
        self._copied_generation = 0  # of the group that last had all copies
        self._copied_s = float(0)  # when it last had them

    async def run(self) -> None:
        """Follows the condition until it is cancelled, also after an error."""
        await keep_running(self._run)

    async def _run(self) -> None:
        while True:
            if self._store.is_member:
                await self.statuses.refresh()
                self._update()
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def _update(self) -> None:
        before = self.condition
        self.condition = self._present()
        if self.condition != before:
            log.info(
                'records: condition of the group changed',
                shard=self._store.group.shard,
                **self.condition._asdict(),
            )

    def _present(self) -> GroupCondition:
        group = self._store.group
        others = group.members.keys() - {self._store.name}
        unreachable = others - self._peers.direct_names()
        witnesses = self.statuses.witnesses
        has_all_copies = self._has_all_copies()
        return GroupCondition(
            group.generation,
            losses_borne(
                group, witnesses, unreachable, has_all_copies=has_all_copies
            ),
            tuple(sorted(unreachable)),
            tuple(sorted(group.members.keys() - witnesses - unreachable)),
            has_all_copies,
        )

    def _has_all_copies(self) -> bool:
        """Returns whether no copy is missing but those of new texts."""
        now_s = time.monotonic()
        generation = self._store.group.generation
        if self._has_copies():
            self._copied_generation = generation
            self._copied_s = now_s
        is_recent = now_s - self._copied_s < COPY_TIME_S
        return self._copied_generation == generation and is_recent

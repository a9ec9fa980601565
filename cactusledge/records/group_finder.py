"""Finds the groups of record stores for a gateway without a quorum."""

import asyncio
import time
from collections.abc import Sequence

import structlog

from cactusledge.errors import StoreError
from cactusledge.models import Address
from cactusledge.records.client import RecordClient
from cactusledge.records.group_objects import GroupObjects
from cactusledge.records.links import Link
from cactusledge.records.messages import Ask, Body, Status
from cactusledge.records.peer import call_once

ASK_TIMEOUT_S = 0.4
PLATFORM_READ_INTERVAL_S = 2.0  # the platform counts each call

log = structlog.get_logger('records')


class GroupFinder:
    """Asks the stores in reach, the seed addresses and the platform.

    The seeds may be stale. It only has to run while a quorum is missing:
    members of a group in use refuse requests of an older generation, and so
    report the newer group.
    """

    def __init__(
        self,
        records: RecordClient,
        seeds: Sequence[Address],
        objects: GroupObjects,
    ) -> None:
        """Starts without a search."""
        self._records = records
        self._seeds = seeds
        self._objects = objects
        self._began_s: float | None = None  # when the present search began
        self._last_read_s = float(0)  # when the platform was last read

    async def run(self) -> None:
        """Looks for the groups once, unless each has a quorum in reach."""
        if self._records.has_all_quorums:
            self._began_s = None
            return
        now_s = time.monotonic()
        if self._began_s is None:
            self._began_s = now_s
        await asyncio.gather(
            *map(self._ask_seed, self._seeds),
            *map(self._ask_member, self._records.peers.connected()),
        )
        is_recent = now_s - self._began_s < PLATFORM_READ_INTERVAL_S
        if self._records.knows_all_groups and is_recent:
            return  # the connections are being opened
        if now_s - self._last_read_s >= PLATFORM_READ_INTERVAL_S:
            self._last_read_s = now_s
            await self._read_platform()

    async def _ask_seed(self, address: Address) -> None:
        """Adopts the groups that a seed knows."""
        try:
            reply = await call_once(address, Ask(0), ASK_TIMEOUT_S)
        except (ConnectionError, TimeoutError):
            log.info('records: seed unreachable', address=str(address))
            return
        self._adopt_groups(reply)

    async def _ask_member(self, link: Link) -> None:
        """Adopts the groups that a connected store knows."""
        try:
            reply = await link.call(Ask(0), ASK_TIMEOUT_S)
        except (ConnectionError, TimeoutError):
            return  # its connection is checked elsewhere
        self._adopt_groups(reply)

    def _adopt_groups(self, reply: Body) -> None:
        if isinstance(reply, Status):
            for group in (reply.group, *reply.groups):
                self._records.adopt_group(group)

    async def _read_platform(self) -> None:
        try:
            published = await self._objects.read()
        except StoreError as exc:
            log.info('records: platform unavailable', error=exc.message)
            return
        if published is not None:
            for group in published.table.groups:
                self._records.adopt_group(group)

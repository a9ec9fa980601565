"""A record store: handles messages of gateways and of other stores."""

import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any

from cactusledge.records import entries, messages
from cactusledge.records.adopted_group import AdoptedGroup
from cactusledge.records.gateway_messages import (
    AskGrant,
    Hello,
    LoadReport,
    ShareLoads,
)
from cactusledge.records.gateways import GatewayRegistry
from cactusledge.records.log import RecordLog
from cactusledge.records.membership import is_for
from cactusledge.records.message_texts import total_bytes
from cactusledge.records.offered_texts import OfferedTexts
from cactusledge.records.quota_messages import AskQuota
from cactusledge.records.record_views import LogReaders, RecordViews
from cactusledge.records.shards import newer_groups

ANY_GENERATION = (
    messages.Ask,
    messages.Announce,
    AskGrant,
    AskQuota,
    Hello,
    LoadReport,
    ShareLoads,
)

NO_SPACE = messages.Failed('no space left for records')

RequestHandler = Callable[[Any], Awaitable[messages.Body]]


class RecordStore:
    """Handles requests of the group's members and of gateways."""

    def __init__(self, name: str, record_log: RecordLog) -> None:
        """Starts without a group; `adopted_group.adopt` sets it."""
        self.name = name
        self.log = record_log
        self.adopted_group = AdoptedGroup(name, record_log)
        self._log_readers = LogReaders()
        self._views = RecordViews(record_log, self._log_readers)
        self.offered_texts = OfferedTexts(record_log.state)
        self.gateways = GatewayRegistry()
        # Of all shards, as published at the platform; may lag behind.
        self.known_groups: tuple[entries.Group, ...] = ()
        self.on_announced_group: Callable[[entries.Group], object] = (
            self.adopted_group.adopt
        )
        self._handlers: Mapping[type, RequestHandler] = MappingProxyType({
            messages.Reserve: self._reserve,
            messages.Append: self._append,
            messages.Query: self._query,
            messages.Fetch: self._fetch,
            messages.Pull: self._pull,
            messages.Ask: self._ask,
            messages.Announce: self._announce,
            Hello: self.gateways.register,
            AskGrant: self._grant,
            AskQuota: self._grant_quota,
            LoadReport: self.gateways.report,
            ShareLoads: self.gateways.share,
        })

    @property
    def group(self) -> entries.Group:
        """The group that this store has adopted."""
        return self.adopted_group.group

    @property
    def is_member(self) -> bool:
        """Whether this instance belongs to the group."""
        return self.adopted_group.is_member

    async def handle(self, body: messages.Body) -> messages.Body:
        """Returns the reply to a message; refuses those for other groups."""
        if not isinstance(body, ANY_GENERATION) and not is_for(
            self.group,
            getattr(body, 'shard', 0),
            getattr(body, 'generation', 0),
        ):
            return messages.StaleGroup(self.group)
        handler = self._handlers.get(type(body))
        if handler is None:
            return messages.Failed(f'{type(body).__name__} is not a request')
        return await handler(body)

    async def _reserve(self, request: messages.Reserve) -> messages.Body:
        if not self._has_space_for((request.entry,)):
            return NO_SPACE
        await self.log.append((request.entry,))
        return self._views.of_program(
            request.entry.program_id, request.parent_id
        )

    async def _append(self, request: messages.Append) -> messages.Body:
        if not self._has_space_for(request.entries):
            return NO_SPACE
        await self.log.append(request.entries)
        return messages.Appended(
            log_id=self.log.identity.log_id,
            replaced=self._log_readers.recent(),
            room=self.log.account.room,
        )

    async def _query(self, request: messages.Query) -> messages.Body:
        if request.wants_chain:
            return await self._views.of_chain(request.parent_id)
        return self._views.of_program(request.program_id, request.parent_id)

    async def _fetch(self, request: messages.Fetch) -> messages.Body:
        texts = self.log.texts
        wanted = texts.first_that_fit(request.turn_ids)
        lacking = self.offered_texts.note(request.offered)
        if request.offered:
            await self.log.flush()
        return messages.Fetched(
            await texts.read(wanted),
            lacking,
            self.log.identity.log_id,
        )

    async def _pull(self, request: messages.Pull) -> messages.Body:
        identity = self.log.identity
        position = request.position
        self._log_readers.note(request.reader, request.reader_log_id)
        if request.log_id and request.log_id != identity.log_id:
            return messages.Failed(
                'the log id has changed since the first request'
            )
        part = self.log.pull(position)
        return messages.Pulled(
            log_id=identity.log_id,
            entries=part.entries,
            head=self.log.head,
            is_witness=identity.is_witness,
            end=part.end,
            epoch=self.log.index.epoch,
        )

    async def _ask(self, request: messages.Ask) -> messages.Body:
        return messages.Status(
            name=self.name,
            group=self.group,
            is_witness=self.log.identity.is_witness,
            log_id=self.log.identity.log_id,
            durable_generation=self.adopted_group.durable_generation,
            groups=list(newer_groups(self.known_groups, (self.group,))),
            established_generation=self.adopted_group.established_generation,
        )

    async def _grant(self, ask: AskGrant) -> messages.Body:
        return self.gateways.limits.grant(ask, time.monotonic())

    async def _grant_quota(self, ask: AskQuota) -> messages.Body:
        return self.gateways.quotas.grant(ask, time.monotonic())

    async def _announce(self, request: messages.Announce) -> messages.Body:
        self.on_announced_group(request.group)
        return messages.Appended()

    def _has_space_for(self, written: Iterable[entries.Entry]) -> bool:
        return self.log.account.has_space_for(total_bytes(written))

"""A record store: answers the messages of gateways and of other stores."""

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any

import structlog

from cactusledge.records.log import RecordLog
from cactusledge.records.membership import encode_group
from cactusledge.records.messages import (
    EMPTY_GROUP,
    Append,
    Appended,
    Ask,
    Body,
    Failed,
    Group,
    Pull,
    Pulled,
    Query,
    Reserve,
    ReserveReply,
    StaleGroup,
    Status,
)

GROUP_FILE = 'group.json'

log = structlog.get_logger('records')


class RecordStore:
    """Serves its log to the members of the group it knows."""

    def __init__(self, name: str, record_log: RecordLog) -> None:
        """Keeps the log; the group comes with `take_group`."""
        self.name = name
        self.log = record_log
        self.group: Group = EMPTY_GROUP
        self.configuration = b''
        self.endpoints = b''
        self._handlers: Mapping[type, Callable[[Any], Awaitable[Body]]] = (
            MappingProxyType({
                Reserve: self._reserve,
                Append: self._append,
                Query: self._query,
                Pull: self._pull,
                Ask: self._ask,
            })
        )

    @property
    def is_member(self) -> bool:
        """Whether this instance belongs to the group."""
        return self.name in self.group.members

    def take_group(self, group: Group) -> bool:
        """Adopts a newer group; returns whether it was newer."""
        if group.generation <= self.group.generation:
            return False
        self.group = group
        self.log.write_document(GROUP_FILE, encode_group(group))
        log.info(
            'records: group adopted',
            generation=group.generation,
            members=sorted(group.members),
            is_member=self.is_member,
        )
        return True

    async def handle(self, body: Body) -> Body:
        """Returns the reply to one message."""
        generation = getattr(body, 'generation', 0)
        if generation < self.group.generation and not isinstance(body, Ask):
            return StaleGroup(self.group)
        handler = self._handlers.get(type(body))
        if handler is None:
            return Failed(f'{type(body).__name__} is not a request')
        return await handler(body)

    async def _reserve(self, request: Reserve) -> Body:
        await self.log.append((request.entry,))
        return self._view(
            request.entry.program_id,
            request.parent_id,
            wants_chain=request.wants_chain,
        )

    async def _append(self, request: Append) -> Body:
        await self.log.append(request.entries)
        return Appended()

    async def _query(self, request: Query) -> Body:
        return self._view(
            request.program_id,
            request.parent_id,
            wants_chain=request.wants_chain,
        )

    async def _pull(self, request: Pull) -> Body:
        identity = self.log.identity
        position = request.position
        if request.log_id and request.log_id != identity.log_id:
            return Failed('the log is another one than before')
        return Pulled(
            log_id=identity.log_id,
            entries=self.log.pull(position),
            head=len(self.log.entries),
            is_witness=identity.is_witness,
        )

    async def _ask(self, request: Ask) -> Body:
        return Status(
            name=self.name,
            group=self.group,
            is_witness=self.log.identity.is_witness,
            log_id=self.log.identity.log_id,
            configuration=self.configuration,
            endpoints=self.endpoints,
        )

    def _view(
        self,
        program_id: str,
        parent_id: str,
        *,
        wants_chain: bool,
    ) -> ReserveReply:
        state = self.log.state
        return ReserveReply(
            is_witness=self.log.identity.is_witness,
            spent=dict(state.spent(program_id)),
            knows_parent=parent_id in state.turns,
            chain=state.chain(parent_id) if wants_chain else [],
        )

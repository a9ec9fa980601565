"""Reserves a turn's tokens at the record stores and reads its chain."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import structlog

from cactusledge.records import entries, messages
from cactusledge.records.chain_assembly import ChainAssembly
from cactusledge.records.links import Link
from cactusledge.records.peers import GroupPeers
from cactusledge.records.quorum import (
    Demand,
    Verdict,
    decide,
    is_complete_round,
    quorum,
)
from cactusledge.records.round import Round, prepare_requests

ROUND_TIMEOUT_S = 0.7
READ_TIMEOUT_S = 0.35  # of one chain request to one store

log = structlog.get_logger('records')


class TurnStart(NamedTuple):
    """A request to begin a turn."""

    demand: Demand
    program_id: str
    wants_chain: bool

    @property
    def is_free(self) -> bool:
        """Whether the stores have nothing to decide: no budget, no parent."""
        return self.demand.budget is None and not self.demand.parent_id


class Grant(NamedTuple):
    """The verdict, and the chain if it was requested and read."""

    verdict: Verdict
    chain: tuple[entries.Turn, ...] = ()
    reason: str = ''


class StaleGroupError(Exception):
    """The stores had a newer group, which has been adopted."""


class Reservations:
    """Reserves the tokens of turns at the members of the group."""

    def __init__(self, peers: GroupPeers) -> None:
        """Keeps the connections to the group."""
        self._peers = peers

    async def begin(self, start: TurnStart) -> Grant:
        """Reserves a turn's tokens and reads its chain."""
        if not self._peers.has_quorum:
            return Grant(Verdict.UNSURE, reason='no quorum connected')
        try:
            return await self._begin(start)
        except StaleGroupError:
            return await self._retry_begin(start)

    async def _begin(self, start: TurnStart) -> Grant:
        """Reserves tokens and reads the chain concurrently.

        Raises:
            StaleGroupError: The group has changed; nothing was granted.
        """
        if not start.wants_chain:
            return await self._reserve(start)
        reading = asyncio.ensure_future(self._read_chain(start))
        try:
            grant = await self._reserve(start)
        except StaleGroupError:
            reading.cancel()
            raise
        chain = await reading
        if grant.verdict is Verdict.GRANTED and not chain:
            return Grant(Verdict.UNSURE, reason='chain not readable')
        return grant._replace(chain=chain)

    async def _retry_begin(self, start: TurnStart) -> Grant:
        try:
            return await self._begin(start)
        except StaleGroupError:
            return Grant(Verdict.UNSURE, reason='group changed twice')

    async def _reserve(self, start: TurnStart) -> Grant:
        if start.is_free:
            return Grant(Verdict.GRANTED, reason='nothing to reserve')
        group = self._peers.group
        has_budget = start.demand.budget is not None
        replies = await self._ask_all(
            self._reservation(start) if has_budget else self._query(start)
        )
        verdict = decide(start.demand, replies, quorum(group))
        is_final = not has_budget or is_complete_round(len(replies), group)
        if verdict is Verdict.GRANTED and not is_final:
            verdict = await self._confirm(start)
        return Grant(
            verdict, reason=f'{len(replies)} of {len(group.members)} stores'
        )

    async def _confirm(self, start: TurnStart) -> Verdict:
        """Returns the verdict of a second round, sent after the first ended.

        Of two concurrent reservations, at least the one whose first round
        ended last sees the other here.
        """
        replies = await self._ask_all(self._query(start))
        return decide(start.demand, replies, quorum(self._peers.group))

    def _reservation(self, start: TurnStart) -> messages.Reserve:
        entry = entries.Reserved(
            start.program_id, start.demand.turn_id, start.demand.tokens
        )
        return messages.Reserve(
            self._peers.group.generation, entry, start.demand.parent_id
        )

    def _query(self, start: TurnStart) -> messages.Query:
        return messages.Query(
            self._peers.group.generation,
            start.program_id,
            start.demand.parent_id,
            wants_chain=False,
        )

    async def _ask_all(
        self, request: messages.Reserve | messages.Query
    ) -> Mapping[str, messages.ReserveReply]:
        collected = Round(messages.ReserveReply, quorum(self._peers.group))
        await collected.run(
            prepare_requests(self._peers.all(), request), ROUND_TIMEOUT_S
        )
        if collected.stale is not None:
            self._peers.adopt_group(collected.stale.group)
            raise StaleGroupError
        return collected.replies

    async def _read_chain(self, start: TurnStart) -> tuple[entries.Turn, ...]:
        """Reads the chain from the stores, the nearest first.

        The stores are asked again as long as a pass yields new turns.
        """
        assembly = ChainAssembly(start.demand.parent_id)
        has_new_turns = True
        while has_new_turns and not assembly.is_complete():
            has_new_turns = False
            for peer in self._peers.nearest_first():
                if await self._read_from(peer, start, assembly):
                    has_new_turns = True
                if assembly.is_complete():
                    break
        return assembly.chain() if assembly.is_complete() else ()

    async def _read_from(
        self, peer: Link, start: TurnStart, assembly: ChainAssembly
    ) -> bool:
        """Requests missing turns and text; returns whether any arrived."""
        has_new_turns = False
        if assembly.youngest_missing:
            query = messages.Query(
                self._peers.group.generation,
                start.program_id,
                assembly.youngest_missing,
                wants_chain=True,
            )
            has_new_turns = assembly.add(await self._request_turns(peer, query))
        if assembly.missing_text():
            request = self._fetch(assembly.missing_text())
            turns = await self._request_turns(peer, request)
            has_new_turns = assembly.add(turns) or has_new_turns
        return has_new_turns

    async def _request_turns(
        self, peer: Link, request: messages.Query | messages.Fetch
    ) -> Sequence[entries.Turn]:
        """Returns the turns in a store's reply, none if the call failed."""
        try:
            reply = await peer.call(request, READ_TIMEOUT_S)
        except (ConnectionError, TimeoutError) as exc:
            log.info(
                'records: chain request failed',
                store=peer.name,
                error=repr(exc),
            )
            return ()
        if isinstance(reply, messages.ReserveReply):
            return reply.chain
        return reply.turns if isinstance(reply, messages.Fetched) else ()

    def _fetch(self, turn_ids: list[str]) -> messages.Fetch:
        return messages.Fetch(self._peers.group.generation, turn_ids)

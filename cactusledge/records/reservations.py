"""Reserves a turn's tokens at the record stores and reads its chain."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple

from cactusledge.records import entries, messages
from cactusledge.records.chain_reader import ChainReader
from cactusledge.records.peers import GroupPeers
from cactusledge.records.quorum import (
    Verdict,
    decide,
    is_complete_round,
    is_undecidable,
    quorum,
)
from cactusledge.records.retries import Retries, RetryLimits
from cactusledge.records.room import Room
from cactusledge.records.round import WitnessRound, prepare_requests
from cactusledge.records.round_summary import RoundName, log_unconfirmed
from cactusledge.records.turn_start import TurnStart, program_query

ROUND_TIMEOUT_S = 0.7
RETRY_S = 0.7  # short, as the caller can repeat a turn that has not run

Replies = Mapping[str, messages.ReserveReply]


class Grant(NamedTuple):
    """The verdict, and the chain if it was requested and read."""

    verdict: Verdict
    chain: tuple[entries.Turn, ...] = ()
    reason: str = ''
    may_be_reserved: bool = True  # whether any store may hold a reservation


class Decision(NamedTuple):
    """The verdict of the stores, and their replies."""

    verdict: Verdict
    replies: Replies


Ask = Callable[[TurnStart, int], Awaitable[Decision]]


class Attempt(NamedTuple):
    """What the stores replied to an attempt, and whether it is decided."""

    grant: Grant
    is_final: bool


STALE = Attempt(Grant(Verdict.UNSURE, reason='group changed'), is_final=False)


NO_ROOM = Grant(Verdict.NO_ROOM, reason='too few stores have room')


class StaleGroupError(Exception):
    """The stores had a newer group, which has been adopted."""


class Reservations:
    """Reserves the tokens of turns at the members of the group."""

    def __init__(
        self,
        peers: GroupPeers,
        chains: ChainReader,
        adopt_group: Callable[[entries.Group], object],
    ) -> None:
        """Keeps the connections to the group, and what takes newer groups."""
        self._peers = peers
        self._adopt_group = adopt_group
        self._chains = chains

    async def begin(self, start: TurnStart) -> Grant:
        """Reserves a turn's tokens and reads its chain concurrently."""
        if not self._peers.has_quorum:
            return Grant(Verdict.UNSURE, reason='no quorum connected')
        if not self._has_room_for(start):
            return NO_ROOM._replace(may_be_reserved=False)
        if start.is_free:
            return Grant(Verdict.GRANTED, reason='nothing to reserve')
        if not start.wants_chain:
            return await self._reserve_with_room(start)
        reading = asyncio.ensure_future(self._chains.read(start))
        try:
            return await self._with_chain(start, reading)
        finally:
            reading.cancel()

    async def lacks_parent(self, start: TurnStart) -> bool:
        """Returns whether no record of the turn to be continued can exist."""
        if not self._peers.has_quorum:
            return False
        grant = await self._repeat(self._find_parent, start)
        return grant.verdict is Verdict.NO_PARENT

    def _has_room_for(self, start: TurnStart) -> bool:
        """Returns whether enough stores have room to record a turn."""
        if self._peers.rooms.is_everywhere:
            return True
        group = self._peers.group
        connected = [peer.name for peer in self._peers.connected()]
        too_little = Room.SHORT if start.is_first else Room.FULL
        with_room = self._peers.rooms.better_than(connected, too_little)
        needed = max(quorum(group), min(group.copies, len(connected)))
        return len(with_room) >= needed

    async def _reserve_with_room(self, start: TurnStart) -> Grant:
        """Reserves a turn's tokens, if the stores say that they have room."""
        grant = await self._repeat(self._reserve, start)
        is_granted = grant.verdict is Verdict.GRANTED
        if is_granted and not self._has_room_for(start):
            return NO_ROOM
        return grant

    async def _with_chain(
        self,
        start: TurnStart,
        reading: 'asyncio.Task[tuple[entries.Turn, ...]]',
    ) -> Grant:
        grant = await self._reserve_with_room(start)
        if grant.verdict is not Verdict.GRANTED:
            return grant
        chain = await reading
        if not chain:
            return Grant(Verdict.UNSURE, reason='chain not readable')
        return grant._replace(chain=chain)

    async def _repeat(self, ask: Ask, start: TurnStart) -> Grant:
        """Asks the stores until it is decided, for a short time."""
        retries = Retries(lambda: (self._peers,), RetryLimits(RETRY_S))
        while True:
            attempt = await self._attempt(ask, start, retries.rounds)
            if attempt.is_final or not await retries.wait():
                return attempt.grant

    async def _attempt(
        self, ask: Ask, start: TurnStart, number: int
    ) -> Attempt:
        """Returns the verdict; UNSURE is final if stores have to catch up."""
        group = self._peers.group
        try:
            decision = await ask(start, number)
        except StaleGroupError:
            return STALE
        reason = f'{len(decision.replies)} of {len(group.members)} stores'
        is_decided = decision.verdict is not Verdict.UNSURE
        return Attempt(
            Grant(decision.verdict, reason=reason),
            is_final=is_decided or is_undecidable(decision.replies, group),
        )

    async def _reserve(self, start: TurnStart, number: int) -> Decision:
        group = self._peers.group
        has_budget = start.demand.budget is not None
        replies = await self._ask_all(
            RoundName('reserve', start.demand.turn_id, number),
            self._reservation(start)
            if has_budget
            else program_query(group, start),
        )
        verdict = decide(start.demand, replies, quorum(group))
        is_final = not has_budget or is_complete_round(len(replies), group)
        if verdict is Verdict.GRANTED and not is_final:
            return await self._confirm(start, number)
        return Decision(verdict, replies)

    async def _confirm(self, start: TurnStart, number: int) -> Decision:
        """Returns the verdict of a second round, sent after the first ended.

        Of two concurrent reservations, at least the one whose first round
        ended last sees the other here.
        """
        name = RoundName('confirm', start.demand.turn_id, number)
        return await self._query(start, name)

    async def _find_parent(self, start: TurnStart, number: int) -> Decision:
        name = RoundName('query', start.demand.turn_id, number)
        demand = start.demand._replace(budget=None)
        return await self._query(start._replace(demand=demand), name)

    async def _query(self, start: TurnStart, name: RoundName) -> Decision:
        group = self._peers.group
        replies = await self._ask_all(name, program_query(group, start))
        verdict = decide(start.demand, replies, quorum(group))
        return Decision(verdict, replies)

    def _reservation(self, start: TurnStart) -> messages.Reserve:
        entry = entries.Reserved(
            start.program_id,
            start.demand.turn_id,
            start.demand.tokens,
            start.retention_s,
        )
        group = self._peers.group
        return messages.Reserve(
            group.generation, entry, start.demand.parent_id, group.shard
        )

    async def _ask_all(
        self, name: RoundName, request: messages.Reserve | messages.Query
    ) -> Replies:
        collected = WitnessRound(messages.ReserveReply, self._peers.group)
        await collected.run(
            prepare_requests(self._peers.all(), request), ROUND_TIMEOUT_S
        )
        if collected.stale is not None or not collected.is_enough:
            log_unconfirmed(name, collected.summary)
        if collected.stale is not None:
            self._adopt_group(collected.stale.group)
            raise StaleGroupError
        self._peers.rooms.note(collected.replies)
        return collected.replies

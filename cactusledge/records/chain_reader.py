"""Reads the chain of a turn from the record stores."""

import asyncio
from collections.abc import Callable, Iterable, Sequence

import structlog

from cactusledge.records import entries, messages
from cactusledge.records.chain_assembly import ChainAssembly
from cactusledge.records.links import Link
from cactusledge.records.message_texts import ids_that_fit
from cactusledge.records.peers import GroupPeers
from cactusledge.records.quorum import is_quorum
from cactusledge.records.retries import Retries, RetryLimits
from cactusledge.records.turn_start import TurnStart, chain_query

READ_TIMEOUT_S = 0.35  # of one chain request to one store
RETRY_S = 0.7  # of a chain that some stores did not answer for

log = structlog.get_logger('records')


class ChainPass:
    """What one pass over the stores has read, and who did not answer.

    A pass ends when the stores that answer have nothing new. The others are
    asked once in a pass, as each of them may cost it the read timeout.
    """

    def __init__(self, assembly: ChainAssembly) -> None:
        """Starts with what earlier passes have read."""
        self.assembly = assembly
        self.unanswered: set[str] = set()

    def answering(self, peers: GroupPeers) -> list[Link]:
        """Returns the stores of a shard to ask, the nearest first."""
        return [
            peer
            for peer in peers.nearest_first()
            if peer.name not in self.unanswered
        ]

    def may_gain(self, shards: Iterable[GroupPeers]) -> bool:
        """Returns whether another pass may read more.

        A recorded turn is known to a majority, its text to few stores.
        """
        if self.assembly.is_complete():
            return False
        returning = {
            name
            for peers in shards
            for name in self.unanswered & peers.names()
            if not is_given_up(peers, name)
        }
        if self.assembly.missing_text():
            return bool(returning)
        return any(
            returning & peers.names() and not self._has_asked_quorum(peers)
            for peers in shards
        )

    def _has_asked_quorum(self, peers: GroupPeers) -> bool:
        answered = peers.names() - self.unanswered
        return is_quorum(len(answered), peers.group)


def is_given_up(peers: GroupPeers, name: str) -> bool:
    """Returns whether a store has been out of reach for long."""
    peer = peers.direct(name)
    return peer is None or peer.is_unreachable


class ChainReader:
    """Assembles chains, as each store may lack different turns.

    A program may continue a turn of another one, so a part of its chain may
    be in another shard, and lead back from there to one that was read before.
    """

    def __init__(
        self,
        shards: Callable[[], Sequence[GroupPeers]],
        adopt_group: Callable[[entries.Group], object],
    ) -> None:
        """Keeps what returns the shards to read, and takes newer groups.

        The program's own shard comes first.
        """
        self._shards = shards
        self._adopt_group = adopt_group

    async def read(self, start: TurnStart) -> tuple[entries.Turn, ...]:
        """Returns the chain, oldest first; () if a part cannot be read.

        Stores that did not answer are asked again for a short time.
        """
        assembly = ChainAssembly(start.demand.parent_id)
        retries = Retries(self._shards, RetryLimits(total_s=RETRY_S))
        while True:
            reading = ChainPass(assembly)
            await self._read_all(start, reading)
            if assembly.is_complete():
                return assembly.chain()
            has_more = reading.may_gain(self._shards())
            if not has_more or not await retries.wait():
                return ()

    async def _read_all(self, start: TurnStart, reading: ChainPass) -> None:
        """Reads from all shards as long as any of them yields new turns."""
        has_new_turns = True
        while has_new_turns and not reading.assembly.is_complete():
            has_new_turns = await self._read_shards(start, reading)

    async def _read_shards(self, start: TurnStart, reading: ChainPass) -> bool:
        """Reads from the program's own shard, then from the others at once.

        Returns whether any new turns arrived.
        """
        own, *others = self._shards()
        has_new_turns = await self._read_shard(own, start, reading)
        if reading.assembly.is_complete():
            return has_new_turns
        found = await asyncio.gather(
            *(self._read_shard(peers, start, reading) for peers in others)
        )
        return has_new_turns or any(found)

    async def _read_shard(
        self, peers: GroupPeers, start: TurnStart, reading: ChainPass
    ) -> bool:
        """Reads from the stores of one shard, the nearest first.

        The stores are asked again as long as that yields new turns. Returns
        whether any arrived.
        """
        assembly = reading.assembly
        rounds = 0
        has_new_turns = True
        while has_new_turns and not assembly.is_complete():
            rounds += 1
            has_new_turns = await self._ask_each(peers, start, reading)
        return rounds > 1 or has_new_turns

    async def _ask_each(
        self, peers: GroupPeers, start: TurnStart, reading: ChainPass
    ) -> bool:
        """Asks the stores of a shard in turn; returns whether any turn is new.

        Stops once the chain is complete.
        """
        has_new_turns = False
        for peer in reading.answering(peers):
            if await self._read_from(peer, peers.group, start, reading):
                has_new_turns = True
            if reading.assembly.is_complete():
                break
        return has_new_turns

    async def _read_from(
        self,
        peer: Link,
        group: entries.Group,
        start: TurnStart,
        reading: ChainPass,
    ) -> bool:
        """Requests missing turns and text; returns whether any arrived."""
        assembly = reading.assembly
        has_new_turns = False
        if assembly.youngest_missing:
            query = chain_query(group, start, assembly.youngest_missing)
            turns = await self._request_turns(peer, query, reading)
            has_new_turns = assembly.add(turns)
        if assembly.missing_text():
            request = messages.Fetch(
                group.generation,
                list(ids_that_fit(assembly.missing_text())),
                group.shard,
            )
            turns = await self._request_turns(peer, request, reading)
            has_new_turns = assembly.add(turns) or has_new_turns
        return has_new_turns

    async def _request_turns(
        self,
        peer: Link,
        request: messages.Query | messages.Fetch,
        reading: ChainPass,
    ) -> Sequence[entries.Turn]:
        """Returns the turns in a store's reply, none if the call failed."""
        try:
            reply = await peer.call(request, READ_TIMEOUT_S)
        except (ConnectionError, TimeoutError) as exc:
            reply = messages.Failed(repr(exc))
        if isinstance(reply, messages.ReserveReply):
            return reply.chain
        if isinstance(reply, messages.Fetched):
            return reply.turns
        reading.unanswered.add(peer.name)
        self._note_refusal(peer, reply)
        return ()

    def _note_refusal(self, peer: Link, reply: messages.Body) -> None:
        if isinstance(reply, messages.StaleGroup):
            self._adopt_group(reply.group)
            return
        log.info(
            'records: chain request failed',
            store=peer.name,
            error=reply.reason if isinstance(reply, messages.Failed) else '',
        )

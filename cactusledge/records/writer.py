"""Writes entries until a quorum of the newest group has confirmed them.

The stores know each entry by its turn, so that one that is sent again changes
nothing.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

import structlog

from cactusledge.records import entries, messages
from cactusledge.records.peers import GroupPeers, check_silent
from cactusledge.records.reservations import ROUND_TIMEOUT_S
from cactusledge.records.retries import Retries, RetryLimits
from cactusledge.records.round import PreparedRequest, Round
from cactusledge.records.round_summary import RoundName, log_unconfirmed
from cactusledge.records.write_requests import (
    record_requests,
    requests_to_all,
    with_holders,
)

HOLDERS_TIMEOUT_S = 0.25  # after it the text is sent to all members
OUT_OF_REACH_S = 1.0  # after it another instance may serve the caller sooner
SETTLE_S = 15.0
SETTLE_PAUSE_S = 1.0
RECORD_LIMITS = RetryLimits(out_of_reach_s=OUT_OF_REACH_S)
SETTLE_LIMITS = RetryLimits(total_s=SETTLE_S, longest_pause_s=SETTLE_PAUSE_S)

AppendRound = Round[messages.Appended]

log = structlog.get_logger('records')


class Recorded(NamedTuple):
    """Whether a turn is durable, and after how many rounds; true if it is."""

    is_durable: bool
    rounds: int

    def __bool__(self) -> bool:
        """Returns whether the turn is durable."""
        return self.is_durable


class Writer:
    """Writes the entries of one shard."""

    def __init__(
        self,
        peers: GroupPeers,
        adopt_group: Callable[[entries.Group], object],
    ) -> None:
        """Keeps the connections, and what takes newer groups."""
        self._peers = peers
        self._adopt_group = adopt_group

    async def record(self, turn: entries.Turn) -> Recorded:
        """Writes a turn; returns whether it is durable.

        Its text is sent to its holders, and to all members if the write is
        not confirmed by a quorum and all holders in time. It goes on until
        cancelled, as long as a quorum is in reach.
        """
        retries = self._retries(RECORD_LIMITS)
        last: AppendRound | None = None  # of those with the text for all
        while True:
            name = RoundName('record', turn.turn_id, retries.rounds)
            is_for_all = retries.rounds > 1 and not retries.is_regrouped
            if is_for_all or last is not None:
                last = await self._send_to_all(name, turn, last)
                is_durable = last.is_enough
            else:
                is_durable = await self._send_to_holders(name, turn)
            if is_durable or not await retries.wait():
                return Recorded(is_durable, retries.rounds)

    async def settle(self, entry: entries.Settled) -> None:
        """Writes what an incomplete turn spent, as long as it may be."""
        retries = self._retries(SETTLE_LIMITS)
        last: AppendRound | None = None
        while last is None or not last.is_enough:
            if last is not None and not await retries.wait():
                log.warning(
                    'records: turn not settled, its full reservation counts',
                    program_id=entry.program_id,
                    turn_id=entry.turn_id,
                    tokens=entry.tokens,
                )
                return
            name = RoundName('settle', entry.turn_id, retries.rounds)
            last = await self._send_to_all(name, entry, last)

    async def _send_to_holders(
        self, name: RoundName, turn: entries.Turn
    ) -> bool:
        """Sends the text to its holders; returns whether all confirmed."""
        turn = with_holders(turn, self._peers)
        collected = AppendRound(
            messages.Appended, self._peers.group, turn.holders
        )
        requests = record_requests(turn, self._peers)
        await self._append(name, collected, requests, HOLDERS_TIMEOUT_S)
        return collected.is_enough

    async def _send_to_all(
        self,
        name: RoundName,
        entry: entries.Turn | entries.Settled,
        last: AppendRound | None,
    ) -> AppendRound:
        """Sends all of an entry to the members that have not confirmed it."""
        if isinstance(entry, entries.Turn):
            entry = with_holders(entry, self._peers)
        collected = AppendRound(
            messages.Appended,
            self._peers.group,
            earlier=last.confirmations if last else None,
        )
        requests = requests_to_all(entry, self._peers)
        timeout_s = ROUND_TIMEOUT_S * name.number
        await self._append(name, collected, requests, timeout_s)
        return collected

    async def _append(
        self,
        name: RoundName,
        collected: AppendRound,
        requests: Sequence[PreparedRequest],
        timeout_s: float,
    ) -> None:
        await collected.run(requests, timeout_s, wait_s=0)
        self._peers.rooms.note(collected.replies)
        if collected.stale is not None:
            self._adopt_group(collected.stale.group)
        if not collected.is_enough:
            log_unconfirmed(name, collected.summary)
            check_silent(self._peers, collected.answered)

    def _retries(self, limits: RetryLimits) -> Retries:
        return Retries(lambda: (self._peers,), limits)

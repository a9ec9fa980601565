"""How long the entries of a log are needed; no I/O.

A turn is needed for its retention period, or for that of the last turn that
continues it. What a program has spent is needed until it has been idle for the
period. Times are of the steady clock, in seconds.
"""

import heapq
from collections.abc import Iterator, Mapping

from cactusledge.records.entries import Entry, Settled, Turn

# Between the end of a turn's answer and its record, and of clocks that differ.
SLACK_S = 30.0

NEVER = float('-inf')


def kept_s(entry: Entry) -> float:
    """Returns for how long an entry is needed by itself."""
    return entry.retention_s + SLACK_S


def spending_of(entry: Entry) -> Entry | None:
    """Returns what counts towards a budget of an entry, None if nothing."""
    if not isinstance(entry, Turn):
        return entry
    if not entry.has_budget:
        return None
    return Settled(
        entry.program_id, entry.turn_id, entry.tokens, entry.retention_s
    )


class Lifetimes:
    """Until when turns and programs are needed, and when to look again."""

    def __init__(self, turns: Mapping[str, Turn]) -> None:
        """Keeps the turns that are known, by id."""
        self._turns = turns
        self._turn_ends: dict[str, float] = {}
        self._program_ends: dict[str, float] = {}
        # Of turns that are not known here and that others continue.
        self._awaited_ends: dict[str, float] = {}
        self._checks: list[tuple[float, int]] = []  # time, position

    def note(self, entry: Entry, applied_at_s: float) -> None:
        """Extends what an entry belongs to; it is among the turns already."""
        end_s = applied_at_s + kept_s(entry)
        program_id = entry.program_id
        self._program_ends[program_id] = max(
            end_s, self._program_ends.get(program_id, NEVER)
        )
        if isinstance(entry, Turn):
            awaited_s = self._awaited_ends.pop(entry.turn_id, NEVER)
            self._extend_chain(entry, max(end_s, awaited_s))

    def end_of(self, entry: Entry) -> float:
        """Returns until when an entry is needed."""
        if isinstance(entry, Turn):
            return self._turn_ends.get(entry.turn_id, NEVER)
        return self.program_end(entry)

    def needed_part(
        self, entry: Entry, applied_at_s: float, now_s: float
    ) -> Entry | None:
        """Returns what is needed of an entry that is not known yet, if any.

        Of a turn whose time is over it is what the turn has spent, while its
        program goes on.
        """
        end_s = applied_at_s + kept_s(entry)
        if isinstance(entry, Turn):
            end_s = max(end_s, self._awaited_ends.get(entry.turn_id, NEVER))
        if end_s > now_s:
            return entry
        return spending_of(entry) if self.is_live(entry, now_s) else None

    def is_live(self, entry: Entry, now_s: float) -> bool:
        """Returns whether the spending of an entry's program is needed."""
        return self.program_end(entry) > now_s

    def program_end(self, entry: Entry) -> float:
        """Returns until when the spending of an entry's program is needed."""
        return self._program_ends.get(entry.program_id, NEVER)

    def check_at(self, at_s: float, position: int) -> None:
        """Has the entry at a position looked at, at a time."""
        heapq.heappush(self._checks, (at_s, position))

    def due(self, now_s: float) -> Iterator[int]:
        """Removes and yields the positions to look at."""
        while self._checks and self._checks[0][0] <= now_s:
            yield heapq.heappop(self._checks)[1]

    def forget(self, entry: Entry, now_s: float) -> None:
        """Removes what is known of an entry that has been dropped."""
        if isinstance(entry, Turn) and entry.turn_id not in self._turns:
            self._turn_ends.pop(entry.turn_id, None)
        if self.program_end(entry) <= now_s:
            self._program_ends.pop(entry.program_id, None)

    def forget_awaited(self, now_s: float) -> None:
        """Removes unknown turns whose continuations are needed no more."""
        self._awaited_ends = {
            turn_id: end_s
            for turn_id, end_s in self._awaited_ends.items()
            if end_s > now_s
        }

    def _extend_chain(self, turn: Turn, end_s: float) -> None:
        """Extends a turn and its ancestors; those extended before end it."""
        turn_id = turn.turn_id
        while turn_id and self._turn_ends.get(turn_id, NEVER) < end_s:
            known = self._turns.get(turn_id)
            if known is None:
                self._await(turn_id, end_s)
                return
            self._turn_ends[turn_id] = end_s
            turn_id = known.parent_id

    def _await(self, turn_id: str, end_s: float) -> None:
        self._awaited_ends[turn_id] = max(
            end_s, self._awaited_ends.get(turn_id, NEVER)
        )

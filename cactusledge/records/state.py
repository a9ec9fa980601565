"""In-memory index of a record log: turns by id, tokens by program."""

from collections.abc import Iterable

from cactusledge.records.entries import Entry, Reserved, Settled, Turn
from cactusledge.records.entry_index import Record
from cactusledge.records.quorum import Spent


class RecordState:
    """Index of the log; applying an entry twice changes nothing.

    The text of a turn may be in memory, as part of the turn, or on disk.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.turns: dict[str, Turn] = {}
        self.spending: dict[str, Spent] = {}
        self.texts_on_disk: dict[str, Record] = {}  # by turn id

    def apply(self, entry: Entry) -> bool:
        """Applies an entry; returns whether it changed the index."""
        if isinstance(entry, Turn):
            return self._apply_turn(entry)
        if isinstance(entry, Settled):
            return self._settle(entry)
        return self._reserve(entry)

    def has_text(self, turn_id: str) -> bool:
        """Returns whether a turn is known here with its text."""
        turn = self.turns.get(turn_id)
        if turn is None:
            return False
        return turn.has_text or turn_id in self.texts_on_disk

    def spent(self, program_id: str) -> Spent:
        """Returns the tokens of a program's turns, by turn id."""
        return self.spending.get(program_id, {})

    def chain(self, turn_id: str) -> list[Turn]:
        """Returns the chain that ends with a turn, oldest first.

        It starts after the latest turn that is unknown here. A record is only
        on a majority of the stores, so each store may lack different turns.
        Texts may be missing. No turn is in the chain twice, although a caller
        who uses one id in two programs can make a turn its own ancestor.
        """
        chain: dict[str, Turn] = {}
        turn = self.turns.get(turn_id)
        while turn is not None and turn.turn_id not in chain:
            chain[turn.turn_id] = turn
            turn = self.turns.get(turn.parent_id)
        return list(reversed(chain.values()))

    def drop_text(self, record: Record) -> None:
        """Removes a turn's text from memory; it is on disk."""
        turn = record.entry
        if isinstance(turn, Turn):
            self.turns[turn.turn_id] = turn

    def discard(self, entries: Iterable[Entry]) -> None:
        """Removes entries whose retention period has passed."""
        for entry in entries:
            if isinstance(entry, Turn):
                self.turns.pop(entry.turn_id, None)
                self.texts_on_disk.pop(entry.turn_id, None)
            spent = self.spending.get(entry.program_id, {})
            spent.pop(entry.turn_id, None)
            if not spent:
                self.spending.pop(entry.program_id, None)

    def _apply_turn(self, turn: Turn) -> bool:
        known = self.turns.get(turn.turn_id)
        if known is not None and (
            not turn.has_text or self.has_text(turn.turn_id)
        ):
            return False
        self.turns[turn.turn_id] = turn
        spent = self.spending.setdefault(turn.program_id, {})
        spent[turn.turn_id] = (turn.tokens, True)
        return True

    def _settle(self, entry: Settled) -> bool:
        spent = self.spending.setdefault(entry.program_id, {})
        known = spent.get(entry.turn_id)
        if known is not None and known[1]:
            return False
        spent[entry.turn_id] = (entry.tokens, True)
        return True

    def _reserve(self, entry: Reserved) -> bool:
        spent = self.spending.setdefault(entry.program_id, {})
        if entry.turn_id in spent:
            return False
        spent[entry.turn_id] = (entry.tokens, False)
        return True

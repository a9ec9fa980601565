"""Assembles a chain of turns from the replies of several stores."""

from collections.abc import Iterable

from cactusledge.records.entries import Turn


class ChainAssembly:
    """The turns received so far of the chain that ends with a given turn."""

    def __init__(self, last_id: str) -> None:
        """Starts with only the id of the last turn."""
        self._last_id = last_id
        self._turns: dict[str, Turn] = {}

    @property
    def youngest_missing(self) -> str:
        """Id of the youngest turn not received yet, '' if none is missing.

        A turn that would follow itself is missing for ever: callers of two
        programs have used its id, and only one of the two turns is known.
        """
        seen: set[str] = set()
        turn_id = self._last_id
        while turn_id in self._turns and turn_id not in seen:
            seen.add(turn_id)
            turn_id = self._turns[turn_id].parent_id
        return turn_id

    def is_complete(self) -> bool:
        """Returns whether every turn has been received with its text."""
        return not self.youngest_missing and not self.missing_text()

    def missing_text(self) -> list[str]:
        """Returns the ids of the turns received without their text."""
        return [
            turn_id
            for turn_id, turn in self._turns.items()
            if not turn.has_text
        ]

    def add(self, turns: Iterable[Turn]) -> bool:
        """Adds a store's turns; returns whether any turn or text was new."""
        has_new_turns = False
        for turn in turns:
            known = self._turns.get(turn.turn_id)
            if known is None or (turn.has_text and not known.has_text):
                self._turns[turn.turn_id] = turn
                has_new_turns = True
        return has_new_turns

    def chain(self) -> tuple[Turn, ...]:
        """Returns the chain as far back as it was received, oldest first."""
        found: list[Turn] = []
        turn = self._turns.get(self._last_id)
        while turn is not None:
            found.append(turn)
            turn = self._turns.get(turn.parent_id)
        found.reverse()
        return tuple(found)

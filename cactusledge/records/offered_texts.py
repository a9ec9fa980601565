"""The texts that other stores have offered to this one."""

from collections.abc import Iterable

from cactusledge.records.state import RecordState


class OfferedTexts:
    """The offered turns whose text this store lacks."""

    def __init__(self, state: RecordState) -> None:
        """Stores the index of the turns that this store knows."""
        self._state = state
        self._lacking: dict[str, None] = {}

    def note(self, turn_ids: Iterable[str]) -> list[str]:
        """Adds and returns the offered turns whose text is lacking."""
        lacking = [
            turn_id for turn_id in turn_ids if not self._state.has_text(turn_id)
        ]
        self._lacking.update(dict.fromkeys(lacking))
        return lacking

    def take(self) -> list[str]:
        """Removes and returns the turns to fetch, each once."""
        lacking = list(self._lacking)
        self._lacking.clear()
        return lacking

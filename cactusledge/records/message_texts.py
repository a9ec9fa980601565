"""Bounds the texts of turns in one message between stores; pure functions."""

from collections.abc import Iterable

from cactusledge.records.entries import Turn

MESSAGE_BYTES = 4 * 1024 * 1024  # a single larger turn goes alone


def text_bytes(turn: Turn) -> int:
    """Returns the size of a turn's text."""
    return len(turn.request) + len(turn.response)


def first_that_fit(turns: Iterable[Turn]) -> list[Turn]:
    """Returns the first turns whose texts fit in one message, one at least."""
    chosen: list[Turn] = []
    left = MESSAGE_BYTES
    for turn in turns:
        left -= text_bytes(turn)
        if chosen and left < 0:
            break
        chosen.append(turn)
    return chosen

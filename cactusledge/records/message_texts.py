"""Bounds the texts of turns in one message between stores; pure functions."""

import itertools
from collections.abc import Sequence

from cactusledge.records.entries import Turn

MESSAGE_BYTES = 4 * 1024 * 1024  # a single larger turn goes alone


def text_bytes(turn: Turn) -> int:
    """Returns the size of a turn's text."""
    return len(turn.request) + len(turn.response)


def count_that_fit(sizes: Sequence[int]) -> int:
    """Returns how many of the first texts fit in one message, one at least."""
    totals = itertools.accumulate(sizes)
    fitting = sum(total <= MESSAGE_BYTES for total in totals)
    return max(fitting, min(1, len(sizes)))


def first_that_fit(turns: Sequence[Turn]) -> Sequence[Turn]:
    """Returns the first turns whose texts fit in one message, one at least."""
    return turns[: count_that_fit([text_bytes(turn) for turn in turns])]

"""Bounds what goes into one message between instances; pure functions."""

import itertools
from collections.abc import Iterable, Sequence

from cactusledge.records.entries import Entry, Turn

MESSAGE_BYTES = 4 * 1024 * 1024  # a single larger turn goes alone
FIXED_BYTES = 96  # of an entry, beside its ids


def text_bytes(turn: Turn) -> int:
    """Returns the size of a turn's text."""
    return len(turn.request) + len(turn.response)


def count_that_fit(sizes: Sequence[int]) -> int:
    """Returns how many of the first texts fit in one message, one at least."""
    totals = itertools.accumulate(sizes)
    fitting = sum(total <= MESSAGE_BYTES for total in totals)
    return max(fitting, min(1, len(sizes)))


def entry_bytes(entry: Entry) -> int:
    """Returns about the size of an encoded entry without text."""
    size = FIXED_BYTES + len(entry.turn_id) + len(entry.program_id)
    if not isinstance(entry, Turn):
        return size
    holders = sum(len(name) for name in entry.holders)
    ids = len(entry.parent_id) + len(entry.account) + len(entry.endpoint_id)
    return size + ids + holders


def total_bytes(entries: Iterable[Entry]) -> int:
    """Returns about the size of encoded entries with their texts."""
    total = 0
    for entry in entries:
        total += entry_bytes(entry)
        if isinstance(entry, Turn):
            total += text_bytes(entry)
    return total


def youngest_that_fit(turns: Sequence[Turn]) -> Sequence[Turn]:
    """Returns the last turns that fit in one message without text."""
    sizes = [entry_bytes(turn) for turn in reversed(turns)]
    return turns[len(turns) - count_that_fit(sizes) :]


def ids_that_fit(turn_ids: Sequence[str]) -> Sequence[str]:
    """Returns the first ids that fit in one message, one at least."""
    return turn_ids[: count_that_fit([len(turn_id) for turn_id in turn_ids])]

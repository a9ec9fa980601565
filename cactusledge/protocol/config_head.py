"""Decisions on the configuration's head, without any I/O.

The head is the one object that says which configuration is published. It is
replaced by conditional updates only, and each version of it carries a nonce
that its publisher never uses again.
"""

import enum
from typing import NamedTuple

RECENT_ENTRIES = 16  # superseded heads that each head remembers


class HeadEntry(NamedTuple):
    """What is remembered of a superseded head."""

    generation: int
    nonce: str
    publisher: str


class Head(NamedTuple):
    """The published configuration's identity and the names of its parts."""

    generation: int
    nonce: str
    digest: str
    parts: tuple[str, ...]
    publisher: str
    published_at: str  # ISO 8601, UTC
    recent: tuple[HeadEntry, ...] = ()

    def entry(self) -> HeadEntry:
        """Returns what later heads remember of this one."""
        return HeadEntry(self.generation, self.nonce, self.publisher)


class PublishStep(enum.Enum):
    """What a publisher does with the head that it read."""

    WRITE = 'write'
    UNCHANGED = 'unchanged'
    CONFLICT = 'conflict'


class HeadWriteResult(enum.Enum):
    """What a read-back tells about a write whose answer is not known."""

    PUBLISHED = 'published'
    LOST = 'lost'
    REPEAT = 'repeat'
    UNDECIDED = 'undecided'


class Draft(NamedTuple):
    """What an operator wants to publish."""

    nonce: str
    digest: str
    parts: tuple[str, ...]
    publisher: str
    published_at: str


def decide_publish(
    current: Head | None,
    wanted_digest: str,
    expected_generation: int | None,
) -> PublishStep:
    """Returns what to do; `expected_generation` is what the operator saw."""
    generation = current.generation if current else 0
    if current and current.digest == wanted_digest:
        return PublishStep.UNCHANGED
    if expected_generation is None or expected_generation == generation:
        return PublishStep.WRITE
    return PublishStep.CONFLICT


def next_head(current: Head | None, draft: Draft) -> Head:
    """Returns the head that takes the place of `current`."""
    recent: tuple[HeadEntry, ...] = ()
    if current:
        recent = (current.entry(), *current.recent)[:RECENT_ENTRIES]
    generation = current.generation + 1 if current else 1
    return Head(generation, *draft, recent=recent)


def resolve_write(mine: Head, found: Head | None) -> HeadWriteResult:
    """Returns what became of writing `mine`, given the head read back."""
    generation = found.generation if found else 0
    if generation < mine.generation:
        return HeadWriteResult.REPEAT
    for entry in _entries(found):
        if entry.generation == mine.generation:
            won = entry.nonce == mine.nonce
            return HeadWriteResult.PUBLISHED if won else HeadWriteResult.LOST
    return HeadWriteResult.UNDECIDED


def should_apply(current_generation: int, offered_generation: int) -> bool:
    """Returns whether an instance applies an offered configuration."""
    return offered_generation > current_generation


def _entries(head: Head | None) -> tuple[HeadEntry, ...]:
    return (head.entry(), *head.recent) if head else ()

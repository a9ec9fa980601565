"""Decisions about the configuration's head, without any I/O.

The head is the single object that states which configuration is published.
It is replaced only by conditional updates, and each version of it carries a
nonce that its publisher never reuses.
"""

import enum
from typing import NamedTuple

RECENT_ENTRIES = 16  # superseded heads that each head lists


class HeadEntry(NamedTuple):
    """Summary of a superseded head."""

    generation: int
    nonce: str
    publisher: str


class Head(NamedTuple):
    """Identity of the published configuration and the names of its parts."""

    generation: int
    nonce: str
    digest: str
    parts: tuple[str, ...]
    publisher: str
    published_at: str  # ISO 8601, UTC
    recent: tuple[HeadEntry, ...] = ()

    def entry(self) -> HeadEntry:
        """Returns the summary of this head that later heads list."""
        return HeadEntry(self.generation, self.nonce, self.publisher)


class PublishStep(enum.Enum):
    """What a publisher does after it has read the current head."""

    WRITE = 'write'
    UNCHANGED = 'unchanged'
    CONFLICT = 'conflict'


class HeadWriteResult(enum.Enum):
    """Result, found by reading back, of a write whose answer was lost."""

    PUBLISHED = 'published'
    LOST = 'lost'
    REPEAT = 'repeat'
    UNDECIDED = 'undecided'


class Draft(NamedTuple):
    """Configuration that an operator wants to publish."""

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
    """Returns what to do.

    A different configuration conflicts unless the head still has the
    generation that the operator saw; None accepts any generation.
    """
    generation = current.generation if current else 0
    if current and current.digest == wanted_digest:
        return PublishStep.UNCHANGED
    if expected_generation is None or expected_generation == generation:
        return PublishStep.WRITE
    return PublishStep.CONFLICT


def next_head(current: Head | None, draft: Draft) -> Head:
    """Returns the head that replaces `current`."""
    recent: tuple[HeadEntry, ...] = ()
    if current:
        recent = (current.entry(), *current.recent)[:RECENT_ENTRIES]
    generation = current.generation + 1 if current else 1
    return Head(generation, *draft, recent=recent)


def resolve_write(mine: Head, found: Head | None) -> HeadWriteResult:
    """Returns the result of writing `mine`, given the head read back."""
    generation = found.generation if found else 0
    if generation < mine.generation:
        return HeadWriteResult.REPEAT
    for entry in _entries(found):
        if entry.generation == mine.generation:
            won = entry.nonce == mine.nonce
            return HeadWriteResult.PUBLISHED if won else HeadWriteResult.LOST
    return HeadWriteResult.UNDECIDED


def should_apply(current_generation: int, offered_generation: int) -> bool:
    """Returns whether an instance should apply an offered configuration."""
    return offered_generation > current_generation


def _entries(head: Head | None) -> tuple[HeadEntry, ...]:
    return (head.entry(), *head.recent) if head else ()

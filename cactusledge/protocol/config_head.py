"""Decisions about the head of the published configuration.

The head is one object that is replaced by conditional updates only. Its
generation rises by one with each publication.
"""

import enum
from typing import NamedTuple

from cactusledge.errors import CactusledgeError, ErrorCode

# Nonces of former generations that a head names, to settle lost answers.
RECENT_NONCES = 64


class PublishConflictError(CactusledgeError):
    """Another operator published first."""

    code = ErrorCode.PUBLISH_CONFLICT


class Head(NamedTuple):
    """Which configuration is in force."""

    generation: int = 0  # 0: nothing was published
    nonce: str = ''  # unique to one publication
    digest: str = ''  # of the whole configuration
    recent: tuple[
        str, ...
    ] = ()  # nonces of the generations before, latest last


class Settlement(enum.StrEnum):
    """What a head that was read back says of a publication."""

    PUBLISHED = 'published'  # in force
    SUPERSEDED = 'superseded'  # was in force, a later one replaced it
    LOST = 'lost'  # never in force and never will be
    PENDING = 'pending'  # may still land: write the same head again
    UNKNOWN = 'unknown'  # too long ago to tell


def decide_publish(
    current: Head,
    expected_generation: int,
    digest: str,
    nonce: str,
) -> Head:
    """Returns the head to write against the version read with `current`.

    Raises:
        PublishConflictError: If another generation is in force by now.
    """
    if current.generation != expected_generation:
        raise PublishConflictError(
            f'Generation {current.generation} is in force, the plan was '
            f'made for {expected_generation}.',
            remedy='Plan again and publish the new plan.',
        )
    recent = (*current.recent, current.nonce)[-RECENT_NONCES:]
    return Head(current.generation + 1, nonce, digest, recent)


def decide_apply(current_generation: int, offered: Head) -> bool:
    """Returns whether an instance puts the offered head in force."""
    return offered.generation > current_generation


def settle_lost_answer(found: Head, written: Head) -> Settlement:
    """Returns what the head that was read back says of the one written.

    A conflict is settled in the same way: an earlier try may have landed.
    """
    behind = found.generation - written.generation
    if behind < 0:
        return Settlement.PENDING
    if behind == 0:
        return _LANDED[found.nonce == written.nonce]
    if behind > len(found.recent):
        return Settlement.UNKNOWN
    same = found.recent[-behind] == written.nonce
    return Settlement.SUPERSEDED if same else Settlement.LOST


_LANDED = (Settlement.LOST, Settlement.PUBLISHED)

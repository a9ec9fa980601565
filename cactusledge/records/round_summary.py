"""What the replies of one round were, for the log."""

import enum
from typing import NamedTuple

import structlog

MS = 1000

log = structlog.get_logger('records')


class ReplyKind(enum.StrEnum):
    """The kinds of replies that do not count towards a quorum."""

    STALE = 'stale'  # refused for an older group
    FAILED = 'failed'  # refused for another reason
    LOST = 'lost'  # the connection was not open, or was lost


class RoundSummary(NamedTuple):
    """What was asked for in a round and what the replies were."""

    generation: int
    shard: int
    needed: int
    confirmed: int
    stale: int
    failed: int
    lost: int
    silent: int  # without a reply when the round ended
    missing: tuple[str, ...]  # required members that did not confirm
    took_s: float


class RoundName(NamedTuple):
    """Which round of which request it was."""

    kind: str
    turn_id: str
    number: int = 1  # of the rounds of this request


def log_unconfirmed(name: RoundName, summary: RoundSummary) -> None:
    """Logs a round that was not enough."""
    log.info(
        'records: round not confirmed',
        kind=name.kind,
        turn_id=name.turn_id,
        round=name.number,
        generation=summary.generation,
        shard=summary.shard,
        needed=summary.needed,
        confirmed=summary.confirmed,
        stale=summary.stale,
        failed=summary.failed,
        lost=summary.lost,
        silent=summary.silent,
        missing=summary.missing,
        ms=round(summary.took_s * MS, 1),
    )

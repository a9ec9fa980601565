"""Events and effects of the journal writer's state machine."""

from typing import NamedTuple, TypeAlias

from cactusledge.protocol.ring import Slot


class Append(NamedTuple):
    """Event: write this batch next. Valid only in the phase IDLE."""

    data: bytes
    oldest_needed: int  # lowest append whose records are still needed


class Written(NamedTuple):
    """Event: the platform confirmed the write."""

    nonce: str
    version: str


class Conflicted(NamedTuple):
    """Event: the platform rejected the write because the version differs."""

    nonce: str


class AnswerLost(NamedTuple):
    """Event: the write got no answer and may have taken effect."""

    nonce: str


class Unavailable(NamedTuple):
    """Event: the platform reported that the write did not take effect."""

    nonce: str


class ReadBack(NamedTuple):
    """Event: the slot of append n was read."""

    number: int
    slot: Slot


class ReadFailed(NamedTuple):
    """Event: the slot of append n could not be read."""

    number: int


class RetryDue(NamedTuple):
    """Event: the retry delay has elapsed."""


class GiveUp(NamedTuple):
    """Event: cancel the pending append by writing a void in its place."""

    data: bytes


Event: TypeAlias = (
    Append
    | Written
    | Conflicted
    | AnswerLost
    | Unavailable
    | ReadBack
    | ReadFailed
    | RetryDue
    | GiveUp
)


class WriteSlot(NamedTuple):
    """Effect: update the slot on condition that it has this version."""

    slot_index: int
    number: int
    nonce: str
    data: bytes
    version: str


class ReadSlot(NamedTuple):
    """Effect: read the slot of append n."""

    slot_index: int
    number: int


class BackOff(NamedTuple):
    """Effect: report `RetryDue` after the retry delay."""


class Committed(NamedTuple):
    """Effect: append n is durable, or a void was written in its place."""

    number: int
    void: bool


class Fenced(NamedTuple):
    """Effect: another owner wrote to the log; stop permanently."""

    by: str


Effect: TypeAlias = WriteSlot | ReadSlot | BackOff | Committed | Fenced

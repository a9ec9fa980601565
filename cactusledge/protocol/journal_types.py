"""Events and effects of the journal writer's state machine."""

from typing import NamedTuple, TypeAlias

from cactusledge.protocol.ring import Slot


class Append(NamedTuple):
    """Event: write this batch next; needs the phase IDLE."""

    data: bytes
    oldest_needed: int  # lowest append whose records are still needed


class Written(NamedTuple):
    """Event: the platform answered that the write took effect."""

    nonce: str
    version: str


class Conflicted(NamedTuple):
    """Event: the platform answered that the version was another one."""

    nonce: str


class AnswerLost(NamedTuple):
    """Event: the write may have taken effect."""

    nonce: str


class Unavailable(NamedTuple):
    """Event: the platform did not carry the write out."""

    nonce: str


class ReadBack(NamedTuple):
    """Event: what stands in the slot of append n."""

    number: int
    slot: Slot


class ReadFailed(NamedTuple):
    """Event: the slot of append n could not be read."""

    number: int


class RetryDue(NamedTuple):
    """Event: the back-off is over."""


class GiveUp(NamedTuple):
    """Event: commit a void in place of the pending append."""

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
    """Effect: update the slot if it still has this version."""

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
    """Effect: append n is durable, or a void stands in its place."""

    number: int
    void: bool


class Fenced(NamedTuple):
    """Effect: another owner wrote the log; stop for good."""

    by: str


Effect: TypeAlias = WriteSlot | ReadSlot | BackOff | Committed | Fenced

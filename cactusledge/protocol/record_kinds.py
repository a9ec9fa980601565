"""Record kinds of the journal.

Each record of a program contains the name of the program, the sequence number
of the call that it concerns (0 before the first one) and `prev`, the digest of
the program's previous record.
"""

from typing import NamedTuple, TypeAlias

from cactusledge.models import CallKind, Outcome, Usage
from cactusledge.protocol.state import ProgramState


class Opened(NamedTuple):
    """A program was opened."""

    program_id: str
    seq: int
    prev: bytes
    account: str
    definition: str
    budget: int
    parent: str
    opened_at_s: float
    time_limit_s: float
    turn_limit: int
    idle_limit_s: float = 0


class Intent(NamedTuple):
    """A call is about to be sent; its upper bound is reserved from now on."""

    program_id: str
    seq: int
    prev: bytes
    key: str
    kind: CallKind
    target: str
    operation: str
    idempotent: bool
    body: bytes
    reserve: int
    max_output_tokens: int = 0


class OutcomeRecorded(NamedTuple):
    """A call has its final outcome; NOT_RUN cancels its intent."""

    program_id: str
    seq: int
    prev: bytes
    outcome: Outcome
    status: int
    body: bytes
    spent: int
    overrun: int = 0
    usage: Usage = Usage()
    endpoint: str = ''
    touched: tuple[str, ...] = ()
    code: str = ''
    remedy: str = ''


class Touched(NamedTuple):
    """An engine may hold the program's cache."""

    program_id: str
    seq: int
    prev: bytes
    endpoint: str


class ShareReserved(NamedTuple):
    """Part of the budget was reserved for a sub-agent."""

    program_id: str
    seq: int
    prev: bytes
    child: str
    amount: int


class ShareReturned(NamedTuple):
    """A sub-agent ended; its unspent units are available again."""

    program_id: str
    seq: int
    prev: bytes
    child: str
    spent: int


class Ended(NamedTuple):
    """A program has ended and accepts no further calls."""

    program_id: str
    seq: int
    prev: bytes
    reason: str
    at_s: float


class CacheRelease(NamedTuple):
    """An engine must release an ended program's cache, or has released it."""

    program_id: str
    seq: int
    prev: bytes
    endpoint: str
    done: bool


class ProgramSnapshot(NamedTuple):
    """Complete state of a program; its earlier records may be overwritten."""

    program_id: str
    seq: int
    prev: bytes
    state: ProgramState


class Dropped(NamedTuple):
    """An ended program was removed after its retention time."""

    program_id: str
    seq: int
    prev: bytes


class Seal(NamedTuple):
    """A new owner took the log over."""

    owner: str
    previous: str


class Void(NamedTuple):
    """An append was cancelled; no other record was written in its place."""

    owner: str


ProgramRecord: TypeAlias = (
    Opened
    | Intent
    | OutcomeRecorded
    | Touched
    | ShareReserved
    | ShareReturned
    | Ended
    | CacheRelease
    | ProgramSnapshot
    | Dropped
)
Record: TypeAlias = ProgramRecord | Seal | Void

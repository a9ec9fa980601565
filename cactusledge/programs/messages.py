"""Messages that a log's driver actor understands."""

from typing import Any, NamedTuple

from cactusledge.models import Answer
from cactusledge.programs.views import CallArgs, OpenArgs


class Open(NamedTuple):
    """Opens a program, or finds the one that was opened with this id."""

    program_id: str
    args: OpenArgs


class Call(NamedTuple):
    """Starts, joins or re-reads a call; the reply is its `CallStream`."""

    args: CallArgs


class Finish(NamedTuple):
    """Records a call's outcome; the reply is a `Recorded`."""

    program_id: str
    seq: int
    answer: Answer
    endpoint: str = ''
    touched: tuple[str, ...] = ()


class View(NamedTuple):
    """Asks for a program's state; the reply is a `ProgramView`."""

    account: str | None  # None for any
    program_id: str


class History(NamedTuple):
    """Asks for a program's calls; the reply is a tuple of entries."""

    account: str
    program_id: str


class End(NamedTuple):
    """Ends a program; the reply is a `Recorded`."""

    account: str
    program_id: str
    reason: str


class Released(NamedTuple):
    """Tells that an engine released a program's cache, or failed to."""

    program_id: str
    endpoint: str
    done: bool


class Tick(NamedTuple):
    """Tells that a second or so has passed."""


class Drain(NamedTuple):
    """Takes no further calls; the reply is the number still running."""


class Recorded(NamedTuple):
    """A reply whose records may still be on their way to the platform."""

    reply: Any  # a ProgramView or the Answer as recorded
    durable: Any  # pykka future that resolves once they are durable

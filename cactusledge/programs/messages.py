"""Messages to a log's driver actor."""

from typing import Any, NamedTuple

from cactusledge.models import Answer
from cactusledge.programs.views import CallArgs, OpenArgs


class Open(NamedTuple):
    """Opens a program, or finds the one already opened with this id.

    The reply is a `Recorded`.
    """

    program_id: str
    args: OpenArgs


class Call(NamedTuple):
    """Starts a call, joins a running one or reads a stored answer.

    The reply is its `CallStream`.
    """

    args: CallArgs


class Finish(NamedTuple):
    """Records a call's outcome; the reply is a `Recorded`."""

    program_id: str
    seq: int
    answer: Answer
    endpoint: str = ''
    touched: tuple[str, ...] = ()


class View(NamedTuple):
    """Requests a program's state; the reply is a `ProgramView`."""

    account: str | None  # None accepts any account
    program_id: str


class History(NamedTuple):
    """Requests a program's calls; the reply is a tuple of `HistoryEntry`."""

    account: str
    program_id: str


class End(NamedTuple):
    """Ends a program; the reply is a `Recorded`."""

    account: str
    program_id: str
    reason: str


class Released(NamedTuple):
    """Reports whether an engine released a program's cache."""

    program_id: str
    endpoint: str
    done: bool


class Tick(NamedTuple):
    """Triggers the check of the programs' limits, about once a second."""


class Drain(NamedTuple):
    """Stops accepting calls; the reply is the number still running."""


class Recorded(NamedTuple):
    """A reply whose records may not be durable yet."""

    reply: Any  # a ProgramView or the Answer as recorded
    durable: Any  # pykka future that resolves once they are durable

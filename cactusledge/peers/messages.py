"""Messages between entry instances, free of thrift's own classes.

Their fields are those of the structs in `peers.thrift`.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple


class MemberView(NamedTuple):
    """What one instance knows of another."""

    name: str
    host: str
    port: int
    data_centre: str
    incarnation: int
    counter: int = 0  # grows with each interval
    version: int = 0  # grows with each change of leaving or state
    leaving: bool = False
    state: Mapping[str, bytes] | None = None


class MemberDigest(NamedTuple):
    """Which view of a member the sender holds."""

    name: str
    incarnation: int
    counter: int
    version: int
    age_ms: int = 0  # since the counter grew, as far as the sender knows


class Heartbeat(NamedTuple):
    """Views that the receiver lacks, and digests of all in the scope."""

    sender: str
    members: tuple[MemberView, ...]
    digest: tuple[MemberDigest, ...] = ()


class HeartbeatReply(NamedTuple):
    """Newer views and digests, and names whose views the replier lacks."""

    members: tuple[MemberView, ...] = ()
    digest: tuple[MemberDigest, ...] = ()
    wanted: tuple[str, ...] = ()


class ForwardedCall(NamedTuple):
    """A call passed on to the instance that drives its program."""

    call_id: str
    program_id: str
    seq: int
    sender: str
    deadline_s: float  # seconds left for the call
    document: bytes
    headers: Mapping[str, str] | None = None


class CallHandle(NamedTuple):
    """What to poll for the events of a forwarded call."""

    call_id: str
    driver: str


class CallEvent(NamedTuple):
    """A chunk of text, or the final answer as JSON."""

    offset: int
    text: str | None = None
    answer: bytes | None = None


class EventBatch(NamedTuple):
    """The events from the offset asked for."""

    events: tuple[CallEvent, ...]
    next_offset: int
    finished: bool


class OpenRequest(NamedTuple):
    """Asks to open a program."""

    program_id: str
    document: bytes
    headers: Mapping[str, str] | None = None


class EndRequest(NamedTuple):
    """Asks to end a program."""

    program_id: str
    reason: str


class ProgramReply(NamedTuple):
    """A program's state as JSON."""

    program_id: str
    document: bytes


class HistoryRequest(NamedTuple):
    """Asks for at most `limit` turns after a sequence number."""

    program_id: str
    after_seq: int = 0
    limit: int = 100


class HistoryReply(NamedTuple):
    """Part of a program's history as JSON."""

    program_id: str
    document: bytes
    complete: bool


class GrantRequest(NamedTuple):
    """Asks a group's owner for an endpoint; repeatable by job id."""

    job_id: str
    group: str
    sender: str
    job: bytes
    wait_ms: int


class GrantReply(NamedTuple):
    """A granted endpoint; without one the job still waits."""

    job_id: str
    grant_id: str | None = None
    endpoint: str | None = None
    document: bytes | None = None


class GrantFinish(NamedTuple):
    """Reports that a grant's call has ended."""

    grant_id: str
    group: str
    document: bytes


class ProgramEventKind(enum.IntEnum):
    """What happened to a program."""

    PAUSED = 0
    ENDED = 1


class ProgramEvent(NamedTuple):
    """Tells a group's owner what a program does between its calls."""

    program_id: str
    kind: ProgramEventKind
    document: bytes


class HeldBatch(NamedTuple):
    """Journal records of one log that wait for the platform."""

    log: str
    number: int
    owner: str
    records: bytes


class ConfigReply(NamedTuple):
    """The configuration, or only its generation if that is known."""

    generation: int
    document: bytes | None = None

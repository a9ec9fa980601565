"""Messages between instances, independent of the generated thrift classes.

Names and fields match the structs in `peers.thrift`.
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
    version: int = 0  # grows when `leaving` or `state` changes
    leaving: bool = False
    state: Mapping[str, bytes] | None = None


class MemberDigest(NamedTuple):
    """Identifies the sender's version of a member's view."""

    name: str
    incarnation: int
    counter: int
    version: int
    age_ms: int = 0  # since the counter grew, as far as the sender knows


class Heartbeat(NamedTuple):
    """Views that the receiver lacks, digests of near and some far members."""

    sender: str
    members: tuple[MemberView, ...]
    digest: tuple[MemberDigest, ...] = ()


class HeartbeatReply(NamedTuple):
    """Newer views and digests, and names whose views are requested."""

    members: tuple[MemberView, ...] = ()
    digest: tuple[MemberDigest, ...] = ()
    wanted: tuple[str, ...] = ()


class ForwardedCall(NamedTuple):
    """A call forwarded to the instance that drives its program."""

    call_id: str
    program_id: str
    seq: int
    sender: str
    deadline_s: float  # seconds remaining for the call
    document: bytes
    headers: Mapping[str, str] | None = None


class CallHandle(NamedTuple):
    """Identifies a forwarded call whose events are polled."""

    call_id: str
    driver: str


class CallEvent(NamedTuple):
    """A chunk of text, or the final answer as JSON."""

    offset: int
    text: str | None = None
    answer: bytes | None = None


class EventBatch(NamedTuple):
    """The events from the requested offset on."""

    events: tuple[CallEvent, ...]
    next_offset: int
    finished: bool


class OpenRequest(NamedTuple):
    """Request to open a program."""

    program_id: str
    document: bytes
    headers: Mapping[str, str] | None = None


class EndRequest(NamedTuple):
    """Request to end a program."""

    program_id: str
    reason: str


class ProgramReply(NamedTuple):
    """A program's state as JSON."""

    program_id: str
    document: bytes


class HistoryRequest(NamedTuple):
    """Request for at most `limit` turns after a sequence number."""

    program_id: str
    after_seq: int = 0
    limit: int = 100


class HistoryReply(NamedTuple):
    """Part of a program's history as JSON."""

    program_id: str
    document: bytes
    complete: bool


class GrantRequest(NamedTuple):
    """Request to a group's owner for an endpoint; idempotent by job id."""

    job_id: str
    group: str
    sender: str
    job: bytes
    wait_ms: int


class GrantReply(NamedTuple):
    """A granted endpoint; without one, the job is still queued."""

    job_id: str
    grant_id: str | None = None
    endpoint: str | None = None
    document: bytes | None = None


class GrantFinish(NamedTuple):
    """Report that a grant's call has ended."""

    grant_id: str
    group: str
    document: bytes


class ProgramEventKind(enum.IntEnum):
    """Kind of a program event."""

    PAUSED = 0
    ENDED = 1


class ProgramEvent(NamedTuple):
    """Report of a program's pause or end to a group's owner."""

    program_id: str
    kind: ProgramEventKind
    document: bytes


class HeldBatch(NamedTuple):
    """Journal records of one log, not yet stored on the platform."""

    log: str
    number: int
    owner: str
    records: bytes


class ConfigReply(NamedTuple):
    """The configuration, or only its generation if already known."""

    generation: int
    document: bytes | None = None

"""Data path types, independent of any platform."""

import enum
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]


class Repeatability(enum.StrEnum):
    """Whether a request that may already have run can be repeated."""

    IDEMPOTENT = 'idempotent'  # may run more than once
    ONCE = 'once'  # runs at most once
    STREAM = 'stream'  # an event stream, runs once unless it is resumable


class Share(NamedTuple):
    """A service's share of a route's traffic."""

    service: str
    weight: int


class Route(NamedTuple):
    """How requests for a host and path prefix are served."""

    name: str
    host: str
    prefix: str  # begins and ends with a slash
    repeatability: Repeatability
    timeout_ms: float
    target_latency_ms: float
    priority: int  # 0 is the highest
    shares: tuple[Share, ...]
    max_attempts: int
    keeps_turns: bool  # turns are recorded; requests carry only new input
    retention_s: float
    is_resumable: bool = False  # a broken stream may continue elsewhere
    is_public: bool = False  # callers need no key

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may already have run can be sent again."""
        return self.is_resumable or (
            self.repeatability is Repeatability.IDEMPOTENT
        )


class Engine(NamedTuple):
    """Properties of a service's model engines."""

    tokens_per_event: int


class Service(NamedTuple):
    """A service in the configuration."""

    name: str
    max_connections: int
    engine: Engine | None


class Limits(NamedTuple):
    """Limits on requests and connections of callers."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class Quota(NamedTuple):
    """What a client account may send to all instances together."""

    rate_per_s: float  # requests
    burst: float  # requests that may come at once


class Account(NamedTuple):
    """A client account in the configuration."""

    name: str
    key_digests: frozenset[bytes]  # SHA-256 of each of its keys
    priority: int | None = None  # replaces the route's
    quota: Quota | None = None  # None: no limit


class Configuration(NamedTuple):
    """One complete version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    accounts: tuple[Account, ...] | None = None  # None: callers need no key


class Lifetime(NamedTuple):
    """Identifies one run of an endpoint, from start to stop."""

    endpoint_id: str
    host: str
    port: int
    born_ms: int


class Replica(NamedTuple):
    """One entry of the endpoint list."""

    endpoint_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_draining: bool
    born_ms: int  # start of its lifetime, Unix milliseconds

    @property
    def lifetime(self) -> Lifetime:
        """The key that distinguishes restarts under the same id."""
        return Lifetime(self.endpoint_id, self.host, self.port, self.born_ms)


class Request(NamedTuple):
    """A request as received from a caller."""

    method: bytes
    target: bytes  # path and query, unchanged
    headers: Headers
    body: bytes
    received_s: float  # event loop clock


class Outgoing(NamedTuple):
    """A caller's request as it is sent to an endpoint."""

    request: Request
    body: bytes  # replaces the request's own
    resume_after: str = ''  # event id; replaces the caller's, '' keeps it
    account: str = ''  # name of the caller's account, '' without one
    context: bytes = b''  # sent ahead of the body; not joined, as it is large

    @property
    def size(self) -> int:
        """The bytes of what is sent after the head."""
        return len(self.context) + len(self.body)


class PromptPart(NamedTuple):
    """A part of a prompt that other prompts may share."""

    part_id: str
    tokens: int


class CallInfo(NamedTuple):
    """Call parameters read from a request."""

    request_id: str
    host: str
    path: str
    deadline_ms: float | None
    program_id: str
    finish_ms: float | None  # target time until the program finishes
    budget: int | None  # in tokens, for the whole program
    parent_id: str  # the turn that this one continues
    prompt_tokens: int
    max_tokens: int
    parts: tuple[PromptPart, ...]  # of the prompt, in order
    last_event_id: str  # the stream continues after it, '' from the start
    is_forwarded: bool = False  # by another gateway
    key_digest: bytes = b''  # SHA-256 of the caller's key, b'' without one


class EndpointAnswer(NamedTuple):
    """The parsed head of an endpoint's response."""

    status: int
    headers: Headers
    request_id: str
    has_seal: bool
    not_run: bool  # endpoint states that it did not run the request
    is_encoded: bool
    idle_s: float | None  # how long the connection may stay idle
    is_leaving: bool = False  # endpoint states that it is leaving
    media_type: str = ''  # in lower case, without parameters
    # Requests a second that the endpoint takes from all instances together.
    limit_per_s: float | None = None
    invalid_limit: str = ''  # the text of a limit that is not usable
    is_sound: bool = True  # False: not the head of one answer

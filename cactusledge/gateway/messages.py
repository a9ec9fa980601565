"""Types of the data path, free of any platform's names."""

import enum
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]


class Repeatability(enum.StrEnum):
    """What may be done with a request that has perhaps run."""

    IDEMPOTENT = 'idempotent'  # may run more than once
    ONCE = 'once'  # runs at most once
    STREAM = 'stream'  # an event stream, runs at most once


class Share(NamedTuple):
    """A service's part of a route's traffic."""

    service: str
    weight: int


class Route(NamedTuple):
    """Where requests of a host and path prefix go."""

    name: str
    host: str
    prefix: str  # begins and ends with a slash
    repeatability: Repeatability
    timeout_ms: float
    target_latency_ms: float
    priority: int  # 0 is the most urgent
    shares: tuple[Share, ...]
    max_attempts: int
    keeps_turns: bool  # turns carry only their own input
    retention_s: float


class Engine(NamedTuple):
    """What is known of a service's model engines."""

    tokens_per_event: int


class Service(NamedTuple):
    """A service of the configuration."""

    name: str
    max_connections: int
    engine: Engine | None


class Limits(NamedTuple):
    """Bounds on what callers may send."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class Configuration(NamedTuple):
    """One version of the configuration in full."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits


class Lifetime(NamedTuple):
    """One start of an endpoint."""

    endpoint_id: str
    host: str
    port: int
    born_ms: int


class Replica(NamedTuple):
    """One endpoint of the list."""

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
        """What tells this lifetime from others under the same id."""
        return Lifetime(self.endpoint_id, self.host, self.port, self.born_ms)


class Request(NamedTuple):
    """A request as it came from a caller."""

    method: bytes
    target: bytes  # path and query, unchanged
    headers: Headers
    body: bytes
    received_s: float  # event loop's clock


class PromptPart(NamedTuple):
    """A part of a prompt, which other prompts may share."""

    part_id: str
    tokens: int


class CallInfo(NamedTuple):
    """What a request says of itself."""

    request_id: str
    host: str
    path: str
    deadline_ms: float | None
    program_id: str
    finish_ms: float | None  # until the program should be finished
    budget: int | None  # tokens of the whole program
    parent_id: str  # the turn that it continues
    prompt_tokens: int
    max_tokens: int
    parts: tuple[PromptPart, ...]  # of the prompt, in order


class EndpointAnswer(NamedTuple):
    """The head of an endpoint's answer."""

    status: int
    headers: Headers
    request_id: str
    has_seal: bool
    not_run: bool  # the endpoint says that it did not run the request
    is_encoded: bool
    idle_s: float | None  # how long the connection may stay idle

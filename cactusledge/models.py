"""Data types shared by the packages.

Times are in seconds and durations carry `_s` or `_ms` in their names. Budgets
and costs are whole units; one unit is one token unless a definition says
otherwise.
"""

import enum
from collections.abc import Mapping
from typing import Any, NamedTuple


class Outcome(enum.StrEnum):
    """What is known of a call's execution."""

    NOT_RUN = 'NOT_RUN'
    RAN = 'RAN'
    UNKNOWN = 'UNKNOWN'


class CallKind(enum.StrEnum):
    """What kind of endpoint a call goes to."""

    MODEL = 'model'
    SERVICE = 'service'


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the `host:port` form used in settings and URLs."""
        return f'{self.host}:{self.port}'


class Endpoint(NamedTuple):
    """One model engine replica or one replica of a plain service."""

    name: str
    service: str  # the model's or the service's name
    kind: CallKind
    address: Address
    data_centre: str
    incarnation: str = ''  # changes when the replica is replaced
    leaving: bool = False


class CallSpec(NamedTuple):
    """A call as its caller sent it; the unit of order within a program."""

    program_id: str
    seq: int  # 1 for the first call of the program
    key: str  # idempotency key chosen by the caller
    kind: CallKind
    target: str  # model or service name
    operation: str  # 'chat' for models, an operation name for services
    idempotent: bool
    body: Mapping[str, Any]  # request document passed to the endpoint
    reserve: int  # upper bound of the cost, in budget units
    max_output_tokens: int = 0


class Usage(NamedTuple):
    """What an endpoint reported a call to have used, in tokens."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class Answer(NamedTuple):
    """The final answer to a call."""

    program_id: str
    seq: int
    outcome: Outcome
    status: int  # HTTP status that the endpoint gave, 0 if it gave none
    body: Mapping[str, Any]
    spent: int  # budget units
    usage: Usage = Usage()
    durable: bool = True  # False while the record waits for the platform
    code: str = ''  # error code, '' for success
    remedy: str = ''
    retry_after_s: float | None = None

"""Data types that several packages share.

Times are in seconds, and the names of durations end in `_s` or `_ms`. Budgets
and costs are integers in budget units; one unit is one token unless a
definition says otherwise.
"""

import enum
from collections.abc import Mapping
from typing import Any, NamedTuple


class Outcome(enum.StrEnum):
    """Whether a call was executed, as far as is known."""

    NOT_RUN = 'NOT_RUN'
    RAN = 'RAN'
    UNKNOWN = 'UNKNOWN'


class CallKind(enum.StrEnum):
    """The kind of endpoint that a call is sent to."""

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
    """One replica of a model engine or of a plain service."""

    name: str
    service: str  # the model's or the service's name
    kind: CallKind
    address: Address
    data_centre: str
    incarnation: str = ''  # changes when the replica is replaced
    leaving: bool = False


class CallSpec(NamedTuple):
    """A call as its caller sent it; the calls of a program run in order."""

    program_id: str
    seq: int  # 1 for the first call of the program
    key: str  # idempotency key chosen by the caller
    kind: CallKind
    target: str  # model or service name
    operation: str  # 'chat' for models, an operation name for services
    idempotent: bool
    body: Mapping[str, Any]  # request document for the endpoint
    reserve: int  # upper bound of the cost, in budget units
    max_output_tokens: int = 0


class Usage(NamedTuple):
    """Tokens that a call used, as reported by its endpoint."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class Answer(NamedTuple):
    """The final answer to a call."""

    program_id: str
    seq: int
    outcome: Outcome
    status: int  # HTTP status from the endpoint, 0 if there was none
    body: Mapping[str, Any]
    spent: int  # budget units
    usage: Usage = Usage()
    durable: bool = True  # False until the platform has stored the record
    code: str = ''  # error code, '' on success
    remedy: str = ''
    retry_after_s: float | None = None

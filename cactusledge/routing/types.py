"""Typed messages between drivers, schedulers and engines."""

import enum
from typing import NamedTuple, TypeAlias

from cactusledge.models import Usage


class GroupKey(NamedTuple):
    """Names an engine group: engines of one data centre and one model."""

    data_centre: str
    model: str
    number: int = 0  # distinguishes groups when there are many engines

    def __str__(self) -> str:
        """Returns the key that rendezvous hashing and logs use."""
        return f'{self.data_centre}/{self.model}/{self.number}'


class EngineLimits(NamedTuple):
    """What an engine can batch, and its speed with nothing in the way."""

    max_batch: int = 16  # sequences
    kv_tokens: int = 200_000
    prefill_tokens_s: float = 8000.0
    decode_tokens_s: float = 50.0  # of a single sequence


class EngineView(NamedTuple):
    """An engine as the group's owner knows it."""

    name: str
    limits: EngineLimits = EngineLimits()
    incarnation: str = ''
    leaving: bool = False


class Job(NamedTuple):
    """One model call that waits for an engine."""

    job_id: str
    program_id: str
    account: str
    model: str
    prefix: tuple[int, ...]  # chained hashes of the prompt's chunks
    prompt_tokens: int
    max_output_tokens: int
    turn: int  # 1 for the first model call of the program
    submitted_s: float
    deadline_s: float  # of the program
    program_started_s: float
    remaining_estimate_s: float = 0
    idempotent: bool = True
    retry: bool = False  # a new try of a call that failed at an engine
    common_chunks: int = 0  # leading chunks shared by the definition's programs


class Refusal(NamedTuple):
    """The final answer to a job that will not be carried out."""

    job_id: str
    retry_after_s: float
    reason: 'RefusalReason'


class RefusalReason(enum.StrEnum):
    """Why a job was refused."""

    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline_exceeded'
    RETRY_BUDGET = 'retry_budget'
    NO_ENGINE = 'no_endpoint'


class Grant(NamedTuple):
    """The right to send one job to one engine."""

    job_id: str
    engine: str


class CacheRelease(NamedTuple):
    """Asks an engine to free the cached prefix of a program."""

    engine: str
    program_id: str


Effect: TypeAlias = Grant | Refusal | CacheRelease


class JobResult(NamedTuple):
    """How a granted job ended."""

    job_id: str
    usage: Usage
    ok: bool
    latency_s: float  # from the send to the end of the answer


class EngineReport(NamedTuple):
    """An engine's own word on its load; it lags."""

    engine: str
    timestamp_s: float
    running: int  # sequences in the batch
    waiting: int  # requests not yet in the batch
    kv_used_tokens: int


class CacheEvent(NamedTuple):
    """A change of an engine's prefix cache; late, and some are lost."""

    engine: str
    sequence: int  # a step of more than one shows a gap
    timestamp_s: float
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class GroupSummary(NamedTuple):
    """A group's load as its owner tells other instances."""

    key: GroupKey
    owner: str
    slots: int  # sequences that the usable engines can batch
    running: int
    waiting: int
    wait_s: float  # expected wait of a new program
    slowness: float  # of the calls, against an engine with nothing else to do
    timestamp_s: float

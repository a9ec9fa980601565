"""Data types exchanged by drivers, schedulers and engines."""

import enum
from typing import NamedTuple, TypeAlias

from cactusledge.models import Usage


class GroupKey(NamedTuple):
    """Key of an engine group: engines of one data centre and one model."""

    data_centre: str
    model: str
    number: int = 0  # index of the group if there are several

    def __str__(self) -> str:
        """Returns the text form used by rendezvous hashing and logs."""
        return f'{self.data_centre}/{self.model}/{self.number}'


class EngineLimits(NamedTuple):
    """Batch limits of an engine and its speed when otherwise idle."""

    max_batch: int = 16  # sequences
    kv_tokens: int = 200_000
    prefill_tokens_s: float = 8000.0
    decode_tokens_s: float = 50.0  # of a single sequence


class EngineView(NamedTuple):
    """An engine as seen by the owner of its group."""

    name: str
    limits: EngineLimits = EngineLimits()
    incarnation: str = ''
    leaving: bool = False


class Job(NamedTuple):
    """A model call that needs an engine."""

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
    retry: bool = False  # repeats a call that failed on an engine
    common_chunks: int = 0  # leading; shared by all programs of the definition


class Refusal(NamedTuple):
    """The final answer to a job that will not run."""

    job_id: str
    retry_after_s: float
    reason: 'RefusalReason'


class RefusalReason(enum.StrEnum):
    """Reason for which a job was refused."""

    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline_exceeded'
    RETRY_BUDGET = 'retry_budget'
    NO_ENGINE = 'no_endpoint'


class Grant(NamedTuple):
    """Permission to send a job to an engine."""

    job_id: str
    engine: str


class CacheRelease(NamedTuple):
    """A request to an engine to free the cached prefix of a program."""

    engine: str
    program_id: str


Effect: TypeAlias = Grant | Refusal | CacheRelease


class JobResult(NamedTuple):
    """Result of a granted job."""

    job_id: str
    usage: Usage
    ok: bool
    latency_s: float  # from the request to the end of the response


class EngineReport(NamedTuple):
    """Load reported by an engine, with a delay."""

    engine: str
    timestamp_s: float
    running: int  # sequences in the batch
    waiting: int  # requests not yet in the batch
    kv_used_tokens: int


class CacheEvent(NamedTuple):
    """A change of an engine's prefix cache; may be delayed or lost."""

    engine: str
    sequence: int  # a step of more than one means that events were lost
    timestamp_s: float
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class GroupSummary(NamedTuple):
    """Load summary that the owner of a group sends to other instances."""

    key: GroupKey
    owner: str
    slots: int  # sequences that the usable engines can batch
    running: int
    waiting: int
    wait_s: float  # expected wait of a new program
    slowness: float  # of calls, relative to an otherwise idle engine
    timestamp_s: float

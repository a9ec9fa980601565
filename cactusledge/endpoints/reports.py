"""Parses engines' reports on load, cache and state; performs no I/O."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple


class LoadReport(NamedTuple):
    """The load of an engine, `lag_s` before the report was sent."""

    running: int  # requests
    waiting: int  # requests
    memory_tokens: int
    capacity_tokens: int
    lag_s: float  # age of the report when it was sent


class CacheEvent(NamedTuple):
    """A prefix chunk was stored or removed."""

    seq: int
    type: str  # stored, removed
    chunk: str
    program: str


class CacheEvents(NamedTuple):
    """Events of an engine's cache since a sequence number."""

    events: tuple[CacheEvent, ...]
    last_seq: int  # the next query starts after it
    missing: int  # lost events: the known cache content may be wrong


class CacheExport(NamedTuple):
    """A program's cached prefix, for import by another engine."""

    model: str
    chunks: tuple[str, ...]


class EngineState(NamedTuple):
    """The model that an engine serves, its role and its identity."""

    model: str
    adapter: str
    version: str
    role: str
    fencing: int
    incarnation: str
    leaving: bool


def parse_load(document: Mapping[str, Any]) -> LoadReport:
    """Parses the load that an engine reported."""
    return LoadReport(
        running=int(document['running']),
        waiting=int(document['waiting']),
        memory_tokens=int(document['memory_tokens']),
        capacity_tokens=int(document['capacity_tokens']),
        lag_s=float(document['lag_s']),
    )


def parse_state(document: Mapping[str, Any]) -> EngineState:
    """Parses the state that an engine reported."""
    return EngineState(
        model=str(document['model']),
        adapter=str(document['adapter']),
        version=str(document['version']),
        role=str(document['role']),
        fencing=int(document['fencing']),
        incarnation=str(document['incarnation']),
        leaving=bool(document['leaving']),
    )


def parse_events(
    after: int,
    documents: Iterable[Mapping[str, Any]],
) -> CacheEvents:
    """Returns the events after a sequence number, sorted, without duplicates.

    Sequence numbers are consecutive, so a gap means that an event was lost.
    The loss of the latest events is detected only when a later one arrives.
    """
    by_seq = {
        int(document['seq']): _event(document)
        for document in documents
        if int(document['seq']) > after
    }
    events = tuple(by_seq[seq] for seq in sorted(by_seq))
    last_seq = events[-1].seq if events else after
    return CacheEvents(events, last_seq, last_seq - after - len(events))


def _event(document: Mapping[str, Any]) -> CacheEvent:
    return CacheEvent(
        seq=int(document['seq']),
        type=str(document['type']),
        chunk=str(document['chunk']),
        program=str(document['program']),
    )

"""Pydantic models of the instance settings, with defaults."""

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from cactusledge.settings.strict import (
    Addresses,
    AddressField,
    PositiveInt,
    Seconds,
    StrictModel,
    parse_address,
)

MIB = 1_048_576

PLATFORM_TIMEOUT_S = 2.0
RING_SLOTS = 1024
COMMIT_INTERVAL_S = 0.02
MAX_HEADER_BYTES = 32_768
MAX_CONNECTIONS = 512
REQUEST_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 300.0
WORKER_THREADS = 128
BALANCER_GRACE_S = 3.0
DRAIN_TIMEOUT_S = 60.0
MAX_BODY_BYTES = MIB * 4
MAX_BODIES_BYTES = 67_108_864
MAX_WAITING_BYTES = MIB * 8

Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]


class InstanceSection(StrictModel):
    """Identity of the instance."""

    name: Name = Field(description='Unique name of this instance.')
    data_centre: Name = Field(description='Data centre it runs in.')


class ListenSection(StrictModel):
    """Addresses that the instance listens on."""

    api: AddressField = Field(
        default=parse_address('127.0.0.1:8420'),
        description='Address of the caller API and the status API.',
    )
    peers: AddressField = Field(
        default=parse_address('127.0.0.1:8421'),
        description='Address for messages from other instances.',
    )


class PlatformSection(StrictModel):
    """Access to the platform's object API."""

    addresses: Addresses = Field(
        default=(parse_address('127.0.0.1:8400'),),
        min_length=1,
        description='Addresses of the object API, tried in order.',
    )
    timeout_s: Seconds = Field(
        default=PLATFORM_TIMEOUT_S,
        description='Limit of one request, in seconds.',
    )


class PeersSection(StrictModel):
    """Other instances."""

    seeds: Addresses = Field(
        default=(), description='Peer addresses to ask first at start-up.'
    )
    heartbeat_interval_s: Seconds = Field(
        default=1.0, description='Seconds between two heartbeats.'
    )


class JournalSection(StrictModel):
    """The journal on the platform."""

    logs_per_data_centre: PositiveInt = Field(
        default=2, description='Logs, and so writers, in each data centre.'
    )
    ring_slots: Annotated[int, Field(ge=4)] = Field(
        default=RING_SLOTS,
        description='Slots of the ring of objects of one log.',
    )
    commit_interval_s: Seconds = Field(
        default=COMMIT_INTERVAL_S,
        description='Longest wait for a batch to fill.',
    )
    max_waiting_bytes: Annotated[int, Field(ge=MIB)] = Field(
        default=MAX_WAITING_BYTES,
        description='Records held in memory while the platform is away.',
    )


class LimitsSection(StrictModel):
    """Limits on requests and on the instance's own resources."""

    max_body_bytes: PositiveInt = Field(
        default=MAX_BODY_BYTES, description='Largest request body.'
    )
    max_bodies_bytes: PositiveInt = Field(
        default=MAX_BODIES_BYTES,
        description='Request bodies that are held at the same time.',
    )
    max_header_bytes: PositiveInt = Field(
        default=MAX_HEADER_BYTES, description='Largest request header.'
    )
    max_connections: PositiveInt = Field(
        default=MAX_CONNECTIONS, description='Open connections of callers.'
    )
    request_timeout_s: Seconds = Field(
        default=REQUEST_TIMEOUT_S, description='Limit for reading one request.'
    )
    call_timeout_s: Seconds = Field(
        default=CALL_TIMEOUT_S,
        description='Longest wait of one request for the answer to its call.',
    )
    worker_threads: PositiveInt = Field(
        default=WORKER_THREADS, description='Threads for requests to endpoints.'
    )


class ShutdownSection(StrictModel):
    """Graceful shutdown."""

    balancer_grace_s: Annotated[float, Field(ge=0)] = Field(
        default=BALANCER_GRACE_S,
        description='Serves on this long after it reports not ready.',
    )
    drain_timeout_s: Seconds = Field(
        default=DRAIN_TIMEOUT_S,
        description='Longest wait for requests under way.',
    )


class LogsSection(StrictModel):
    """Log output."""

    format: Literal['json', 'console'] = Field(
        default='json', description='`json` or `console`.'
    )
    level: Literal['debug', 'info', 'warning', 'error'] = Field(
        default='info', description='Least severe level that is written.'
    )


class TracesSection(StrictModel):
    """Trace output."""

    exporter: Literal['none', 'jsonl'] = Field(
        default='none',
        description='`none`, or `jsonl` for one JSON line a span.',
    )
    path: str = Field(
        default='', description='File that the `jsonl` exporter appends to.'
    )
    sample_ratio: Annotated[float, Field(ge=0, le=1)] = Field(
        default=1.0, description='Share of the traces that are recorded.'
    )

    @model_validator(mode='after')
    def _check_path(self) -> Self:
        if self.exporter == 'jsonl' and not self.path:
            raise ValueError('the jsonl exporter needs a path')
        return self


class InstanceSettings(StrictModel):
    """All settings of one instance."""

    instance: InstanceSection
    listen: ListenSection = ListenSection()
    platform: PlatformSection = PlatformSection()
    peers: PeersSection = PeersSection()
    journal: JournalSection = JournalSection()
    limits: LimitsSection = LimitsSection()
    shutdown: ShutdownSection = ShutdownSection()
    logs: LogsSection = LogsSection()
    traces: TracesSection = TracesSection()

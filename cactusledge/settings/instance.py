"""Settings of one instance: a YAML file, then environment variables."""

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

import yaml
from pydantic import Field

from cactusledge.settings.document import Location, read_document
from cactusledge.settings.errors import (
    InvalidSettingsError,
    Problem,
    nearest_name,
)
from cactusledge.settings.strict import (
    Addresses,
    AddressField,
    Amount,
    Count,
    Seconds,
    StrictModel,
    fields_at,
    model_at,
    parse_address,
    validate,
)

ENVIRONMENT_PREFIX = 'CACTUSLEDGE_'
SETTINGS_PATH_VARIABLE = 'CACTUSLEDGE_SETTINGS'
NESTING = '__'

KIB = 1024
MIB = 1024 * KIB

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
        default=2.0, description='Limit of one request, in seconds.'
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

    logs_per_data_centre: Count = Field(
        default=2, description='Logs, and so writers, in each data centre.'
    )
    ring_slots: Annotated[int, Field(ge=4)] = Field(
        default=256, description='Slots of the ring of objects of one log.'
    )
    commit_interval_s: Seconds = Field(
        default=0.02, description='Longest wait for a batch to fill.'
    )
    max_batch_bytes: Annotated[int, Field(ge=KIB, le=MIB)] = Field(
        default=768 * KIB, description='Largest batch of one commit.'
    )
    max_waiting_bytes: Count = Field(
        default=8 * MIB,
        description='Records held in memory while the platform is away.',
    )


class LimitsSection(StrictModel):
    """Limits on requests and on the instance's own resources."""

    max_body_bytes: Count = Field(
        default=4 * MIB, description='Largest request body.'
    )
    max_header_bytes: Count = Field(
        default=32 * KIB, description='Largest request header.'
    )
    max_connections: Count = Field(
        default=512, description='Open connections of callers.'
    )
    request_timeout_s: Seconds = Field(
        default=30.0, description='Limit for reading one request.'
    )
    worker_threads: Count = Field(
        default=32, description='Threads for requests to endpoints.'
    )
    driver_actors: Count = Field(
        default=4, description='Actors that drive programs.'
    )


class ShutdownSection(StrictModel):
    """Graceful shutdown."""

    balancer_grace_s: Annotated[float, Field(ge=0)] = Field(
        default=3.0,
        description='Serves on this long after it reports not ready.',
    )
    drain_timeout_s: Seconds = Field(
        default=60.0, description='Longest wait for requests under way.'
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
    data_folder: str | None = Field(
        default=None,
        description='Folder for bulk data, where the instance has a disk.',
    )
    ready_timeout_s: Amount = Field(
        default=30,
        description='Longest wait for a configuration at start-up.',
    )


class _Sources(NamedTuple):
    """Where the fields of the merged settings come from."""

    document_place: Any
    variables: Mapping[Location, str]

    def place(self, loc: Location) -> str:
        """Returns the environment variable, or the file and line."""
        for size in range(len(loc), 0, -1):
            if loc[:size] in self.variables:
                return self.variables[loc[:size]]
        return str(self.document_place(loc))


def load_settings(path: Path, environ: Mapping[str, str]) -> InstanceSettings:
    """Returns the settings of the file, overridden by the environment."""
    document = read_document(path, InvalidSettingsError)
    merged = document.data
    variables: dict[Location, str] = {}
    if isinstance(merged, dict):
        for variable in sorted(environ):
            loc = _override(merged, variable, environ[variable])
            if loc:
                variables[loc] = variable
    sources = _Sources(document.place, variables)
    return validate(InstanceSettings, merged, sources, InvalidSettingsError)


def parse_addresses(text: str) -> list[str]:
    """Returns the addresses of a comma-separated list."""
    return [part.strip() for part in text.split(',') if part.strip()]


def _override(merged: dict[str, Any], variable: str, text: str) -> Location:
    """Writes one variable into the settings; returns the field's location."""
    if not variable.startswith(ENVIRONMENT_PREFIX):
        return ()
    if variable == SETTINGS_PATH_VARIABLE:
        return ()
    loc = _field_location(variable)
    target = merged
    for step in loc[:-1]:
        target = target.setdefault(str(step), {})
        if not isinstance(target, dict):
            return loc[:-1]
    target[str(loc[-1])] = _variable_value(loc, variable, text)
    return loc


def _field_location(variable: str) -> Location:
    dotted = variable.removeprefix(ENVIRONMENT_PREFIX).lower()
    loc = tuple(dotted.split(NESTING))
    for size, step in enumerate(loc):
        known = fields_at(InstanceSettings, loc[:size])
        if step not in known:
            problem = Problem(
                variable,
                f"Unknown field '{'.'.join(loc)}'.",
                nearest_name(step, known),
            )
            raise InvalidSettingsError((problem,))
    return loc


def _variable_value(loc: Location, variable: str, text: str) -> Any:
    parent = model_at(InstanceSettings, loc[:-1])
    field = parent.model_fields[str(loc[-1])] if parent else None
    annotation = str(field.annotation) if field else ''
    if annotation.startswith('tuple'):
        return parse_addresses(text)
    if 'str' in annotation or 'Address' in annotation:
        return text
    try:
        return yaml.safe_load(text)
    except (yaml.YAMLError, ValueError) as exc:
        problem = Problem(
            variable,
            'The value is not valid YAML.',
            'Write a number or a word.',
        )
        raise InvalidSettingsError((problem,)) from exc

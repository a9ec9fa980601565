"""Reads the settings file that the platform writes for each process."""

import math
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple, TypeVar

from cactusledge.models import Address
from cactusledge.settings.errors import InvalidSettingsError, Problem

PATH_VARIABLE = 'CACTUSLEDGE_CONFIG'
METRICS_PORT = 9464  # must equal `metrics` in deploy/system.toml
CROSS_PRICE_VARIABLE = 'CACTUSLEDGE_CROSS_MS_PER_MB'
Converted = TypeVar('Converted')

REMEDY = 'Correct the settings file of this process.'


class PlatformSettings(NamedTuple):
    """The settings in use; other fields of the file are ignored."""

    instance: str  # node_name: the machine's name
    data_centre: str  # zone
    host: str  # ip
    peer_port: int  # first of port_range
    callers: Address | None  # listen.front
    readiness: Address | None  # listen.ready
    seeds: tuple[Address, ...]  # record stores; may be outdated
    is_first_start: bool  # bootstrap: all disks are empty, as expected
    data_folder: Path | None  # data_dir
    tolerated_losses: int  # tolerate.machines: disks that may be lost at once
    grace_s: float  # from SIGTERM to SIGKILL
    drain_s: float | None  # bounds.drain_ms, which is in milliseconds
    platform_address: Address  # platform.address
    memory_mb: float | None = None  # limits.memory_mb, of the machine
    descriptors: int | None = None  # limits.fds, of the machine
    disk_mb: float | None = None  # limits.disk_mb, of a machine with a disk
    # Price of traffic between data centres, in ms of a caller's time for a
    # megabyte; None: requests leave only by cost.
    cross_ms_per_mb: float | None = None


def read_settings(environ: Mapping[str, str]) -> PlatformSettings:
    """Returns the settings of this process.

    Raises:
        InvalidSettingsError: The file can not be read, or a field is missing
            or has another type.
    """
    name = environ.get(PATH_VARIABLE, '')
    try:
        text = Path(name).read_text(encoding='utf-8')
    except OSError as exc:
        raise settings_error(name or PATH_VARIABLE, f'{exc}.') from exc
    price = read_price(environ.get(CROSS_PRICE_VARIABLE, ''))
    return parse_settings(text, name)._replace(cross_ms_per_mb=price)


def parse_settings(text: str, source: str) -> PlatformSettings:
    """Parses settings from `a.b=value` lines; `source` is for errors."""
    fields = dict(
        line.split('=', 1)
        for line in text.splitlines()
        if '=' in line and not line.startswith('#')
    )
    reader = _FieldReader(fields, source)
    return PlatformSettings(
        instance=reader.text('node_name'),
        data_centre=reader.text('zone'),
        host=reader.text('ip'),
        peer_port=reader.convert('port_range', first_port),
        callers=reader.optional('listen.front', parse_address),
        readiness=reader.optional('listen.ready', parse_address),
        seeds=reader.optional('seeds', parse_addresses) or (),
        is_first_start=fields.get('bootstrap') == 'true',
        data_folder=reader.optional('data_dir', Path),
        tolerated_losses=reader.convert('tolerate.machines', int),
        grace_s=reader.convert('bounds.grace_s', float),
        drain_s=reader.optional('bounds.drain_ms', parse_milliseconds),
        platform_address=reader.convert('platform.address', parse_address),
        memory_mb=reader.optional('limits.memory_mb', parse_positive),
        descriptors=reader.optional('limits.fds', int),
        disk_mb=reader.optional('limits.disk_mb', parse_disk),
    )


def read_price(text: str) -> float | None:
    """Returns the price of traffic between data centres, in ms per MB.

    None without one.

    Raises:
        InvalidSettingsError: It is not a number of at least 0.
    """
    if not text:
        return None
    message = f'{text} is not a number of at least 0.'
    try:
        price = float(text)
    except ValueError as exc:
        raise settings_error(CROSS_PRICE_VARIABLE, message) from exc
    if not 0 <= price < math.inf:
        raise settings_error(CROSS_PRICE_VARIABLE, message)
    return price


def parse_address(text: str) -> Address:
    """Parses a `host:port` address."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parses a comma-separated list of addresses."""
    return tuple(parse_address(part) for part in text.split(',') if part)


def parse_positive(text: str) -> float:
    """Parses a number above 0.

    Raises:
        ValueError: It is not one.
    """
    number = float(text)
    if not 0 < number < math.inf:
        raise ValueError('not above 0')
    return number


def parse_disk(text: str) -> float | None:
    """Parses the size of a disk; None if the machine has none, which is 0.

    Raises:
        ValueError: It is not a number of at least 0.
    """
    return parse_positive(text) if float(text) else None


def parse_milliseconds(text: str) -> float:
    """Returns milliseconds as seconds."""
    return float(text) / 1000


def first_port(text: str) -> int:
    """Returns the first port of a `first,last` range."""
    return int(text.split(',', maxsplit=1)[0])


def settings_error(source: str, message: str) -> InvalidSettingsError:
    """Returns the error for one problem in the settings."""
    return InvalidSettingsError((Problem(source, message, REMEDY),))


class _FieldReader:
    """Reads single fields; errors name the invalid field."""

    def __init__(self, fields: Mapping[str, str], source: str) -> None:
        self._fields = fields
        self._source = source

    def text(self, name: str) -> str:
        """Returns a required field."""
        found = self._fields.get(name, '')
        if not found:
            raise settings_error(self._source, f'{name} is missing.')
        return found

    def convert(
        self, name: str, parse: Callable[[str], Converted]
    ) -> Converted:
        """Returns a required field, converted."""
        found = self.text(name)
        try:
            return parse(found)
        except ValueError as exc:
            message = f'{name}={found} is not valid ({exc}).'
            raise settings_error(self._source, message) from exc

    def optional(
        self, name: str, parse: Callable[[str], Converted]
    ) -> Converted | None:
        """Returns a field, converted, or None if it is missing or empty."""
        return self.convert(name, parse) if self._fields.get(name) else None


def process_settings() -> PlatformSettings:
    """Returns the settings of this process."""
    return read_settings(os.environ)

"""Loads instance settings from a YAML file and environment variables."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import yaml

from cactusledge.settings.document import Location, read_document
from cactusledge.settings.errors import (
    InvalidSettingsError,
    Problem,
    nearest_name,
)
from cactusledge.settings.sections import InstanceSettings
from cactusledge.settings.strict import (
    FieldLocator,
    fields_at,
    model_at,
    validate,
)

ENVIRONMENT_PREFIX = 'CACTUSLEDGE_'
# Read by the command line; they do not override settings.
RESERVED_VARIABLES = frozenset(('CACTUSLEDGE_TOKEN', 'CACTUSLEDGE_API'))
NESTING_SEPARATOR = '__'


class _Sources(NamedTuple):
    """Where each field of the merged settings was set."""

    document: FieldLocator
    overrides: Mapping[Location, str]  # names of environment variables

    def place(self, loc: Location) -> str:
        """Returns the overriding environment variable, else `path:line`."""
        for size in range(len(loc), 0, -1):
            override = self.overrides.get(loc[:size])
            if override:
                return override
        return self.document.place(loc)


def load_settings(path: Path, environ: Mapping[str, str]) -> InstanceSettings:
    """Returns the settings of the file, overridden by the environment."""
    document = read_document(path, InvalidSettingsError)
    merged = document.data
    overrides: dict[Location, str] = {}
    if isinstance(merged, dict):
        for name in sorted(environ):
            loc = _apply_variable(merged, name, environ[name])
            if loc:
                overrides[loc] = name
    sources = _Sources(document, overrides)
    return validate(InstanceSettings, merged, sources, InvalidSettingsError)


def parse_addresses(text: str) -> list[str]:
    """Returns the addresses of a comma-separated list."""
    return [part.strip() for part in text.split(',') if part.strip()]


def _apply_variable(merged: dict[str, Any], name: str, text: str) -> Location:
    """Applies one variable to the settings; returns the field's location.

    Returns an empty location for a variable that sets no field.
    """
    if not name.startswith(ENVIRONMENT_PREFIX):
        return ()
    if name in RESERVED_VARIABLES:
        return ()
    loc = _field_location(name)
    target = merged
    for step in loc[:-1]:
        target = target.setdefault(str(step), {})
        if not isinstance(target, dict):
            return loc[:-1]
    target[str(loc[-1])] = _variable_value(loc, name, text)
    return loc


def _field_location(name: str) -> Location:
    dotted = name.removeprefix(ENVIRONMENT_PREFIX).lower()
    loc = tuple(dotted.split(NESTING_SEPARATOR))
    for size, step in enumerate(loc):
        known = fields_at(InstanceSettings, loc[:size])
        if step not in known:
            problem = Problem(
                name,
                f"Unknown field '{'.'.join(loc)}'.",
                nearest_name(step, known),
            )
            raise InvalidSettingsError((problem,))
    return loc


def _variable_value(loc: Location, name: str, text: str) -> Any:
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
            name,
            'The value is not valid YAML.',
            'Write a number or a word.',
        )
        raise InvalidSettingsError((problem,)) from exc

"""Writes results to standard output, as text or as JSON."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

from cactusledge.environment import Environment


def write_lines(env: Environment, lines: Iterable[str]) -> None:
    """Writes each line, followed by a newline."""
    for line in lines:
        env.stdout.write(f'{line}\n')


def write_json(env: Environment, document: Mapping[str, Any]) -> None:
    """Writes one indented JSON document with sorted keys."""
    text = json.dumps(document, indent=2, sort_keys=True)
    env.stdout.write(f'{text}\n')

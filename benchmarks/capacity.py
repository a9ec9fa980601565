"""Measures the slopes of docs/CAPACITY.md.

Run it with `python -m benchmarks.capacity`; `--only` names one part.
"""

import sys
import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Annotated

import typer

from benchmarks import (
    capacity_configuration,
    capacity_history,
    capacity_instances,
    capacity_journal,
    capacity_members,
    capacity_programs,
    capacity_routing,
)
from benchmarks.capacity_series import Series
from benchmarks.load_page import origin, write_page

Measure = Callable[[], Iterator[Series]]

PARTS: Mapping[str, Measure] = MappingProxyType({
    'members': capacity_members.series,
    'configuration': capacity_configuration.series,
    'routing': capacity_routing.series,
    'journal': capacity_journal.series,
    'history': capacity_history.series,
    'programs': capacity_programs.series,
    'instances': capacity_instances.series,
})


def main(
    out: Annotated[Path | None, typer.Option()] = None,
    only: str = '',
) -> None:
    """Measures all parts, or one, and prints points and slopes."""
    began_s = time.monotonic()
    texts: list[str] = []
    for name, measure in PARTS.items():
        if name.startswith(only):
            texts.extend(series.text() for series in measure())
            sys.stderr.write(f'{name}: {time.monotonic() - began_s:.0f} s\n')
    write_page(
        ('# Slopes', origin('benchmarks.capacity'), *texts),
        out,
    )


if __name__ == '__main__':
    typer.run(main)

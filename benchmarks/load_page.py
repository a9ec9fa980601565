"""Markdown tables and the origin line of the measurement pages."""

import datetime as dt
import shlex
import subprocess
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
SIGNIFICANT_DIGITS = 3
LARGE = 1000


def table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Returns a Markdown table; floats get three significant digits."""
    rule = ['---' for _ in header]
    lines = (header, rule, *rows)
    return '\n'.join(f'| {" | ".join(map(shown, line))} |' for line in lines)


def shown(cell: Any) -> str:
    """Returns a cell's text."""
    if not isinstance(cell, float):
        return str(cell)
    if abs(cell) >= LARGE:
        return f'{cell:,.0f}'
    return f'{cell:.{SIGNIFICANT_DIGITS}g}'


def origin(module: str) -> str:
    """Returns the command, the commit and the time of a run."""
    command = ' '.join(('python', '-m', module, *map(shlex.quote, _options())))
    now = dt.datetime.now(dt.UTC).strftime('%Y-%m-%d %H:%M UTC')
    return f'`{command}` at commit {_commit()}, {now}.'


def write_page(parts: Sequence[str], out: Path | None) -> None:
    """Prints the page, and writes it to a file if one is named."""
    text = '\n\n'.join(parts)
    sys.stdout.write(f'{text}\n')
    if out is not None:
        out.write_text(f'{text}\n', encoding='utf-8')


def _options() -> list[str]:
    return sys.argv[1:]


def _commit() -> str:
    done = subprocess.run(
        ('git', 'describe', '--always', '--dirty', '--abbrev=8'),
        capture_output=True,
        check=False,
        cwd=ROOT,
        text=True,
    )
    return done.stdout.strip() or 'unknown'

"""Points of a measurement, and the lines through them."""

import statistics
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from benchmarks.load_page import shown, table

MIN_POINTS = 3


class Series(NamedTuple):
    """Measured columns over one cause; the first column is the cause."""

    title: str
    header: tuple[str, ...]
    rows: tuple[tuple[float, ...], ...]
    note: str = ''

    def text(self) -> str:
        """Returns the points and the fitted lines as Markdown."""
        parts = [f'## {self.title}', table(self.header, self.rows)]
        if len(self.rows) >= MIN_POINTS:
            parts.append('\n'.join(self._lines()))
        return '\n\n'.join((*parts, self.note) if self.note else parts)

    def _lines(self) -> Iterable[str]:
        causes = [row[0] for row in self.rows]
        for index, name in enumerate(self.header[1:], 1):
            found = [row[index] for row in self.rows]
            yield f'- {name}: {fitted(causes, found)} per {self.header[0]}'


def fitted(causes: Sequence[float], found: Sequence[float]) -> str:
    """Returns the least-squares line as text."""
    line = statistics.linear_regression(causes, found)
    sign = '+' if line.slope >= 0 else '-'
    return f'{shown(line.intercept)} {sign} {shown(abs(line.slope))}'

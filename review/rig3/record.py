"""What was sent, answered and run, a line each."""

import json
import time
from pathlib import Path


class Record:
    """Writes the record of a case.

    A line has the seconds since the start, what happened, and fields; those
    that are empty or 0 are left out.
    """

    def __init__(self, path):
        """Starts the file anew."""
        self._path = Path(path)
        self._path.write_text('')
        self._lines = []
        self._began_s = time.monotonic()

    def add(self, what, **fields):
        """Adds a line; it is written at the end."""
        at_s = time.monotonic() - self._began_s
        told = [
            f'{name}={json.dumps(found).strip(chr(34))}'
            for name, found in fields.items()
            if found or what == 'judged'
        ]
        self._lines.append(' '.join((f'{at_s:.3f}', what, *told)))

    def close(self):
        """Writes the file."""
        self._path.write_text('\n'.join((*self._lines, '')))

"""What was sent, answered and run, a line each."""

import json
import time
from collections import Counter
from pathlib import Path


class Record:
    """Writes the record of a case."""

    def __init__(self, path):
        """Starts the file anew."""
        self.counts = Counter()
        self._path = Path(path)
        self._path.write_text('')
        self._lines = []
        self._began_s = time.monotonic()

    def add(self, what, **fields):
        """Adds a line; it is written at the end."""
        self.counts[what] += 1
        at_s = round(time.monotonic() - self._began_s, 3)
        line = json.dumps({'at_s': at_s, 'what': what, **fields})
        self._lines.append(line)

    def close(self):
        """Writes the file."""
        self._path.write_text('\n'.join((*self._lines, '')))

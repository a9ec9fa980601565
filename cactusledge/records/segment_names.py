"""Names of segment files, which tell when their entries were written; pure.

Times of files are not used: a file system need not keep them.
"""

import re
import secrets
from collections.abc import Iterator, Sequence
from typing import NamedTuple

SEGMENT_SUFFIX = '.log'
SEGMENT_S = 10  # of writing; the age of an entry is known as precisely
ID_BYTES = 2
NS_PER_S = 1_000_000_000
# Unix time of its start in ns, an id, and for how many seconds it may be
# written to; older builds name no end.
NAME = re.compile(r'(?P<start>\d+)(?:-[0-9a-f]+(?:-(?P<span>\d+)s)?)?\.log')


class SegmentAge(NamedTuple):
    """A segment, and for how long nothing has been written to it at least."""

    name: str
    age_s: float


def new_name(now_ns: int) -> str:
    """Returns the name of a segment that is begun at a Unix time."""
    segment_id = secrets.token_hex(ID_BYTES)
    return f'{now_ns:020d}-{segment_id}-{SEGMENT_S}s{SEGMENT_SUFFIX}'


def ages(names: Sequence[str], now_s: float) -> Iterator[SegmentAge]:
    """Yields the ages of segments, the oldest first, at a Unix time.

    One without an end was written to until the next one was begun, as far as
    is known; the last one until now.
    """
    following = (*names[1:], '')[: len(names)]
    for name, next_name in zip(names, following, strict=True):
        end_s = _end_s(name)
        if end_s is None:
            end_s = _start_s(next_name)
        age_s = 0 if end_s is None else now_s - end_s
        yield SegmentAge(name, max(age_s, 0))


def _start_s(name: str) -> float | None:
    found = NAME.fullmatch(name)
    return int(found['start']) / NS_PER_S if found else None


def _end_s(name: str) -> float | None:
    start_s = _start_s(name)
    found = NAME.fullmatch(name)
    if start_s is None or found is None or found['span'] is None:
        return None
    return start_s + int(found['span'])

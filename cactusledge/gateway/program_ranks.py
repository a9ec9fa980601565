"""Ranks requests of an account that is over its quota; pure.

Programs in progress go first. The others are ranked by their id, the same at
all gateways: so the requests of some programs are all taken, instead of some
requests of all programs.
"""

import zlib
from collections import OrderedDict

from cactusledge.gateway.messages import CallInfo

MAX_PROGRAMS = 8192  # the least recently used are forgotten
IN_PROGRESS = 0  # rank
LAST = 1  # rank
HASHES = 1 << 24


class ProgramRanks:
    """The programs of which this gateway has taken requests lately."""

    def __init__(self) -> None:
        """Starts without any."""
        self._begun: OrderedDict[str, None] = OrderedDict()

    def rank(self, info: CallInfo) -> float:
        """Returns a request's rank, from 0 for the first to 1."""
        if not info.program_id:
            return LAST
        if info.parent_id or info.program_id in self._begun:
            return IN_PROGRESS
        return share_of_text(info.program_id)

    def note_taken(self, info: CallInfo) -> None:
        """Notes that a program is in progress."""
        if not info.program_id:
            return
        self._begun[info.program_id] = None
        self._begun.move_to_end(info.program_id)
        if len(self._begun) > MAX_PROGRAMS:
            self._begun.popitem(last=False)


def share_of_text(text: str) -> float:
    """Returns a number for a text, spread evenly over 0 to 1."""
    return zlib.crc32(text.encode()) % HASHES / HASHES

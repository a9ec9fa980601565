"""What cleaning adds to a log's writes, as a function of the ring's size.

Run it with `python -m benchmarks.cleaning`. Programs take turns in rotation;
one that has made its last call ends and another one opens.
"""

import random
import sys
from typing import NamedTuple

from benchmarks.takeover import TURNS, turn_records
from cactusledge.protocol import calls
from cactusledge.protocol import records as rec
from cactusledge.protocol.log_index import LogIndex, Retention

SEED = 7
PROGRAMS = 100  # alive at any time
CALLS = 4  # an append
APPEND_S = 0.05
RETENTION_S = 60
RUNS = ((64, 1_500), (256, 1_500), (1_024, 3_000))  # slots, appends
BUDGET = 1_000_000
BYTES_PER_KB = 1_000


class Written(NamedTuple):
    """Compressed bytes of an append."""

    fresh: int
    carried: int


class Log:
    """A ledger with programs that come and go."""

    def __init__(self, size: int) -> None:
        """Opens the first programs."""
        self.log_index = LogIndex(size, Retention(RETENTION_S))
        self._rng = random.Random(SEED)
        self._opened = 0
        self._live = [self._open(0) for _ in range(PROGRAMS)]

    def append(self, number: int) -> Written:
        """Makes the records of one append."""
        now_s = number * APPEND_S
        limit = self.log_index.carry_limit_bytes(number, 0)
        carried = self.log_index.carry_forward(number, now_s, limit)
        fresh: list[rec.ProgramRecord] = []
        for _ in range(CALLS):
            fresh.extend(self._call(number, now_s))
        return Written(len(rec.encode_batch(fresh)), carried.size_bytes)

    def _call(self, number: int, now_s: float) -> list[rec.ProgramRecord]:
        name = self._live.pop(0)
        state = self.log_index.programs[name]
        made = list(turn_records(state, len(state.calls) + 1, self._rng))
        self.log_index.apply_batch(number, made)
        if len(state.calls) + 1 < TURNS:
            self._live.append(name)
            return made
        self._live.append(self._open(number))
        return [*made, *self._end(name, number, now_s)]

    def _end(
        self,
        name: str,
        number: int,
        now_s: float,
    ) -> list[rec.ProgramRecord]:
        ended = calls.end_records(self.log_index.programs[name], 'done', now_s)
        self.log_index.apply_batch(number, ended)
        state = self.log_index.programs[name]
        release = calls.release_record(state, state.releases[0], done=True)
        self.log_index.apply_batch(number, [release])
        return [*ended, release]

    def _open(self, number: int) -> str:
        name = f'p{self._opened}'
        self._opened += 1
        now_s = number * APPEND_S
        opened = rec.Opened(
            name, 0, b'', 'a', 'd', BUDGET, '', now_s, BUDGET, TURNS
        )
        self.log_index.apply_batch(number, [opened])
        return name


def main() -> None:
    """Prints one line a ring size, over the second half of the appends."""
    _say('slots  appends  new kB/append  carried kB/append  ratio  programs')
    for size, appends in RUNS:
        log = Log(size)
        written = [log.append(number) for number in range(appends)]
        second = written[appends // 2 :]
        fresh = sum(item.fresh for item in second) / len(second)
        carried = sum(item.carried for item in second) / len(second)
        _say(
            f'{size:5}  {appends:7}  {fresh / BYTES_PER_KB:13.1f}  '
            f'{carried / BYTES_PER_KB:17.1f}  {carried / fresh:5.1f}  '
            f'{len(log.log_index.programs):8}'
        )


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()

"""Takeover time as a function of the log's length.

Run it with `python -m benchmarks.takeover`. The store is in memory: add the
platform's time for one listing and one write.
"""

import random
import sys
import time
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from cactusledge.models import Answer, CallKind, CallSpec, Outcome
from cactusledge.programs.journal.takeover import TakeoverOptions, take_over
from cactusledge.protocol import calls, ring
from cactusledge.protocol import records as rec
from cactusledge.protocol.held import split_batches
from cactusledge.protocol.program import ProgramState, apply

LOG = 'bench'
SEED = 7
TURNS = 20
DOCUMENT_BYTES = 2_000
ROUNDS = 3
RING_SIZE = 256
PROGRAMS = (10, 40, 160, 640)
WORDS = tuple(f'word{number}' for number in range(2_000))
BYTES_PER_MB = 1_000_000


class Stored(NamedTuple):
    """An object of the store."""

    kind: str
    name: str
    version: str
    body: Mapping[str, Any]


class Listing(NamedTuple):
    """Answer to a list request."""

    items: tuple[Stored, ...]
    version: str


class MemoryStore:
    """Holds the slots of one log; implements what a takeover uses."""

    def __init__(self, bodies: Mapping[str, Mapping[str, Any]]) -> None:
        """Starts with these objects."""
        self._stored = {
            name: Stored(ring.SLOT_KIND, name, '1', body)
            for name, body in bodies.items()
        }

    def list(self, kind: str, prefix: str = '') -> Listing:
        """Returns all objects."""
        return Listing(tuple(self._stored.values()), '1')

    def update(
        self,
        kind: str,
        name: str,
        body: Mapping[str, Any],
        version: str,
    ) -> Stored:
        """Accepts the write without keeping it."""
        return Stored(kind, name, '2', body)


def main() -> None:
    """Prints one line a log length."""
    _say('programs  records  slots  stored MB  takeover ms  us/record')
    for programs in PROGRAMS:
        made = list(_log(programs))
        batches = list(split_batches(made))
        store = MemoryStore(_bodies(batches))
        took_s = min(_measure(store) for _ in range(ROUNDS))
        stored = sum(len(rec.encode_batch(batch)) for batch in batches)
        _say(
            f'{programs:8}  {len(made):7}  {len(batches):5}  '
            f'{stored / BYTES_PER_MB:9.2f}  {took_s * 1e3:11.1f}  '
            f'{took_s / len(made) * 1e6:9.1f}'
        )


def _measure(store: Any) -> float:
    options = TakeoverOptions(ring_size=RING_SIZE)
    begun_s = time.perf_counter()
    take_over(store, LOG, 'heir', options=options)
    return time.perf_counter() - begun_s


def _log(programs: int) -> Iterator[rec.ProgramRecord]:
    """Yields the records of programs that take their turns in rotation."""
    rng = random.Random(SEED)
    states: dict[str, ProgramState] = {}
    for number in range(programs):
        name = f'p{number}'
        opened = rec.Opened(
            name, 0, b'', 'a', 'd', BYTES_PER_MB, '', 0, 1e6, TURNS
        )
        states[name] = apply(None, opened)
        yield opened
    for turn in range(TURNS):
        for name in tuple(states):
            for record in turn_records(states[name], turn + 1, rng):
                states[name] = apply(states[name], record)
                yield record


def turn_records(
    state: ProgramState,
    seq: int,
    rng: random.Random,
) -> tuple[rec.ProgramRecord, ...]:
    """Returns the records of a program's next call."""
    name = state.program_id
    spec = CallSpec(
        program_id=name,
        seq=seq,
        key=f'k{seq}',
        kind=CallKind.MODEL,
        target='m',
        operation='chat',
        idempotent=True,
        body={'text': _text(rng)},
        reserve=10,
    )
    decision = calls.decide_call(state, spec, 0)
    if not isinstance(decision, calls.Start):
        return ()
    begun = apply(state, decision.records[0])
    answer = Answer(name, seq, Outcome.RAN, 200, {'text': _text(rng)}, 5)
    return (*decision.records, calls.outcome_record(begun, seq, answer, 'e'))


def _text(rng: random.Random) -> str:
    return ' '.join(rng.choices(WORDS, k=DOCUMENT_BYTES // 8))


def _bodies(
    batches: list[tuple[rec.ProgramRecord, ...]],
) -> dict[str, ring.SlotBody]:
    bodies = {
        ring.slot_name(LOG, index): ring.empty_body(LOG, RING_SIZE)
        for index in range(RING_SIZE)
    }
    for number, batch in enumerate(batches):
        body = bodies[ring.slot_name(LOG, number)]
        body['number'] = number
        body['nonce'] = f'old#{number}'
        body['owner'] = 'old'
        body['data'] = ring.encode_data(rec.encode_batch(batch))
    return bodies


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()

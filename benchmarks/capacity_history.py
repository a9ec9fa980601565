"""Cost of the history of one program, by its turns."""

import json
import tracemalloc
from collections.abc import Iterator
from typing import NamedTuple

from benchmarks.capacity_configuration import timed
from benchmarks.capacity_feeder import Feeder
from benchmarks.capacity_series import Series
from cactusledge.programs.calls.prompt import history_messages, prompt_text
from cactusledge.protocol import records as rec
from cactusledge.protocol.state import ProgramState
from cactusledge.routing.prefix import prefix_chain

TURNS = (10, 43, 86)
TURN_BYTES = 10_700  # 86 of them are 230,000 tokens of 4 bytes
PROGRAM = 'p'
KB = 1000


class Row(NamedTuple):
    """Figures of one length, in the order of the header."""

    turns: int
    history_kb: float
    memory_kb: float
    stored_kb: float
    encode_ms: float
    decode_ms: float
    prompt_ms: float


def _measure(turns: int) -> Row:
    state, held_bytes = _grown(turns)
    snapshot = rec.ProgramSnapshot(PROGRAM, turns, state.digest, state)
    stored, encode_ms = timed(lambda: rec.encode_batch((snapshot,)))
    return Row(
        turns=turns,
        history_kb=len(_prompt(state)) / KB,
        memory_kb=held_bytes / KB,
        stored_kb=len(stored) / KB,
        encode_ms=encode_ms,
        decode_ms=timed(lambda: rec.decode_batch(stored))[1],
        prompt_ms=timed(lambda: _prompt(state))[1],
    )


def _grown(turns: int) -> tuple[ProgramState, int]:
    """Returns a program after its turns, and the memory that they took."""
    feeder = Feeder(TURN_BYTES)
    feeder.open(PROGRAM)
    tracemalloc.start()
    for _ in range(turns):
        feeder.turn(PROGRAM)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return feeder.states[PROGRAM], held_bytes


def _prompt(state: ProgramState) -> str:
    """Does what each model call does with the history."""
    messages = history_messages(state, '')
    text = prompt_text(messages)
    prefix_chain(text)
    json.dumps(messages)
    return text


def series() -> Iterator[Series]:
    """Measures histories by turns."""
    yield Series(
        'History of one program',
        (
            'turns',
            'history KB',
            'memory KB',
            'stored snapshot KB',
            'snapshot encode CPU ms',
            'snapshot decode CPU ms',
            'prompt of a call CPU ms',
        ),
        tuple(_measure(turns) for turns in TURNS),
        'Text of random words, which zstandard compresses. The last column is'
        ' paid for each model call: messages, prefix hashes and JSON.',
    )

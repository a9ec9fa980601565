"""Journal records of programs that take their turns."""

import random

from cactusledge.models import Answer, CallKind, CallSpec, Outcome
from cactusledge.protocol import calls
from cactusledge.protocol import records as rec
from cactusledge.protocol.program import apply, apply_all
from cactusledge.protocol.state import ProgramState

SEED = 3
BYTES_PER_WORD = 9
WORDS = tuple(f'word{number}' for number in range(2000))
OPENED = rec.Opened(
    program_id='',
    seq=0,
    prev=b'',
    account='account',
    definition='definition',
    budget=1_000_000_000,
    parent='',
    opened_at_s=0,
    time_limit_s=1e12,
    turn_limit=1_000_000,
)


class Feeder:
    """Makes the records of programs that take their turns in rotation."""

    def __init__(self, size_bytes: int) -> None:
        """Starts without programs; documents have this size together."""
        self._random = random.Random(SEED)
        self._size_bytes = size_bytes
        self.states: dict[str, ProgramState] = {}

    def open(self, name: str) -> tuple[rec.ProgramRecord, ...]:
        """Returns the record that opens a program."""
        opened = OPENED._replace(program_id=name)
        self.states[name] = apply(None, opened)
        return (opened,)

    def turn(self, name: str) -> tuple[rec.ProgramRecord, ...]:
        """Returns the records of a program's next call."""
        state = self.states[name]
        spec = self._spec(state)
        decision = calls.decide_call(state, spec, 0)
        if not isinstance(decision, calls.Start):
            raise TypeError(decision)
        begun = apply_all(state, decision.records)
        if begun is None:
            raise LookupError(name)
        answer = Answer(name, spec.seq, Outcome.RAN, 200, self._text(), 5)
        outcome = calls.outcome_record(begun, spec.seq, answer, 'engine')
        self.states[name] = apply(begun, outcome)
        return (*decision.records, outcome)

    def _spec(self, state: ProgramState) -> CallSpec:
        seq = len(state.calls) + 1
        content = self._text()['text']
        return CallSpec(
            program_id=state.program_id,
            seq=seq,
            key=f'k{seq}',
            kind=CallKind.MODEL,
            target='m',
            operation='chat',
            idempotent=True,
            body={'messages': [{'role': 'user', 'content': content}]},
            reserve=10,
        )

    def _text(self) -> dict[str, str]:
        count = self._size_bytes // 2 // BYTES_PER_WORD
        return {'text': ' '.join(self._random.choices(WORDS, k=count))}

"""Programs of the two users, drawn from fixed seeds."""

import random
from typing import NamedTuple

from cactusledge.routing.prefix import CHUNK_TOKENS
from cactusledge.routing.types import EngineLimits

OWNER_SHIFT = 12  # bits of a chunk's index below its program's number
STEP_BASE_S = 0.02  # of a decode step
STEP_SLOT_S = 0.0003  # more for each sequence in the batch
DEADLINE_FACTOR = 3.0  # of the unobstructed chain
DEADLINE_BASE_S = 5.0


class Kind(NamedTuple):
    """A definition whose programs share a common prompt."""

    name: str
    account: str
    common_chunks: int
    first_tokens: tuple[int, int]
    turns: tuple[int, int]
    output_tokens: tuple[int, int]
    tool_tokens: tuple[int, int]
    pauses_s: tuple[tuple[float, float], ...]  # one range for each tool


class Turn(NamedTuple):
    """One model call and the pause after it."""

    prompt_tokens: int
    output_tokens: int
    pause_s: float
    pause_estimate_s: float


class Program(NamedTuple):
    """A program with its whole shape, which no policy sees."""

    number: int
    kind: Kind
    data_centre: str
    arrives_s: float
    turns: tuple[Turn, ...]
    chain_s: float  # with nothing in the way
    mean_turn_s: float

    @property
    def program_id(self) -> str:
        """Name of the program."""
        return f'p{self.number}'

    @property
    def deadline_s(self) -> float:
        """Time at which the caller gives the program up."""
        allowed_s = DEADLINE_FACTOR * self.chain_s + DEADLINE_BASE_S
        return self.arrives_s + allowed_s

    def chain(self, tokens: int) -> tuple[int, ...]:
        """Returns the chunk hashes of the first tokens of the history."""
        chunks = tokens // CHUNK_TOKENS
        common = min(chunks, self.kind.common_chunks)
        base = -(sum(self.kind.name.encode()) << OWNER_SHIFT)
        own = self.number << OWNER_SHIFT
        return (
            *(base - index - 1 for index in range(common)),
            *(own + index for index in range(common, chunks)),
        )


class User(NamedTuple):
    """One user's engines and kinds of programs."""

    name: str
    engines: tuple[str, ...]  # the data centre of each engine
    limits: EngineLimits
    kinds: tuple[Kind, ...]
    hot: Kind
    cache_weight: float


SHORT_TOOL = (0.2, 1.0)
LONG_TOOL = (0.5, 4.0)
PAUSING = ((0.1, 1.0), (1.0, 10.0), (10.0, 60.0))
ITINERARY = Kind(
    'itinerary', 'makers', 6, (400, 1500), (3, 8), (60, 240), (150, 700),
    (SHORT_TOOL, LONG_TOOL),
)  # fmt: skip
NEGOTIATE = Kind(
    'negotiate', 'buyers', 8, (600, 2500), (4, 10), (60, 240), (150, 900),
    (SHORT_TOOL, LONG_TOOL),
)  # fmt: skip
REMIND = Kind(
    'remind', 'pings', 4, (200, 800), (2, 4), (30, 120), (100, 300),
    (SHORT_TOOL,),
)  # fmt: skip
RECONCILE = Kind(
    'reconcile', 'settlement', 8, (6000, 20000), (3, 8), (60, 240),
    (200, 1500), (SHORT_TOOL, LONG_TOOL),
)  # fmt: skip
DISPUTE = Kind(
    'dispute', 'clerks', 8, (3000, 9000), (4, 9), (60, 240), (200, 900),
    (SHORT_TOOL, LONG_TOOL),
)  # fmt: skip
KIOSK = Kind(
    'kiosk', 'kiosks', 4, (1000, 4000), (2, 4), (40, 160), (100, 400),
    (SHORT_TOOL,),
)  # fmt: skip
FORMOSA = User(
    name='Formosa',
    engines=('tw-1', 'tw-1', 'tw-2', 'tw-2', 'tw-3', 'tw-4'),
    limits=EngineLimits(16, 160_000, 8000.0, 49.0),
    kinds=(ITINERARY, NEGOTIATE, REMIND),
    hot=NEGOTIATE._replace(name='story', account='story', common_chunks=24),
    cache_weight=1.0,
)
GEBETA = User(
    name='Gebeta',
    engines=('bole', 'bole', 'bole', 'kirkos', 'kirkos', 'yeka', 'yeka'),
    limits=EngineLimits(16, 400_000, 8000.0, 49.0),
    kinds=(RECONCILE, DISPUTE, KIOSK),
    hot=DISPUTE._replace(name='story', account='story', common_chunks=24),
    cache_weight=2.0,
)


def decode_s(output_tokens: int, batch: int = 1) -> float:
    """Returns the time to generate tokens in a batch of a size."""
    return output_tokens * (STEP_BASE_S + STEP_SLOT_S * batch)


def draw(
    number: int,
    kind: Kind,
    data_centre: str,
    arrives_s: float,
    limits: EngineLimits,
) -> Program:
    """Returns a program drawn from its own seed."""
    rng = random.Random(f'{number}/{kind.name}')
    fresh = rng.randint(*kind.first_tokens)
    tokens = kind.common_chunks * CHUNK_TOKENS + fresh
    chain_s: float = 0
    turns: list[Turn] = []
    count = rng.randint(*kind.turns)
    while len(turns) < count:
        turn = _draw_turn(rng, kind, tokens, last=len(turns) == count - 1)
        turns.append(turn)
        chain_s += fresh / limits.prefill_tokens_s
        chain_s += decode_s(turn.output_tokens) + turn.pause_s
        fresh = rng.randint(*kind.tool_tokens)
        tokens += turn.output_tokens + fresh
    return Program(
        number=number,
        kind=kind,
        data_centre=data_centre,
        arrives_s=arrives_s,
        turns=tuple(turns),
        chain_s=chain_s,
        mean_turn_s=mean_turn_s(kind),
    )


def mean_turn_s(kind: Kind) -> float:
    """Returns the mean time of a turn and its pause, with nothing else."""
    pauses_s = sum(map(sum, kind.pauses_s)) / 2
    output_tokens = sum(kind.output_tokens) // 2
    return decode_s(output_tokens) + pauses_s / len(kind.pauses_s)


def _draw_turn(
    rng: random.Random, kind: Kind, tokens: int, *, last: bool
) -> Turn:
    tool = rng.choice(kind.pauses_s)
    pause_s = 0 if last else rng.uniform(*tool)
    return Turn(
        tokens, rng.randint(*kind.output_tokens), pause_s, sum(tool) / 2
    )


def engine_seconds(program: Program, limits: EngineLimits) -> float:
    """Returns the engine time of a program with warm cache and full batch."""
    common = program.kind.common_chunks * CHUNK_TOKENS
    prompt = program.turns[-1].prompt_tokens - common
    outputs = [turn.output_tokens for turn in program.turns]
    prefill = prompt - sum(outputs[:-1])
    decode = decode_s(sum(outputs), limits.max_batch) / limits.max_batch
    return prefill / limits.prefill_tokens_s + decode


def mean_engine_seconds(kinds: tuple[Kind, ...], limits: EngineLimits) -> float:
    """Returns the mean engine time of programs of the kinds."""
    sample = [
        draw(number, kinds[number % len(kinds)], '', 0, limits)
        for number in range(300)
    ]
    return sum(engine_seconds(item, limits) for item in sample) / len(sample)

"""Learns how fast the engines of a service read prompts.

The wait for the first event grows with the tokens that an engine has to read.
The slope of that growth is the time to read one token; what else a turn waits
for does not change it.
"""

from typing import NamedTuple

USUAL_TOKENS_PER_MS = 160.0  # until something is learnt
MAX_FACTOR = 6.0  # by which the learnt speed may differ from the usual
KEPT_SHARE = 0.98  # of what earlier turns showed, with each new one
PRIOR_TOKENS = 5000.0  # spread of prompts at which half of the slope is learnt
LONGEST_WAIT_MS = 400.0  # for a first event; more is a stall


class Reading(NamedTuple):
    """A turn that an engine has begun to read."""

    tokens: int  # of its prompt that the engine has not kept
    sent_s: float  # loop clock
    has_room: bool  # the engine had a free slot


class ReadingSpeed:
    """Prompt tokens that an engine of one service reads in a millisecond."""

    def __init__(self) -> None:
        """Starts with nothing known."""
        self._turns = float(0)
        self._tokens = float(0)
        self._waits = float(0)
        self._squares = float(0)  # of the tokens
        self._products = float(0)  # of tokens and waits

    @property
    def tokens_per_ms(self) -> float:
        """The speed to expect; the usual one if nothing is known."""
        usual_ms = 1 / USUAL_TOKENS_PER_MS
        turns = max(1, self._turns)
        spread = self._squares - self._tokens**2 / turns
        growth = self._products - self._tokens * self._waits / turns
        prior = PRIOR_TOKENS**2
        token_ms = (growth + prior * usual_ms) / (spread + prior)
        token_ms = min(token_ms, usual_ms * MAX_FACTOR)
        return 1 / max(token_ms, usual_ms / MAX_FACTOR)

    def add(self, reading: Reading, first_s: float) -> None:
        """Adds a turn by the time of its first event."""
        if not reading.has_room:
            return
        wait_ms = min((first_s - reading.sent_s) * 1000, LONGEST_WAIT_MS)
        tokens = reading.tokens
        self._turns = KEPT_SHARE * self._turns + 1
        self._tokens = KEPT_SHARE * self._tokens + tokens
        self._waits = KEPT_SHARE * self._waits + wait_ms
        self._squares = KEPT_SHARE * self._squares + tokens**2
        self._products = KEPT_SHARE * self._products + tokens * wait_ms

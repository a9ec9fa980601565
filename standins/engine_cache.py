"""Prefix cache of the engine stand-in: chunk hashes, LRU, token limit."""

import time
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

CHUNK_TOKENS = 16
EVENTS_KEPT = 10_000


class CacheEvent(NamedTuple):
    """A change of the cache, numbered without gaps when it happens."""

    seq: int
    type: str  # stored, removed
    chunk: str
    program: str
    at_s: float


class CacheSettings(NamedTuple):
    """Limits of the cache and the faults of its events."""

    capacity_tokens: int = 100_000
    event_delay_s: float = 0
    event_loss_every: int = 0  # each n-th event is never published


class PrefixCache:
    """Chunks of prompts by chained hash, each with the programs that use it.

    Not thread-safe: the engine's lock guards it.
    """

    def __init__(self, cfg: CacheSettings) -> None:
        """Starts empty."""
        self._cfg = cfg
        self._chunks: OrderedDict[str, set[str]] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=EVENTS_KEPT)
        self._seq = 0

    @property
    def tokens(self) -> int:
        """Tokens that the cache holds."""
        return len(self._chunks) * CHUNK_TOKENS

    def lookup(self, words: Sequence[str]) -> int:
        """Returns how many leading tokens are cached."""
        found = 0
        for chunk in chunk_hashes(words):
            if chunk not in self._chunks:
                break
            self._chunks.move_to_end(chunk)
            found += CHUNK_TOKENS
        return found

    def store(self, words: Sequence[str], program: str) -> None:
        """Keeps the whole chunks of a text for a program."""
        self.import_chunks(chunk_hashes(words), program)

    def import_chunks(self, chunks: Iterable[str], program: str) -> None:
        """Keeps chunks that another engine computed."""
        for chunk in chunks:
            if chunk not in self._chunks:
                self._chunks[chunk] = set()
                self._publish('stored', chunk, program)
            self._chunks[chunk].add(program)
            self._chunks.move_to_end(chunk)
        self._evict()

    def export_chunks(self, program: str) -> list[str]:
        """Returns the chunks that a program uses, oldest use first."""
        return [
            chunk
            for chunk, programs in self._chunks.items()
            if program in programs
        ]

    def release(self, program: str) -> int:
        """Frees what only this program uses; returns the freed tokens."""
        freed = 0
        for chunk in self.export_chunks(program):
            users = self._chunks[chunk]
            users.discard(program)
            if not users:
                self._remove(chunk, program)
                freed += CHUNK_TOKENS
        return freed

    def held(self) -> dict[str, int]:
        """Returns the cached tokens by program."""
        held: dict[str, int] = {}
        for programs in self._chunks.values():
            for program in programs:
                held[program] = held.get(program, 0) + CHUNK_TOKENS
        return held

    def events(self, after: int) -> list[CacheEvent]:
        """Returns the published events that follow a sequence number."""
        ripe_s = time.monotonic() - self._cfg.event_delay_s
        return [
            event
            for event in self._events
            if event.seq > after and event.at_s <= ripe_s
        ]

    def _evict(self) -> None:
        while self.tokens > self._cfg.capacity_tokens:
            chunk = next(iter(self._chunks))
            self._remove(chunk, '')

    def _remove(self, chunk: str, program: str) -> None:
        self._chunks.pop(chunk)
        self._publish('removed', chunk, program)

    def _publish(self, kind: str, chunk: str, program: str) -> None:
        self._seq += 1
        every = self._cfg.event_loss_every
        if every and self._seq % every == 0:
            return
        now_s = time.monotonic()
        event = CacheEvent(self._seq, kind, chunk, program, now_s)
        self._events.append(event)


def chunk_hashes(words: Sequence[str]) -> list[str]:
    """Returns the chained hashes of the whole chunks of a text."""
    hashes: list[str] = []
    previous = ''
    for start in range(0, len(words) - CHUNK_TOKENS + 1, CHUNK_TOKENS):
        text = ' '.join(words[start : start + CHUNK_TOKENS])
        previous = xxhash.xxh64_hexdigest(f'{previous} {text}'.encode())
        hashes.append(previous)
    return hashes

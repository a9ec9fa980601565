"""Belief about which prefix chunks each engine holds."""

import bisect
import math
from collections import OrderedDict
from collections.abc import Sequence

from cactusledge.routing.prefix import CHUNK_TOKENS
from cactusledge.routing.types import CacheEvent


class EngineCache:
    """Least recently used order of the chunks that one engine should hold."""

    def __init__(self, kv_tokens: int) -> None:
        """Starts empty, with room for the engine's memory."""
        self.capacity = kv_tokens // CHUNK_TOKENS
        self.chunks: OrderedDict[int, float] = OrderedDict()
        self.sequence = 0
        self.gaps = 0

    def matching_chunks(self, prefix: Sequence[int]) -> int:
        """Returns how many leading chunks of the prefix are held.

        A chunk is only held together with all chunks before it, so the
        boundary is found by bisection.
        """
        return bisect.bisect_left(
            prefix, True, key=lambda chunk: chunk not in self.chunks
        )

    def add(self, prefix: Sequence[int], now: float) -> None:
        """Marks the chunks as used; the end of a chain is evicted first."""
        for chunk in reversed(prefix):
            self.chunks[chunk] = now
            self.chunks.move_to_end(chunk)
        while len(self.chunks) > self.capacity:
            self.chunks.popitem(last=False)

    def discard(self, chunks: Sequence[int], before_s: float) -> None:
        """Drops chunks, but for those that were used after a time."""
        for chunk in chunks:
            if self.chunks.get(chunk, before_s) < before_s:
                self.chunks.pop(chunk)


class CacheMap:
    """Belief for all engines of a group, corrected by answers and events."""

    def __init__(self) -> None:
        """Starts without engines."""
        self._engines: dict[str, EngineCache] = {}

    def add_engine(self, engine: str, kv_tokens: int) -> None:
        """Starts an engine with an empty cache."""
        self._engines[engine] = EngineCache(kv_tokens)

    def remove_engine(self, engine: str) -> None:
        """Forgets an engine that left or was replaced."""
        self._engines.pop(engine, None)

    def cached_tokens(self, engine: str, prefix: Sequence[int]) -> int:
        """Returns the tokens of the prefix that the engine should hold."""
        return self._engines[engine].matching_chunks(prefix) * CHUNK_TOKENS

    def record_prompt(
        self, engine: str, prefix: Sequence[int], now: float
    ) -> None:
        """Records that a prompt is computed on an engine."""
        cache = self._engines.get(engine)
        if cache is not None:
            cache.add(prefix, now)

    def correct_estimate(self, engine: str, expected: int, actual: int) -> None:
        """Takes in how many tokens of a prompt an engine had cached.

        An engine that held less than believed has evicted under pressure, so
        as many of the least recently used chunks are taken to be gone.
        """
        cache = self._engines.get(engine)
        if cache is None:
            return
        excess = max(0, expected - actual) // CHUNK_TOKENS
        for _ in range(min(excess, len(cache.chunks))):
            cache.chunks.popitem(last=False)

    def record_release(self, engine: str, chunks: Sequence[int]) -> None:
        """Records that an engine was told to free chunks."""
        cache = self._engines.get(engine)
        if cache is not None:
            cache.discard(chunks, math.inf)

    def apply_event(self, event: CacheEvent) -> bool:
        """Takes an event in; returns False when events before it are lost."""
        cache = self._engines.get(event.engine)
        if cache is None or event.sequence <= cache.sequence:
            return True
        contiguous = event.sequence == cache.sequence + 1
        cache.sequence = event.sequence
        cache.gaps += not contiguous
        cache.discard(event.removed, event.timestamp_s)
        cache.add(event.stored, event.timestamp_s)
        return contiguous

"""Estimate of which prefix chunks each engine has cached."""

import bisect
import math
from collections import OrderedDict
from collections.abc import Sequence

from cactusledge.routing.prefix import CHUNK_TOKENS
from cactusledge.routing.types import CacheEvent


class EngineCache:
    """LRU model of the prefix cache of one engine."""

    def __init__(self, kv_tokens: int) -> None:
        """Initializes an empty cache sized to the engine's KV memory."""
        self.capacity = kv_tokens // CHUNK_TOKENS
        self.chunks: OrderedDict[int, float] = OrderedDict()
        self.sequence = 0
        self.gaps = 0

    def matching_chunks(self, prefix: Sequence[int]) -> int:
        """Returns how many leading chunks of the prefix are cached.

        A chunk is cached only together with all chunks before it, so
        bisection finds the boundary.
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
        """Removes the chunks that were last used before `before_s`."""
        for chunk in chunks:
            if self.chunks.get(chunk, before_s) < before_s:
                self.chunks.pop(chunk)


class CacheMap:
    """Cache estimates of a group, corrected by usage data and cache events."""

    def __init__(self) -> None:
        """Initializes the map without engines."""
        self._engines: dict[str, EngineCache] = {}

    def add_engine(self, engine: str, kv_tokens: int) -> None:
        """Adds an engine with an empty cache."""
        self._engines[engine] = EngineCache(kv_tokens)

    def remove_engine(self, engine: str) -> None:
        """Removes an engine that left or was replaced."""
        self._engines.pop(engine, None)

    def cached_tokens(self, engine: str, prefix: Sequence[int]) -> int:
        """Returns how many tokens of the prefix should be cached."""
        return self._engines[engine].matching_chunks(prefix) * CHUNK_TOKENS

    def record_prompt(
        self, engine: str, prefix: Sequence[int], now: float
    ) -> None:
        """Records that an engine computes a prompt with this prefix."""
        cache = self._engines.get(engine)
        if cache is not None:
            cache.add(prefix, now)

    def correct_estimate(self, engine: str, expected: int, actual: int) -> None:
        """Corrects the estimate by how many tokens an engine had cached.

        An engine that had fewer than expected has evicted chunks under
        memory pressure, so as many of the least recently used chunks are
        assumed to be evicted.
        """
        cache = self._engines.get(engine)
        if cache is None:
            return
        excess = max(0, expected - actual) // CHUNK_TOKENS
        for _ in range(min(excess, len(cache.chunks))):
            cache.chunks.popitem(last=False)

    def record_release(self, engine: str, chunks: Sequence[int]) -> None:
        """Records that an engine was asked to free chunks."""
        cache = self._engines.get(engine)
        if cache is not None:
            cache.discard(chunks, math.inf)

    def apply_event(self, event: CacheEvent) -> bool:
        """Applies an event; returns False if events before it are missing."""
        cache = self._engines.get(event.engine)
        if cache is None or event.sequence <= cache.sequence:
            return True
        contiguous = event.sequence == cache.sequence + 1
        cache.sequence = event.sequence
        cache.gaps += not contiguous
        cache.discard(event.removed, event.timestamp_s)
        cache.add(event.stored, event.timestamp_s)
        return contiguous

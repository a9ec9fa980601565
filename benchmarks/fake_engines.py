"""Fake engine: continuous batching, prefix cache, first-come admission."""

import heapq
import math
from collections import OrderedDict, deque
from typing import NamedTuple

from benchmarks.workloads import OWNER_SHIFT, STEP_BASE_S, STEP_SLOT_S
from cactusledge.models import Usage
from cactusledge.routing.prefix import CHUNK_TOKENS
from cactusledge.routing.types import EngineLimits

PREFILL_SHARE = 0.7  # of the engine, while it prefills and decodes
EPSILON = 1e-9


class FakeCall(NamedTuple):
    """A request as an engine gets it."""

    call_id: str
    prefix: tuple[int, ...]
    full_chain: tuple[int, ...]  # of the prompt and the answer
    prompt_tokens: int
    output_tokens: int


class PrefixCache:
    """Chunks in least recently used order, with their owners."""

    def __init__(self, capacity: int, ever: set[int]) -> None:
        """Starts empty; `ever` collects the chunks that any engine had."""
        self.capacity = capacity
        self.ever = ever
        self.perfect = False  # holds what any engine ever had
        self.chunks: OrderedDict[int, None] = OrderedDict()
        self.owned: dict[int, set[int]] = {}
        self.ended: set[int] = set()
        self.held_for_ended = 0  # chunks
        self.stored_log: list[int] = []
        self.removed_log: list[int] = []

    def matched(self, prefix: tuple[int, ...]) -> int:
        """Returns how many leading chunks are held."""
        held = self.ever if self.perfect else self.chunks
        for index, chunk in enumerate(prefix):
            if chunk not in held:
                return index
        return len(prefix)

    def store(self, prefix: tuple[int, ...], reserved: int) -> None:
        """Adds chunks as the most recently used ones."""
        for chunk in reversed(prefix):
            if chunk not in self.chunks:
                self._add(chunk)
            self.chunks.move_to_end(chunk)
        while len(self.chunks) > self.capacity - reserved:
            self._drop(next(iter(self.chunks)))

    def release(self, owner: int) -> None:
        """Drops the chunks of a program."""
        for chunk in list(self.owned.get(owner, ())):
            self._drop(chunk)

    def end(self, owner: int) -> None:
        """Notes that a program has ended."""
        if owner not in self.ended:
            self.ended.add(owner)
            self.held_for_ended += len(self.owned.get(owner, ()))

    def _add(self, chunk: int) -> None:
        self.chunks[chunk] = None
        self.ever.add(chunk)
        self.stored_log.append(chunk)
        owner = chunk >> OWNER_SHIFT
        if owner >= 0:
            self.owned.setdefault(owner, set()).add(chunk)
            self.held_for_ended += owner in self.ended

    def _drop(self, chunk: int) -> None:
        self.chunks.pop(chunk)
        self.removed_log.append(chunk)
        owner = chunk >> OWNER_SHIFT
        if owner >= 0:
            self.owned[owner].discard(chunk)
            self.held_for_ended -= owner in self.ended


class Counters:
    """What one engine did."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.reusable = 0  # prompt tokens that some engine had before
        self.recomputed = 0  # of these, tokens that were computed again
        self.held_token_s: float = 0  # for ended programs


class FakeEngine:
    """Engine whose rates are constant between its events."""

    def __init__(
        self, name: str, data_centre: str, limits: EngineLimits, ever: set[int]
    ) -> None:
        """Starts idle with an empty cache."""
        self.name = name
        self.data_centre = data_centre
        self.limits = limits
        self.speed = 1.0
        self.down = False
        self.counters = Counters()
        self.cache = PrefixCache(limits.kv_tokens // CHUNK_TOKENS, ever)
        self.waiting: deque[FakeCall] = deque()
        self.batch: dict[str, FakeCall] = {}
        self.cached: dict[str, int] = {}
        self._prefills: deque[FakeCall] = deque()
        self._left: float = 0  # prefill tokens of the first of them
        self._decodes: list[tuple[float, str]] = []
        self._decoded: float = 0  # tokens of each sequence since the start
        self._now_s: float = 0
        self._memory = 0

    def submit(self, call: FakeCall, now: float) -> None:
        """Takes a request in arrival order."""
        self.advance(now)
        self.waiting.append(call)
        self._admit()

    def cancel(self, call_id: str, now: float) -> None:
        """Drops a request."""
        self.advance(now)
        self.waiting = deque(
            call for call in self.waiting if call.call_id != call_id
        )
        if call_id in self.batch:
            self._remove(call_id)
        self._admit()

    def fail_all(self, now: float) -> list[str]:
        """Drops all requests and returns their names."""
        self.advance(now)
        names = [*self.batch, *(call.call_id for call in self.waiting)]
        self.waiting.clear()
        for name in list(self.batch):
            self._remove(name)
        return names

    def advance(self, now: float) -> None:
        """Moves the fluid state to a time before the next event."""
        spent_s = now - self._now_s
        self._now_s = now
        prefill_rate, decode_rate = self._rates()
        self._left -= prefill_rate * spent_s
        self._decoded += decode_rate * spent_s
        held = self.cache.held_for_ended * CHUNK_TOKENS
        self.counters.held_token_s += held * spent_s

    def next_event_s(self) -> float:
        """Returns when a prefill or an answer will be complete."""
        prefill_rate, decode_rate = self._rates()
        until_s = math.inf
        if self._prefills:
            until_s = max(0, self._left) / prefill_rate
        if self._decodes:
            left = max(0, self._decodes[0][0] - self._decoded)
            until_s = min(until_s, left / decode_rate)
        return self._now_s + until_s

    def collect(self, now: float) -> list[tuple[FakeCall, Usage]]:
        """Returns the answers that are complete now."""
        self.advance(now)
        if self._prefills and self._left <= EPSILON:
            self._end_prefill()
        finished = []
        while self._decodes and self._decodes[0][0] <= self._decoded + EPSILON:
            call = self.batch[self._decodes[0][1]]
            usage = Usage(
                call.prompt_tokens, self.cached[call.call_id],
                call.output_tokens,
            )  # fmt: skip
            self._remove(call.call_id)
            self.cache.store(call.full_chain, self._reserved())
            finished.append((call, usage))
        self._admit()
        return finished

    def _rates(self) -> tuple[float, float]:
        count = len(self._decodes)
        decode = self.speed / (STEP_BASE_S + STEP_SLOT_S * count)
        prefill = self.speed * self.limits.prefill_tokens_s
        if not self._prefills:
            return 0, decode
        if not count:
            return prefill, 0
        return prefill * PREFILL_SHARE, decode * (1 - PREFILL_SHARE)

    def _reserved(self) -> int:
        tokens = sum(call.output_tokens for call in self.batch.values())
        return tokens // CHUNK_TOKENS

    def _admit(self) -> None:
        while self.waiting and len(self.batch) < self.limits.max_batch:
            call = self.waiting[0]
            needed = call.prompt_tokens + call.output_tokens
            if self.batch and self._memory + needed > self.limits.kv_tokens:
                return
            self.waiting.popleft()
            self.batch[call.call_id] = call
            self._memory += needed
            self._prefills.append(call)
            if len(self._prefills) == 1:
                self._start_prefill()

    def _start_prefill(self) -> None:
        if not self._prefills:
            return
        call = self._prefills[0]
        held = self.cache.matched(call.prefix)
        known = sum(chunk in self.cache.ever for chunk in call.prefix)
        self.counters.reusable += known * CHUNK_TOKENS
        self.counters.recomputed += max(0, known - held) * CHUNK_TOKENS
        self.cached[call.call_id] = held * CHUNK_TOKENS
        self.cache.store(call.prefix[:held], self._reserved())
        self._left = call.prompt_tokens - held * CHUNK_TOKENS

    def _end_prefill(self) -> None:
        call = self._prefills.popleft()
        self.cache.store(call.prefix, self._reserved())
        target = self._decoded + call.output_tokens
        heapq.heappush(self._decodes, (target, call.call_id))
        self._start_prefill()

    def _remove(self, call_id: str) -> None:
        call = self.batch.pop(call_id)
        self._memory -= call.prompt_tokens + call.output_tokens
        self._decodes = [item for item in self._decodes if item[1] != call_id]
        heapq.heapify(self._decodes)
        first = bool(self._prefills) and self._prefills[0] is call
        if call in self._prefills:
            self._prefills.remove(call)
        if first:
            self._start_prefill()

"""Continuous batching of the engine stand-in."""

import threading
import time
from collections import OrderedDict, deque
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

import xxhash

from standins.engine_cache import CacheSettings, PrefixCache

FINISHED_KEPT = 2048
IDLE_WAIT_S = 0.5
DEFAULT_OUTPUT_TOKENS = 16


class BatchSettings(NamedTuple):
    """Speed and limits of the engine."""

    max_running: int = 16
    token_s: float = 0.001  # one step of a batch of one
    batch_token_s: float = 0.0001  # added to a step for each further stream
    prefill_token_s: float = 0.00002  # one token of the prompt, not cached


class Job(NamedTuple):
    """A request as the engine runs it."""

    request_id: str
    program: str
    seq: str
    words: Sequence[str]
    max_tokens: int
    slow_factor: float = 1
    traceparent: str = ''


class Stream:
    """The output of one job; `Batch.lock` guards it."""

    def __init__(self, job: Job) -> None:
        """Starts without tokens."""
        self.job = job
        self.digest = prompt_digest(job.words)
        self.cached_tokens = 0
        self.produced = 0
        self.ready_s: float | None = None
        self.reason = ''  # why it ended, '' while it runs
        self.changed: threading.Condition

    def text_of(self, index: int) -> str:
        """Returns the text of an output token; a function of the prompt."""
        word = xxhash.xxh32_hexdigest(f'{self.digest}/{index}'.encode())
        return word if index == 0 else f' {word}'

    def usage(self) -> dict[str, Any]:
        """Returns the usage in the usual shape."""
        return {
            'prompt_tokens': len(self.job.words),
            'completion_tokens': self.produced,
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }


class Load(NamedTuple):
    """What the engine reports about its load."""

    running: int
    waiting: int
    memory_tokens: int
    capacity_tokens: int


class Batch:
    """Admits jobs first come, first served and gives each a token a step."""

    def __init__(self, cfg: BatchSettings, cache_cfg: CacheSettings) -> None:
        """Starts idle; `start` runs the steps in a thread."""
        self.lock = threading.RLock()
        self.cache = PrefixCache(cache_cfg)
        self._cfg = cfg
        self._capacity_tokens = cache_cfg.capacity_tokens
        self._waiting: deque[Stream] = deque()
        self._running: list[Stream] = []
        self._streams: OrderedDict[str, Stream] = OrderedDict()
        self._work = threading.Condition(self.lock)
        self._stopped = False

    def start(self) -> None:
        """Runs the steps until `stop`."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Ends the steps and wakes all readers."""
        with self.lock:
            self._stopped = True
            for stream in (*self._running, *self._waiting):
                self._end(stream, 'stopped')
            self._work.notify_all()

    def submit(self, job: Job) -> Stream:
        """Queues a job and returns its stream."""
        with self.lock:
            stream = Stream(job)
            stream.changed = threading.Condition(self.lock)
            self._streams[job.request_id] = stream
            self._forget_finished()
            self._waiting.append(stream)
            self._work.notify()
        return stream

    def find(self, request_id: str) -> Stream | None:
        """Returns the stream of a request that it still remembers."""
        with self.lock:
            return self._streams.get(request_id)

    def cancel(self, request_id: str) -> bool:
        """Ends a stream; returns whether it was still running."""
        with self.lock:
            stream = self._streams.get(request_id)
            running = stream is not None and not stream.reason
            if stream is not None and running:
                self._end(stream, 'cancelled')
                self._running = [one for one in self._running if one != stream]
        return running

    def load(self) -> Load:
        """Returns the load of this moment."""
        with self.lock:
            waiting = sum(1 for stream in self._waiting if not stream.reason)
            return Load(
                running=len(self._running),
                waiting=waiting,
                memory_tokens=self.cache.tokens,
                capacity_tokens=self._capacity_tokens,
            )

    def follow(self, stream: Stream, offset: int) -> Iterator[list[int]]:
        """Yields the indexes of the tokens from an offset as they come."""
        sent = offset
        while True:
            with self.lock:
                while stream.produced <= sent and not stream.reason:
                    stream.changed.wait(IDLE_WAIT_S)
                upto, ended = stream.produced, bool(stream.reason)
            if upto > sent:
                yield list(range(sent, upto))
                sent = upto
            if ended:
                return

    def _run(self) -> None:
        while not self._stopped:
            with self.lock:
                self._admit()
                if not self._running:
                    self._work.wait(IDLE_WAIT_S)
                    continue
                pause_s = self._step_time()
            time.sleep(pause_s)
            with self.lock:
                self._step()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._cfg.max_running:
            stream = self._waiting.popleft()
            if not stream.reason:
                self._begin(stream)

    def _begin(self, stream: Stream) -> None:
        stream.cached_tokens = self.cache.lookup(stream.job.words)
        missing = len(stream.job.words) - stream.cached_tokens
        prefill_s = missing * self._cfg.prefill_token_s
        stream.ready_s = time.monotonic() + prefill_s
        self._running.append(stream)

    def _step_time(self) -> float:
        slowest = max(stream.job.slow_factor for stream in self._running)
        further = len(self._running) - 1
        step_s = self._cfg.token_s + further * self._cfg.batch_token_s
        return step_s * slowest

    def _step(self) -> None:
        now_s = time.monotonic()
        for stream in tuple(self._running):
            if stream.ready_s is not None and stream.ready_s <= now_s:
                self._produce(stream)
        self._running = [one for one in self._running if not one.reason]

    def _produce(self, stream: Stream) -> None:
        stream.produced += 1
        if stream.produced >= stream.job.max_tokens:
            self._keep_in_cache(stream)
            self._end(stream, 'stop')
        stream.changed.notify_all()

    def _keep_in_cache(self, stream: Stream) -> None:
        answer = [
            stream.text_of(index).strip() for index in range(stream.produced)
        ]
        self.cache.store([*stream.job.words, *answer], stream.job.program)

    def _end(self, stream: Stream, reason: str) -> None:
        stream.reason = reason
        stream.changed.notify_all()

    def _forget_finished(self) -> None:
        while len(self._streams) > FINISHED_KEPT:
            oldest = next(iter(self._streams))
            if not self._streams[oldest].reason:
                return
            self._streams.pop(oldest)


def prompt_digest(words: Sequence[str]) -> str:
    """Returns the digest of a prompt."""
    return xxhash.xxh64_hexdigest(' '.join(words).encode())

"""Calls that peers have forwarded to this instance."""

import threading
import time
from collections import OrderedDict
from typing import NamedTuple

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.peers.messages import EventBatch
from cactusledge.programs.calls.stream import CallStream
from cactusledge.programs.peers.remote import encode_event

MAX_CALLS = 4096
RETENTION_S = 120.0
MS_PER_S = 1000


class UnknownCallError(CactusledgeError):
    """This instance has no forwarded call with the given id."""

    code = ErrorCode.NOT_FOUND


class _ForwardedCall(NamedTuple):
    stream: CallStream
    received_s: float


class ForwardedCalls:
    """Streams of forwarded calls by call id, retained for later polls."""

    def __init__(self) -> None:
        self._calls: OrderedDict[str, _ForwardedCall] = OrderedDict()
        self._lock = threading.Lock()

    def put(self, call_id: str, stream: CallStream) -> None:
        """Stores a call's stream, replacing one with the same id."""
        now_s = time.monotonic()
        with self._lock:
            self._calls[call_id] = _ForwardedCall(stream, now_s)
            self._calls.move_to_end(call_id)
            self._evict_old(now_s)

    def read(self, call_id: str, offset: int, wait_ms: int) -> EventBatch:
        """Returns the events from an offset on.

        Waits up to `wait_ms` for an event if there is none yet.
        """
        with self._lock:
            found = self._calls.get(call_id)
        if found is None:
            raise UnknownCallError(
                f'This instance has no forwarded call {call_id!r}.',
                remedy='Forward the call again.',
            )
        events = found.stream.read(offset, wait_ms / MS_PER_S)
        return EventBatch(
            events=tuple(
                encode_event(offset + index, event)
                for index, event in enumerate(events)
            ),
            next_offset=offset + len(events),
            finished=found.stream.finished,
        )

    def _evict_old(self, now_s: float) -> None:
        """Evicts expired finished calls, and the oldest above `MAX_CALLS`.

        Stops at the first call that must be kept, so a finished call stays
        as long as an older one does.
        """
        while self._calls:
            oldest = next(iter(self._calls.values()))
            is_expired = now_s - oldest.received_s > RETENTION_S
            may_evict = oldest.stream.finished and is_expired
            if not may_evict and len(self._calls) <= MAX_CALLS:
                return
            self._calls.popitem(last=False)

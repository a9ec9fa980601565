"""Ordered events of one running call, shared by everyone who waits for it."""

import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

from cactusledge.models import Answer

QUIET_INTERVAL_S = 1.0


class TextChunk(NamedTuple):
    """A piece of a streamed answer.

    `restart` tells the reader to forget the pieces before: the call went on
    at another endpoint from its beginning.
    """

    text: str
    restart: bool = False


CallEvent = TextChunk | Answer


class CallStream:
    """Append-only list of events that ends with exactly one `Answer`.

    Several readers may follow the same stream from any offset, so a repeat
    of a call joins the running one and a broken poll can be made again.
    """

    def __init__(self) -> None:
        """Starts without events."""
        self._events: list[CallEvent] = []
        self._changed = threading.Condition()
        self._finished = False

    def put_text(self, text: str) -> None:
        """Appends a piece of text; ignored once the answer is there."""
        self._put(TextChunk(text), is_last=False)

    def restart(self) -> None:
        """Has the readers forget the text so far."""
        self._put(TextChunk('', restart=True), is_last=False)

    def finish(self, answer: Answer) -> None:
        """Appends the final answer; only the first one counts."""
        self._put(answer, is_last=True)

    @property
    def finished(self) -> bool:
        """Whether the final answer is there."""
        return self._finished

    def read(self, offset: int, wait_s: float) -> list[CallEvent]:
        """Returns the events from `offset`, waiting for one if need be."""
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._events) > offset or self._finished,
                timeout=wait_s,
            )
            return self._events[offset:]

    def follow(self, deadline_s: float) -> Iterator[list[CallEvent]]:
        """Yields what came since the last batch, up to the answer.

        A batch is empty when nothing came for a quiet interval.

        Args:
            deadline_s: Monotonic time after which the iterator stops.
        """
        offset = 0
        while time.monotonic() < deadline_s:
            events = self.read(offset, QUIET_INTERVAL_S)
            offset += len(events)
            yield events
            if events and isinstance(events[-1], Answer):
                break

    def wait(self, timeout_s: float) -> Answer | None:
        """Returns the final answer, or None if it is not there in time."""
        with self._changed:
            self._changed.wait_for(lambda: self._finished, timeout=timeout_s)
            last = self._events[-1] if self._finished else None
        return last if isinstance(last, Answer) else None

    def _put(self, event: CallEvent, *, is_last: bool) -> None:
        with self._changed:
            if self._finished:
                return
            self._events.append(event)
            self._finished = is_last
            self._changed.notify_all()

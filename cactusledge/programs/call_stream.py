"""Ordered events of one running call, shared by everyone who waits for it."""

import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

from cactusledge.models import Answer, Outcome

IDLE_INTERVAL_S = 1.0


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
            remaining_s = max(0, deadline_s - time.monotonic())
            events = self.read(offset, min(remaining_s, IDLE_INTERVAL_S))
            offset += len(events)
            yield events
            if events and isinstance(events[-1], Answer):
                break

    def wait(self, timeout_s: float) -> Answer | None:
        """Returns the final answer, or None if it is not there in time."""
        deadline_s = time.monotonic() + timeout_s
        for events in self.follow(deadline_s):
            if events and isinstance(events[-1], Answer):
                return events[-1]
        return None

    def _put(self, event: CallEvent, *, is_last: bool) -> None:
        with self._changed:
            if self._finished:
                return
            self._events.append(event)
            self._finished = is_last
            self._changed.notify_all()


class JoinedStream(CallStream):
    """A running call as a later request for it sees it.

    That the call was given up tells the request that gave it up that nothing
    ran. A request that joined later cannot know whether the call has run
    through another instance meanwhile.
    """

    def __init__(self, joined: CallStream) -> None:
        """Follows another stream."""
        super().__init__()
        self._joined = joined

    @property
    def finished(self) -> bool:
        """Whether the final answer is there."""
        return self._joined.finished

    def read(self, offset: int, wait_s: float) -> list[CallEvent]:
        """Returns the events from `offset`, waiting for one if need be."""
        return [_joined(one) for one in self._joined.read(offset, wait_s)]


def _joined(event: CallEvent) -> CallEvent:
    if not isinstance(event, Answer) or event.outcome is not Outcome.NOT_RUN:
        return event
    return event._replace(
        outcome=Outcome.UNKNOWN,
        remedy='Repeat the call with the same seq and key to learn of it.',
    )

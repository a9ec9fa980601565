"""Event streams of running calls, shared by all requests for a call."""

import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

from cactusledge.models import Answer, Outcome

IDLE_INTERVAL_S = 1.0


class TextChunk(NamedTuple):
    """A piece of a streamed answer.

    `restart` tells the reader to discard the earlier pieces: the call was
    started again from its beginning at another endpoint or instance.
    """

    text: str
    restart: bool = False


CallEvent = TextChunk | Answer


class CallStream:
    """Append-only list of events that ends with exactly one `Answer`.

    Several readers may follow the same stream from any offset, so a repeated
    request joins the running call and an interrupted poll can be retried.
    """

    def __init__(self) -> None:
        """Creates an empty stream."""
        self._events: list[CallEvent] = []
        self._changed = threading.Condition()
        self._finished = False

    def put_text(self, text: str) -> None:
        """Appends a piece of text; ignored after the final answer."""
        self._put(TextChunk(text), is_last=False)

    def restart(self) -> None:
        """Tells the readers to discard the text received so far."""
        self._put(TextChunk('', restart=True), is_last=False)

    def finish(self, answer: Answer) -> None:
        """Appends the final answer; later ones are ignored."""
        self._put(answer, is_last=True)

    @property
    def finished(self) -> bool:
        """Whether the final answer has been appended."""
        return self._finished

    def read(self, offset: int, wait_s: float) -> list[CallEvent]:
        """Returns the events from `offset` on.

        Waits up to `wait_s` when there is none yet.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._events) > offset or self._finished,
                timeout=wait_s,
            )
            return self._events[offset:]

    def follow(self, deadline_s: float) -> Iterator[list[CallEvent]]:
        """Yields batches of new events, up to the final answer.

        A batch is empty when no event came within `IDLE_INTERVAL_S`.

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
        """Returns the final answer, or None after the timeout."""
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
    """The stream of a running call for a request that joined it.

    When the call is abandoned, the outcome NOT_RUN holds only for the request
    that started it. For a joined request the outcome is UNKNOWN, since the
    call may have run through another instance in the meantime.
    """

    def __init__(self, joined: CallStream) -> None:
        """Reads the events of `joined`."""
        super().__init__()
        self._joined = joined

    @property
    def finished(self) -> bool:
        """Whether the final answer has been appended."""
        return self._joined.finished

    def read(self, offset: int, wait_s: float) -> list[CallEvent]:
        """Returns the events from `offset` on.

        Waits up to `wait_s` when there is none yet.
        """
        return [_joined_event(one) for one in self._joined.read(offset, wait_s)]


def _joined_event(event: CallEvent) -> CallEvent:
    if not isinstance(event, Answer) or event.outcome is not Outcome.NOT_RUN:
        return event
    return event._replace(
        outcome=Outcome.UNKNOWN,
        remedy='Repeat the call with the same seq and key for its outcome.',
    )

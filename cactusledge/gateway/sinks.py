"""Response sinks: buffered responses and event streams."""

import asyncio
import enum
from collections.abc import Callable
from typing import Protocol

from cactusledge.gateway.answer_end import (
    AnswerEnd,
    Completeness,
    Framing,
    Transfer,
    completeness_of,
)
from cactusledge.gateway.buffer_space import KEPT_BYTES
from cactusledge.gateway.engine_speeds import EventTimer, TimedEvents
from cactusledge.gateway.events import EventCount, StreamPosition
from cactusledge.gateway.http_client import AnswerTooLargeError
from cactusledge.gateway.messages import EndpointAnswer

FIRST_SUCCESS = 200
# Callers take these statuses as a promise that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
FIRST_REDIRECT = 300
EVENT_STREAM = 'text/event-stream'
PREFILL_EVENTS = 4  # reading a prompt takes about as long as this many events


class ExchangeEnd(enum.StrEnum):
    """How an exchange with an endpoint ended."""

    ANSWERED = 'answered'  # a response that can be forwarded
    NOT_RUN = 'not_run'  # endpoint states that it did not run the request
    BROKEN = 'broken'  # no valid response of the endpoint; request may have run


def is_success(status: int) -> bool:
    """Returns whether the status is a success (2xx)."""
    return FIRST_SUCCESS <= status < FIRST_REDIRECT


def is_valid_answer(answer: EndpointAnswer) -> bool:
    """Returns whether a response is the endpoint's own, to this request."""
    if answer.is_encoded:
        return False
    if answer.status in NOT_RUN_STATUSES:
        return False  # `not_run` is not set, so the request may have run
    if is_success(answer.status):
        return answer.has_seal and bool(answer.request_id)
    return True


class Passage(Protocol):
    """Where an answer that is too large to be kept is passed on."""

    def keep(self, size: int) -> int:
        """Counts bytes that are kept; returns how many an answer may keep."""

    def begin(self, answer: EndpointAnswer, framing: Framing) -> bool:
        """Begins the caller's response; False if it has one already."""

    def write(self, body: bytes) -> None:
        """Writes a part of the body."""


class NoPassage:
    """Passes nothing on; implements `Passage`."""

    def keep(self, size: int) -> int:
        """Returns how many bytes an answer may keep."""
        return KEPT_BYTES

    def begin(self, answer: EndpointAnswer, framing: Framing) -> bool:
        """Returns False."""
        return False

    def write(self, body: bytes) -> None:
        """Drops the part."""


class BufferedAnswer:
    """Buffers a response; `ended` resolves when the response has ended.

    One that is too large is passed on as it arrives. After that the call
    cannot be repeated.
    """

    def __init__(self, passage: Passage | None = None) -> None:
        """Starts empty."""
        self.is_passed_on = False
        self.head: EndpointAnswer | None = None
        self.framing = Framing.NONE
        self.is_event_stream = False
        self.needs_proof = False  # not proven whole counts as broken
        self.answer_end: AnswerEnd | None = None  # None until it has ended
        self.ended: asyncio.Future[ExchangeEnd] = (
            asyncio.get_running_loop().create_future()
        )
        self._passage = passage or NoPassage()
        self._events = EventCount()
        self._kept = bytearray()

    @property
    def work_units(self) -> int:
        """Units of work that the response took; latency is tracked per unit."""
        return 1

    @property
    def timed(self) -> TimedEvents:
        """The events that were timed; none but those of streams."""
        return TimedEvents()

    @property
    def body(self) -> bytes:
        """What is kept of the body; nothing once it is passed on."""
        return bytes(self._kept)

    @property
    def position(self) -> StreamPosition | None:
        """Where an event stream has arrived, None for other answers."""
        return self._events.position if self.is_event_stream else None

    @property
    def is_proven(self) -> bool:
        """Whether the response has ended and is known to be whole."""
        seen = self.answer_end
        return (
            seen is not None and completeness_of(seen) is Completeness.COMPLETE
        )

    def on_head(self, answer: EndpointAnswer, framing: Framing) -> None:
        """Stores the head."""
        self.head = answer
        self.framing = framing
        self.is_event_stream = (
            is_success(answer.status) and answer.media_type == EVENT_STREAM
        )

    def on_body(self, body: bytes) -> None:
        """Keeps a part of the body, or passes it on."""
        self._events.feed(body)
        if self.is_passed_on:
            self._passage.write(body)
            return
        self._kept += body
        if len(self._kept) > self._passage.keep(len(body)):
            self._pass_on()

    def on_end(self, transfer: Transfer) -> None:
        """Resolves `ended`."""
        self.answer_end = AnswerEnd(transfer, self.position)
        completeness = completeness_of(self.answer_end)
        if self.needs_proof and completeness is Completeness.UNPROVEN:
            completeness = Completeness.BROKEN
        if not self.ended.done():
            self.ended.set_result(end_of(self.head, completeness))

    def _pass_on(self) -> None:
        """Begins to pass the answer on, as its head shows it to be valid.

        Raises:
            AnswerTooLargeError: It cannot be passed on and is too large.
        """
        head = self.head
        if head and can_pass_on(head) and self._begin(head):
            self.is_passed_on = True
            self._passage.write(self.body)
            self._kept.clear()
        elif len(self._kept) > KEPT_BYTES:
            raise AnswerTooLargeError

    def _begin(self, head: EndpointAnswer) -> bool:
        """Begins the caller's response.

        The length of an event stream is not promised: whether it ended after
        a whole event shows only at its end.
        """
        framing = self.framing
        if framing is Framing.LENGTH and self.is_event_stream:
            framing = Framing.CHUNKS
        return self._passage.begin(head, framing)


def can_pass_on(head: EndpointAnswer) -> bool:
    """Returns whether an answer with this head may reach the caller."""
    return is_valid_answer(head) and not head.not_run


def end_of(
    head: EndpointAnswer | None, completeness: Completeness
) -> ExchangeEnd:
    """Classifies the end of an exchange by the head and completeness."""
    if head is None:
        return ExchangeEnd.BROKEN
    if head.not_run:
        return ExchangeEnd.NOT_RUN
    if completeness is not Completeness.BROKEN and is_valid_answer(head):
        return ExchangeEnd.ANSWERED
    return ExchangeEnd.BROKEN


class StreamAnswer(BufferedAnswer):
    """Forwards the parts of a successful response as they arrive.

    `on_start` is called with the head and the framing, `on_part` with each
    part. For any other response only `ended` is resolved. A response that
    cannot be proven whole counts as broken if `needs_proof`.
    """

    def __init__(
        self,
        on_start: Callable[[EndpointAnswer, Framing], None],
        on_part: Callable[[bytes], None],
        passage: Passage | None = None,
        *,
        needs_proof: bool = False,
    ) -> None:
        """Stores the callbacks that receive the parts."""
        super().__init__(passage)
        self.needs_proof = needs_proof
        self.has_started = False
        self._on_start = on_start
        self._on_part = on_part
        self._timer = EventTimer()
        self._clock = asyncio.get_running_loop().time

    @property
    def work_units(self) -> int:
        """The number of events, plus the equivalent of reading the prompt."""
        return PREFILL_EVENTS + self._events.events

    @property
    def timed(self) -> TimedEvents:
        """The events after the first part, and the time they took."""
        return self._timer.timed

    def on_head(self, answer: EndpointAnswer, framing: Framing) -> None:
        """Starts forwarding if the response is valid and successful."""
        super().on_head(answer, framing)
        if is_success(answer.status) and is_valid_answer(answer):
            self.has_started = True
            # An engine may leave out the media type of its stream.
            self.is_event_stream |= not answer.media_type
            self._on_start(answer, framing)

    def on_body(self, body: bytes) -> None:
        """Forwards the part if forwarding has started."""
        if self.has_started:
            self._events.feed(body)
            self._timer.note(self._events.events, self._clock())
            self._on_part(body)
        else:
            super().on_body(body)

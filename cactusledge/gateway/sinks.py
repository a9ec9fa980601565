"""Receivers of endpoints' answers: whole ones, and event streams."""

import asyncio
import enum
from collections.abc import Callable

from cactusledge.gateway.events import count_events
from cactusledge.gateway.messages import EndpointAnswer

FIRST_SUCCESS = 200
# To a caller these promise that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
FIRST_REDIRECT = 300
PREFILL_EVENTS = 4  # reading a prompt takes about as long as so many events


class ExchangeEnd(enum.StrEnum):
    """How an exchange with an endpoint ended."""

    ANSWERED = 'answered'  # a whole answer that may be passed on
    NOT_RUN = 'not_run'  # the endpoint says that it did not run the request
    BROKEN = 'broken'  # no answer, or one that is not the endpoint's


def is_success(status: int) -> bool:
    """Returns whether the status is one of success."""
    return FIRST_SUCCESS <= status < FIRST_REDIRECT


def is_valid_answer(answer: EndpointAnswer) -> bool:
    """Returns whether an answer is the endpoint's own to this request."""
    if answer.is_encoded:
        return False
    if answer.status in NOT_RUN_STATUSES:
        return False  # the endpoint does not say that it did not run it
    if is_success(answer.status):
        return answer.has_seal and bool(answer.request_id)
    return True


class BufferedAnswer:
    """Collects an answer; `ended` resolves when it has arrived."""

    def __init__(self) -> None:
        """Starts empty."""
        self.head: EndpointAnswer | None = None
        self.ended: asyncio.Future[ExchangeEnd] = (
            asyncio.get_running_loop().create_future()
        )
        self._parts: list[bytes] = []

    @property
    def work_units(self) -> int:
        """How much work the answer was, in units of its kind."""
        return 1

    @property
    def body(self) -> bytes:
        """The body as far as it has arrived."""
        return b''.join(self._parts)

    def on_head(self, answer: EndpointAnswer) -> None:
        """Takes the head."""
        self.head = answer

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        self._parts.append(body)

    def on_end(self, *, is_complete: bool) -> None:
        """Takes the end."""
        if not self.ended.done():
            self.ended.set_result(end_of(self.head, is_complete=is_complete))


def end_of(head: EndpointAnswer | None, *, is_complete: bool) -> ExchangeEnd:
    """Returns how an exchange has ended."""
    if head is None:
        return ExchangeEnd.BROKEN
    if head.not_run:
        return ExchangeEnd.NOT_RUN
    if is_complete and is_valid_answer(head):
        return ExchangeEnd.ANSWERED
    return ExchangeEnd.BROKEN


class StreamAnswer(BufferedAnswer):
    """Passes the parts of a successful answer on as they arrive.

    `on_start` is called with the head, `on_part` with each part; of other
    answers only `ended` tells.
    """

    def __init__(
        self,
        on_start: Callable[[EndpointAnswer], None],
        on_part: Callable[[bytes], None],
    ) -> None:
        """Keeps whom to pass the parts to."""
        super().__init__()
        self.has_started = False
        self._on_start = on_start
        self._on_part = on_part

    @property
    def work_units(self) -> int:
        """The events, and as many as a prompt takes to be read."""
        return PREFILL_EVENTS + count_events(self.body)

    def on_head(self, answer: EndpointAnswer) -> None:
        """Starts the caller's answer."""
        super().on_head(answer)
        if is_success(answer.status) and is_valid_answer(answer):
            self.has_started = True
            self._on_start(answer)

    def on_body(self, body: bytes) -> None:
        """Passes the part on."""
        super().on_body(body)
        if self.has_started:
            self._on_part(body)
